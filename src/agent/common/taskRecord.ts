/** Record of a task that an agent knows, with the entries that receive its end. */

import type { EntryRun, KnownTaskState, TaskEnd } from '../../protocol/common/agentMessages.js';
import type { TaskIdentity, TaskNeeds } from '../../protocol/common/jobs.js';

/** Run of an entry that receives the end of a task. */
export interface Recipient extends EntryRun {
	/** Connection on which the entry last asked about the task. */
	readonly connectionId: number;
}

/** Data of a queued or running task; dropped when the task ends. */
export interface LiveTask {
	readonly route: string;
	readonly team: string;
	readonly needs: TaskNeeds;
	readonly payloadJson: string;
	/** Connection on which the start arrived; a queued task ends when it closes. */
	readonly connectionId: number;
	readonly receivedAtMs: number;
	/** Deadline by which the task must have been started; past it, the queued task ends as `notStarted`. */
	readonly startByMs: number;
	readonly leaseEndsAtMs: number;
	/** Entry that receives a result directly, besides the recipients; undefined when the recipients forward it. */
	readonly answerTo: EntryRun | undefined;
	/** Identifier of the run at the platform; set when the task is started. */
	runId: number | undefined;
	startedAtMs: number | undefined;
	/** Time at which the platform was asked to stop the task. */
	stopRequestedAtMs: number | undefined;
	/** Reason of the stop, for the message of the task's end; empty until a stop is requested. */
	stopMessage: string;
	isCheckpointRequested: boolean;
	/** Share of a processor that the task is throttled to; 1 when it isn't throttled. */
	throttleShare: number;
	/** Latest measured use of cores and greatest of memory; undefined before the first sample. */
	usage: TaskUsage | undefined;
}

/** Measured resource use of a task. */
export interface TaskUsage {
	readonly cores: number;
	readonly memoryBytes: number;
}

/** Record of a task, kept until its identity is forgotten. */
export interface TaskRecord extends TaskIdentity {
	state: KnownTaskState;
	/** Highest attempt that was fenced or accepted. */
	attempt: number;
	/** Data of the queued or running task; undefined once it has ended. */
	live: LiveTask | undefined;
	/** End of the task; undefined until the task has ended, and once no recipient waits for the end any more. */
	end: TaskEnd | undefined;
	/** Entries that have not acknowledged the end yet. */
	recipients: readonly Recipient[];
	/** Time from which the identity may be forgotten; 0 until the task has ended. */
	forgetAtMs: number;
}

/** Returns the key of a recipient in maps. */
export function recipientKey(recipient: EntryRun): string {
	return `${recipient.entryId}/${recipient.incarnation}`;
}
