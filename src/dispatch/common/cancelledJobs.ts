/** Remembers the jobs that were cancelled recently, at this entry or another one. */

/** Time for which a cancelling is remembered: longer than callers wait, and as long as an entry that is away stays known. */
const retentionMs = 60_000;
/** Largest number of cancellings that are remembered, to bound the memory; the oldest are dropped. */
const maxJobs = 4000;

/** A cancelling, as one entry tells another. */
export interface CancelledJob {
	readonly jobId: string;
	/** Time since the cancelling. */
	readonly agoMs: number;
}

/**
 * Jobs that were cancelled recently.
 *
 * @example
 * cancelled.add({ jobId, agoMs: 0 }, nowMs);
 * const isCancelled = cancelled.has(jobId, nowMs);
 */
export class CancelledJobs {
	/** Times of the cancellings by job ID, in the order in which this entry has heard of them. */
	private readonly _jobs = new Map<string, number>();

	/** Adds a cancelling. Returns whether it is recent and was not known. */
	add({ jobId, agoMs }: CancelledJob, nowMs: number): boolean {
		if (agoMs >= retentionMs || this.has(jobId, nowMs)) {
			return false;
		}
		this._jobs.delete(jobId);
		this._jobs.set(jobId, nowMs - agoMs);
		this._dropOld(nowMs);
		return true;
	}

	has(jobId: string, nowMs: number): boolean {
		const atMs = this._jobs.get(jobId);
		return atMs !== undefined && nowMs - atMs < retentionMs;
	}

	/** Returns the remembered cancellings. */
	getAll(nowMs: number): readonly CancelledJob[] {
		return [...this._jobs]
			.map(([jobId, atMs]) => ({ jobId, agoMs: nowMs - atMs }))
			.filter(({ agoMs }) => agoMs < retentionMs);
	}

	private _dropOld(nowMs: number): void {
		for (const [jobId, atMs] of this._jobs) {
			if (nowMs - atMs < retentionMs && this._jobs.size <= maxJobs) {
				return;
			}
			this._jobs.delete(jobId);
		}
	}
}
