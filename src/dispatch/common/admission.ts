/**
 * Admits or rejects a job by the forecast start of its last task. During a burst or after a loss of workers, more work
 * arrives than can be done; jobs that cannot end in time are rejected at once, so that the others do not wait behind them.
 */

/** Smallest retry hint, and smallest upper bound of the random time that is added to it. */
const minRetryAfterMs = 1000;
/** Largest upper bound of that random time. */
const maxRetrySpreadMs = 5000;

/** Inputs of an admission decision. */
export interface AdmissionInputs {
	/** Number of tasks of the job. */
	readonly taskCount: number;
	/** Number of tasks of the job's size that fit into the free capacity of all eligible workers. */
	readonly freeSlots: number;
	/** CPU that is in use at the eligible workers, in tasks of the job's size. */
	readonly busySlots: number;
	/** Work that waits at this entry ahead of the job, in tasks of the job's size. */
	readonly tasksAhead: number;
	/** Number of entries that use the same workers; each is assumed to have as much work waiting. */
	readonly entryCount: number;
	/** Mean duration of running tasks. */
	readonly meanTaskMs: number;
	/** Longest wait of the last task with which the job is admitted; negative when it is late already. */
	readonly maxWaitMs: number;
}

/** Result of {@link decideAdmission}. */
export interface AdmissionDecision {
	readonly isAdmitted: boolean;
	/** Forecast wait of the job's last task. */
	readonly waitMs: number;
	/** Time after which a rejected caller should retry. */
	readonly retryAfterMs: number;
}

/**
 * Forecasts the wait of a job's last task, and admits the job when it needs no wait or an acceptable one.
 *
 * @example
 * const { isAdmitted, retryAfterMs } = decideAdmission(inputs, Math.random);
 */
export function decideAdmission(inputs: AdmissionInputs, random: () => number): AdmissionDecision {
	const { taskCount, freeSlots, busySlots, tasksAhead, entryCount, meanTaskMs, maxWaitMs } = inputs;
	const missingSlots = tasksAhead * entryCount + taskCount - freeSlots;
	// Assumes that the work ahead fills all free slots, and that tasks then end at an even rate, each slot becoming free
	// once per mean duration.
	const slotsFreedPerMs = (busySlots + freeSlots) / Math.max(1, meanTaskMs);
	const waitMs = missingSlots <= 0 ? 0 : slotsFreedPerMs > 0 ? missingSlots / slotsFreedPerMs : Infinity;
	// A job that needs no wait is admitted even if it will be late: a late answer is better than none when no other job
	// needs the slots.
	const isAdmitted = waitMs === 0 || waitMs <= maxWaitMs;
	const retrySpreadMs = Math.min(maxRetrySpreadMs, Math.max(minRetryAfterMs, 2 * waitMs));
	return { isAdmitted, waitMs, retryAfterMs: minRetryAfterMs + random() * retrySpreadMs };
}
