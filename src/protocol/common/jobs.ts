/** Jobs, tasks and their answers, as processes send them to each other. */

/** Resources that a task needs from its worker. */
export interface TaskNeeds {
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
}

/** Needs of a task that declares none. */
export const noNeeds: TaskNeeds = { cores: 0, memoryBytes: 0, accelerators: 0 };

/** A job as an entry accepted it from a reader. */
export interface JobSubmission {
	/**
	 * Id of the submission. For a job with an idempotency key it is a hash of team, route and key, which is equal at
	 * every entry; otherwise it is random.
	 */
	readonly submissionId: string;
	readonly route: string;
	readonly team: string;
	/** Whether the reader gave an idempotency key, so that the same submission may arrive again. */
	readonly isKeyed: boolean;
	/** False for a job that may run at most once, even if all processes lose their memory. */
	readonly repeatable: boolean;
	/** Time left until the reader's deadline when the message is sent. */
	readonly remainingMs: number;
	readonly needs: TaskNeeds;
	/** One JSON text per task, in the reader's order. */
	readonly payloadsJson: readonly string[];
	/** Hash of a keyed job's tasks, which distinguishes a resubmission from a use of the key for another job. */
	readonly fingerprint?: string | undefined;
	/** Whether another entry may already have started tasks of the submission. */
	readonly mayHaveStarted?: boolean | undefined;
	/** Time since the submission was first relayed; present if it may have started. */
	readonly ageMs?: number | undefined;
	/** Whether the sender has already relayed the job to the receiver, on a connection that broke. */
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

/** Every task returned a result. */
export interface CompleteAnswer {
	readonly status: 'complete';
	/** One JSON text per task, in the reader's order. */
	readonly resultsJson: readonly string[];
}

/**
 * The job failed. `ranAndFailed`: the end of every task is known, and at least one task failed. `mayHaveRun`: at least
 * one task may or may not have run.
 */
export interface FailedAnswer {
	readonly status: 'failed';
	readonly outcome: 'ranAndFailed' | 'mayHaveRun';
	readonly reason: FailureReason;
	/** Explanation for the reader, in whole sentences. */
	readonly message: string;
}

/** No task of the job has started, and none will start for this request. */
export interface NotRunAnswer {
	readonly status: 'notRun';
	readonly reason: RefusalReason;
	readonly message: string;
	/** Time to wait before a retry; absent if a retry is of no use. */
	readonly retryAfterMs?: number | undefined;
}

/** The only answers that a reader can get to an accepted request. */
export type JobAnswer = CompleteAnswer | FailedAnswer | NotRunAnswer;

/** Identity of a task. */
export interface TaskIdentity {
	readonly submissionId: string;
	readonly taskIndex: number;
}

/** Returns a task's identity as text, for map keys and logs. */
export function taskKey(identity: TaskIdentity): string {
	return `${identity.submissionId}/${identity.taskIndex}`;
}
