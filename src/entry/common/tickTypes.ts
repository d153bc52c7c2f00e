/** Inputs and outputs of a tick of the entry's core. Apart from these, a tick depends only on the tables. */

import type { ControlState } from '../../control/common/controlPlane.js';
import type { LogFields, LogLevel } from '../../services/log/common/log.js';
import type { PeerIdentity } from '../../services/transport/common/transport.js';
import type { AgentToEntryMessage, EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { EntryToEntryMessage } from '../../protocol/common/entryMessages.js';
import type { JobAnswer, JobSubmission } from '../../protocol/common/jobs.js';
import type { ClaimOutcome, ClaimRequest } from '../../protocol/common/keeperMessages.js';

/** An event since the last tick. */
export type EntryInput =
	| { readonly kind: 'controlState'; readonly state: ControlState }
	| { readonly kind: 'peerOpened'; readonly sessionId: number; readonly peer: PeerIdentity }
	| { readonly kind: 'peerClosed'; readonly sessionId: number }
	| { readonly kind: 'agentMessage'; readonly sessionId: number; readonly message: AgentToEntryMessage }
	| { readonly kind: 'entryMessage'; readonly sessionId: number; readonly message: EntryToEntryMessage }
	| { readonly kind: 'claimAnswered'; readonly claim: ClaimRequest; readonly outcome: ClaimOutcome }
	/** A reader submitted a job to this entry; the answer is returned under `readerId`. */
	| {
			readonly kind: 'submit';
			readonly readerId: number;
			/** Unguessable id by which the reader may cancel the job. */
			readonly jobId: string;
			readonly submission: JobSubmission;
	  }
	/** A reader's connection was closed. */
	| { readonly kind: 'readerGone'; readonly readerId: number }
	/** A reader cancelled a job by its id, at this or another entry. */
	| { readonly kind: 'cancelJob'; readonly jobId: string }
	/** The process is about to stop: new jobs are refused, and open jobs are answered within the given time. */
	| { readonly kind: 'drain'; readonly answerWithinMs: number };

/** Time of a tick, and age of the control state at that time. */
export interface TickClock {
	readonly nowMs: number;
	/** Upper bound of the control state's age. */
	readonly tablesAgeMs: number;
}

/** A message to send on one session. */
export interface OutgoingFrame {
	readonly sessionId: number;
	readonly message: EntryToAgentMessage | EntryToEntryMessage;
}

/** The answer for one waiting reader. */
export interface ReaderAnswer {
	readonly readerId: number;
	readonly answer: JobAnswer;
}

/** A change of state that is logged for operators. */
export interface TickEvent {
	readonly level: LogLevel;
	readonly event: string;
	readonly fields: LogFields;
}

/** The actions that a tick requests from the process. */
export interface EntryOutputs {
	readonly frames: OutgoingFrame[];
	readonly answers: ReaderAnswer[];
	readonly claims: ClaimRequest[];
	readonly releases: ClaimRequest[];
	readonly events: TickEvent[];
	/** Latest time of the next tick if no input arrives before. */
	nextTickMs: number;
}

/** Creates the outputs of a tick, without any actions. */
export function createEmptyOutputs(): EntryOutputs {
	return { frames: [], answers: [], claims: [], releases: [], events: [], nextTickMs: Infinity };
}
