/** What goes into a tick of the entry's core and what comes out. A tick depends on nothing else but the tables. */

import type { ControlState } from '../../control/common/controlPlane.js';
import type { LogFields, LogLevel } from '../../services/log/common/log.js';
import type { PeerIdentity } from '../../services/transport/common/transport.js';
import type { AgentToEntryMessage, EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { EntryToEntryMessage } from '../../protocol/common/entryMessages.js';
import type { JobAnswer, JobSubmission } from '../../protocol/common/jobs.js';
import type { ClaimOutcome, ClaimRequest } from '../../protocol/common/keeperMessages.js';

/** Something that happened since the last tick. */
export type EntryInput =
	| { readonly kind: 'controlState'; readonly state: ControlState }
	| { readonly kind: 'peerOpened'; readonly sessionId: number; readonly peer: PeerIdentity }
	| { readonly kind: 'peerClosed'; readonly sessionId: number }
	| { readonly kind: 'agentMessage'; readonly sessionId: number; readonly message: AgentToEntryMessage }
	| { readonly kind: 'entryMessage'; readonly sessionId: number; readonly message: EntryToEntryMessage }
	| { readonly kind: 'claimAnswered'; readonly claim: ClaimRequest; readonly outcome: ClaimOutcome }
	/** A reader of this entry waits for the job's answer under `readerId`. */
	| {
			readonly kind: 'submit';
			readonly readerId: number;
			/** Name by which the reader may cancel; unguessable. */
			readonly jobId: string;
			readonly submission: JobSubmission;
	  }
	/** A reader's connection is gone. */
	| { readonly kind: 'readerGone'; readonly readerId: number }
	/** A reader cancelled a job by its id, here or at another entry. */
	| { readonly kind: 'cancelJob'; readonly jobId: string }
	/** The process is to stop: nothing new is taken, and what is open is answered within the time that is left. */
	| { readonly kind: 'drain'; readonly answerWithinMs: number };

/** The time and age at which a tick runs. */
export interface TickClock {
	readonly nowMs: number;
	/** Greatest possible age of the control state. */
	readonly tablesAgeMs: number;
}

/** A message to one session. */
export interface OutgoingFrame {
	readonly sessionId: number;
	readonly message: EntryToAgentMessage | EntryToEntryMessage;
}

/** The answer to one waiting reader. */
export interface ReaderAnswer {
	readonly readerId: number;
	readonly answer: JobAnswer;
}

/** A change of state that operators may want to see. */
export interface TickEvent {
	readonly level: LogLevel;
	readonly event: string;
	readonly fields: LogFields;
}

/** Everything that a tick asks the process to do. */
export interface EntryOutputs {
	readonly frames: OutgoingFrame[];
	readonly answers: ReaderAnswer[];
	readonly claims: ClaimRequest[];
	readonly releases: ClaimRequest[];
	readonly events: TickEvent[];
	/** When the next tick must run at the latest, without further input. */
	nextTickMs: number;
}

/** Outputs of a tick in which nothing has happened yet. */
export function emptyOutputs(): EntryOutputs {
	return { frames: [], answers: [], claims: [], releases: [], events: [], nextTickMs: Infinity };
}
