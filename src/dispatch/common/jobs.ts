/** Job requests and their outcomes. */

import type { TaskNeeds } from './dispatchMessages.js';

/** Request for a job: a number of equal tasks that may run in parallel. */
export interface JobRequest {
	/** Chosen by the caller; a repeated request has the same one. */
	readonly jobId: string;
	readonly route: string;
	readonly pool: string;
	/** Whether the pool's workers refuse tasks that exceed their capacity. */
	readonly isCapacityEnforced: boolean;
	readonly payload: string;
	readonly taskCount: number;
	readonly needs: TaskNeeds;
	/** Label that a worker must have. */
	readonly requiredLabel?: string | undefined;
	/** Label of the workers that are closest to the tasks' data. */
	readonly preferredLabel?: string | undefined;
	/** Factor on the estimated duration at workers without the preferred label. */
	readonly awayFactor: number;
	readonly estimateMs: number;
	readonly priority: number;
	readonly maxAttempts: number;
	readonly stretch: number;
	readonly objectiveMs: number;
	/** Remaining time that the caller waits for the answer. */
	readonly waitMs: number;
	/** Time since the request's arrival, which counts towards its objective; 0 when absent. */
	readonly waitedMs?: number | undefined;
}

/** Reason for rejecting a job; none of its tasks has run or will run. */
export type RejectionReason =
	/** The job could not be done in time. */
	| 'overloaded'
	/** No worker of the pool accepts tasks, or the entry is stopping. */
	| 'noWorkers'
	/** One task needs more than the whole capacity of every worker. */
	| 'doesNotFit';

/** Outcome of a job. */
export type JobOutcome =
	| { readonly kind: 'completed' }
	/** A task has failed as often as the route allows. */
	| { readonly kind: 'failed' }
	| { readonly kind: 'rejected'; readonly reason: RejectionReason; readonly retryAfterMs: number }
	/** Its cancelling was asked for. Final: the job is not started again, whether a task has run or not. */
	| { readonly kind: 'cancelled' }
	/** Ended without a result after a task may have run, or because its callers have left. */
	| { readonly kind: 'abandoned' };

/** State of a job that has neither been rejected nor abandoned. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
