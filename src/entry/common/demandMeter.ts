/** How much work a team asks of a pool, as a share of what the pool's slots can do, over the last seconds. */

/** Time over which demand is averaged: longer than a burst of some jobs, shorter than a reader's patience. */
export const demandAveragingMs = 4000;

/** Exponentially weighted average of offered work. */
export class DemandMeter {
	private _share = 0;
	private _updatedMs = 0;

	/**
	 * Takes account of work that arrived.
	 *
	 * @param workMs expected run time of all its tasks
	 * @param slots slots of the pool
	 */
	add(workMs: number, slots: number, nowMs: number): void {
		this._share = this.shareAt(nowMs) + workMs / (slots * demandAveragingMs);
		this._updatedMs = nowMs;
	}

	/**
	 * Share of the pool's slots that the offered work keeps busy; above 1 for more than the pool can do.
	 *
	 * @example
	 * const isOverloaded = meter.shareAt(nowMs) > 1;
	 */
	shareAt(nowMs: number): number {
		return this._share * Math.exp((this._updatedMs - nowMs) / demandAveragingMs);
	}
}
