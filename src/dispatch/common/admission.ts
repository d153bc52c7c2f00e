/**
 * Decides whether a job is taken, by when its last task would start. Load pattern: bursts of all kinds or of one, and
 * workers taken away, so that more work comes than can be done: what can't be in time is refused at once, and the
 * rest does not wait behind it.
 */

/** Bounds of the time after which a refused caller may come back. */
const minRetryAfterMs = 1000;
const maxRetryAfterMs = 5000;

/** What a decision depends on. */
export interface AdmissionInputs {
	/** Tasks of the job. */
	readonly taskCount: number;
	/** Tasks of the job's size that would fit into what is free now, over all eligible workers. */
	readonly freeSlots: number;
	/** Tasks of the job's size that eligible workers hold now. */
	readonly busySlots: number;
	/** Tasks that wait here and start before this job's. */
	readonly tasksAhead: number;
	/** Entries that place on the same workers; each is taken to have as much waiting. */
	readonly entryCount: number;
	/** Mean duration of the tasks that run. */
	readonly meanTaskMs: number;
	/** Time that the last task may wait, so that the job still ends in time. */
	readonly slackMs: number;
}

/** The decision. */
export interface AdmissionDecision {
	readonly isTaken: boolean;
	readonly waitMs: number;
	/** When a refused caller should come back. */
	readonly retryAfterMs: number;
}

/**
 * Forecasts the wait of a job's last task, and takes the job when it can end in time.
 *
 * @example
 * const { isTaken, retryAfterMs } = decideAdmission(inputs, Math.random);
 */
export function decideAdmission(inputs: AdmissionInputs, random: () => number): AdmissionDecision {
	const { taskCount, freeSlots, busySlots, tasksAhead, entryCount, meanTaskMs, slackMs } = inputs;
	const missing = tasksAhead * entryCount + taskCount - freeSlots;
	// Those ahead fill what is free. All then end at an even rate, so each frees its room after a mean duration.
	const releasesPerMs = (busySlots + freeSlots) / Math.max(1, meanTaskMs);
	const waitMs = missing <= 0 ? 0 : releasesPerMs > 0 ? missing / releasesPerMs : Infinity;
	// A late answer is worth more than none where nobody else needs the room.
	const isTaken = waitMs === 0 || waitMs <= slackMs;
	const spreadMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, 2 * waitMs));
	return { isTaken, waitMs, retryAfterMs: minRetryAfterMs + random() * spreadMs };
}
