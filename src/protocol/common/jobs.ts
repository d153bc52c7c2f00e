/** Jobs, tasks and their answers, as they travel between processes. */

/** What a task needs from its worker. */
export interface TaskNeeds {
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
}

/** Needs of a task that declares none. */
export const noNeeds: TaskNeeds = { cores: 0, memoryBytes: 0, accelerators: 0 };

/** A job as an entry took it from a reader. */
export interface JobSubmission {
	/**
	 * Identity of the submission. For a job with an idempotency key it is a hash of team, route and key, equal at
	 * every entry; else it is random.
	 */
	readonly submissionId: string;
	readonly route: string;
	readonly team: string;
	/** Whether the reader gave an idempotency key, so that the same submission can come again. */
	readonly isKeyed: boolean;
	/** False for a job that may run at most once even when every memory is lost. */
	readonly repeatable: boolean;
	/** Time that is left until the reader's deadline, when the message is sent. */
	readonly remainingMs: number;
	readonly needs: TaskNeeds;
	/** One JSON text a task, in the reader's order. */
	readonly payloadsJson: readonly string[];
	/** Hash of the tasks of a keyed job, to tell a resubmission from a key that is used for something else. */
	readonly fingerprint?: string | undefined;
	/** Whether another entry may already have started tasks of the submission. */
	readonly mayHaveStarted?: boolean | undefined;
	/** Time since the submission was first relayed; present when it may have started. */
	readonly ageMs?: number | undefined;
	/** Whether the sender relayed the job to the receiver before, on a connection that broke. */
	readonly isRepeated?: boolean | undefined;
}

/** Why a job was refused without running. */
export type RefusalReason =
	| 'staleTables'
	| 'draining'
	| 'noWorkers'
	| 'neverFits'
	| 'queueFull'
	| 'routeFull'
	| 'quotaExceeded'
	| 'deadlineTooShort'
	| 'deadlinePassed'
	| 'workersRefused'
	| 'keepersUnreachable'
	| 'homeUnreachable'
	| 'settling'
	| 'keyReused'
	| 'cancelled';

/** Why a job failed after some of its tasks may have run. */
export type FailureReason =
	'upstreamFailed' | 'workerLost' | 'entryLost' | 'deadlinePassed' | 'cancelled' | 'alreadySubmitted';

/** Every task ran, and here are all results in order. */
export interface CompleteAnswer {
	readonly status: 'complete';
	/** One JSON text a task, in the reader's order. */
	readonly resultsJson: readonly string[];
}

/**
 * The job failed. `ranAndFailed`: every task's end is known and at least one failed. `mayHaveRun`: at least one
 * task may or may not have run.
 */
export interface FailedAnswer {
	readonly status: 'failed';
	readonly outcome: 'ranAndFailed' | 'mayHaveRun';
	readonly reason: FailureReason;
	/** Whole sentences for the reader. */
	readonly message: string;
}

/** No task of the job has started, and none will under this attempt. */
export interface NotRunAnswer {
	readonly status: 'notRun';
	readonly reason: RefusalReason;
	readonly message: string;
	/** When to come again; absent when it is no use. */
	readonly retryAfterMs?: number | undefined;
}

/** The only answers that a reader can get to an accepted request. */
export type JobAnswer = CompleteAnswer | FailedAnswer | NotRunAnswer;

/** Identity of a task. */
export interface TaskIdentity {
	readonly submissionId: string;
	readonly taskIndex: number;
}

/** Text form of a task's identity, for maps and logs. */
export function taskKey(identity: TaskIdentity): string {
	return `${identity.submissionId}/${identity.taskIndex}`;
}
