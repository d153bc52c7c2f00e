/** One task that an agent has heard of, and who is told of its end. */

import type { EntryRun, KnownTaskState, TaskEnd } from '../../protocol/common/agentMessages.js';
import type { TaskIdentity, TaskNeeds } from '../../protocol/common/jobs.js';

/** The run of an entry that is told how a task ended. */
export interface Recipient extends EntryRun {
	/** Connection on which it last asked about the task. */
	readonly connectionId: number;
}

/** What is known of a task until it has ended. */
export interface LiveTask {
	readonly route: string;
	readonly team: string;
	readonly needs: TaskNeeds;
	readonly payloadJson: string;
	/** Connection that the start came on; a queued task ends with it. */
	readonly connectionId: number;
	readonly receivedAtMs: number;
	readonly startByMs: number;
	readonly leaseEndsMs: number;
	/** Entry that is told a result besides the recipients; absent when the recipients pass it on. */
	readonly answerTo: EntryRun | undefined;
	/** Identifies the run to the platform; set when the task is started. */
	runId: number | undefined;
	startedAtMs: number | undefined;
	/** When the platform was asked to stop the task. */
	stopAskedAtMs: number | undefined;
	stopMessage: string;
	isCheckpointed: boolean;
	/** Share of the processor that the task is throttled to; 1 when it isn't. */
	throttleShare: number;
	/** Latest measured use; absent before the first sample. */
	usage: TaskUsage | undefined;
}

/** Resources that a task was measured to use. */
export interface TaskUsage {
	readonly cores: number;
	readonly memoryBytes: number;
}

/** One task. */
export interface TaskRecord extends TaskIdentity {
	state: KnownTaskState;
	/** Highest attempt that was fenced or taken. */
	attempt: number;
	/** Set until the task has ended. */
	live: LiveTask | undefined;
	/** Set from the end until every recipient has acknowledged it. */
	end: TaskEnd | undefined;
	/** Entries that have not acknowledged the end yet. */
	recipients: readonly Recipient[];
	/** When the identity may be forgotten; 0 until the task has ended. */
	forgetAtMs: number;
}

/** Text form of a recipient, for maps. */
export function recipientKey(recipient: EntryRun): string {
	return `${recipient.entryId}/${recipient.incarnation}`;
}
