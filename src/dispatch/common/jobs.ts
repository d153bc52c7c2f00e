/** Jobs as callers hand them in, and what becomes of them. */

import type { TaskNeeds } from './dispatchMessages.js';

/** A job: equal tasks that may run beside each other. */
export interface JobRequest {
	/** Chosen by the caller; a request that comes again has the same one. */
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
	/** Label of the workers that are nearest to the tasks' data. */
	readonly preferredLabel?: string | undefined;
	/** Factor on the duration away from the preferred label. */
	readonly awayFactor: number;
	readonly estimateMs: number;
	readonly priority: number;
	readonly maxAttempts: number;
	readonly stretch: number;
	readonly objectiveMs: number;
	/** Time that the caller goes on to wait for the answer. */
	readonly waitMs: number;
	/** Time since the request came, which counts against its objective; 0 when absent. */
	readonly waitedMs?: number | undefined;
}

/** Why a job was not taken; nothing of it has run, and nothing will. */
export type RejectionReason =
	/** It could not be done in time. */
	| 'overloaded'
	/** No worker of the pool is known. */
	| 'noWorkers'
	/** No worker could ever hold one of its tasks. */
	| 'doesNotFit';

/** What became of a job. */
export type JobOutcome =
	| { readonly kind: 'completed' }
	/** A task has failed as often as the route allows. */
	| { readonly kind: 'failed' }
	| { readonly kind: 'rejected'; readonly reason: RejectionReason; readonly retryAfterMs: number }
	/** Given up after a task may have run. */
	| { readonly kind: 'abandoned' };

/** Where a job stands. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed';
