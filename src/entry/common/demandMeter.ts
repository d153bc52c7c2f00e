/** Measures a team's recent demand on a pool, as a share of the pool's slots. */

/**
 * Time constant of the moving average of demand. It is longer than a burst of a few jobs and shorter than the time that
 * readers wait for an answer.
 */
export const demandAveragingMs = 4000;

/** Exponentially decaying average of the work submitted. */
export class DemandMeter {
	private _share = 0;
	private _updatedMs = 0;

	/**
	 * Adds work that has arrived.
	 *
	 * @param workMs sum of the expected run times of its tasks
	 * @param slots number of slots of the pool
	 */
	addWork(workMs: number, slots: number, nowMs: number): void {
		this._share = this.shareAt(nowMs) + workMs / (slots * demandAveragingMs);
		this._updatedMs = nowMs;
	}

	/**
	 * Returns the share of the pool's slots that the submitted work would occupy; above 1 when it exceeds the pool's
	 * capacity.
	 *
	 * @example
	 * const isOverloaded = meter.shareAt(nowMs) > 1;
	 */
	shareAt(nowMs: number): number {
		return this._share * Math.exp((this._updatedMs - nowMs) / demandAveragingMs);
	}
}
