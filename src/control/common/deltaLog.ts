/** The latest changes to a copy of the state, from which its subscribers are served. */

import type { TableDelta } from '../../declarations/common/tables.js';

/** Deltas that are kept: the maximum number sent instead of a snapshot. */
const maxKeptDeltas = 200;

/** Holds consecutive deltas up to the copy's current revision. */
export class DeltaLog {
	private _deltas: TableDelta[] = [];

	constructor(private readonly _maxKeptDeltas = maxKeptDeltas) {}

	/** Adds deltas in the order in which they were applied. A gap in the revisions discards the older ones. */
	add(deltas: readonly TableDelta[]): void {
		for (const delta of deltas) {
			const last = this._deltas.at(-1);
			if (last !== undefined && delta.revision <= last.revision) {
				continue;
			}
			if (last !== undefined && delta.revision !== last.revision + 1) {
				this._deltas = [];
			}
			this._deltas.push(delta);
		}
		this._deltas = this._deltas.slice(-this._maxKeptDeltas);
	}

	/** Discards all deltas after the whole state was replaced. */
	clear(): void {
		this._deltas = [];
	}

	/**
	 * Returns the deltas from one revision to another, or undefined when they exceed `maxDeltas` or some are not kept.
	 *
	 * @example
	 * log.getBetween(4, 6, 200)?.map((delta) => delta.revision); // [5, 6]
	 */
	getBetween(fromRevision: number, toRevision: number, maxDeltas: number): readonly TableDelta[] | undefined {
		const missingCount = toRevision - fromRevision;
		if (missingCount < 0 || missingCount > maxDeltas) {
			return undefined;
		}
		const wanted = this._deltas.filter(({ revision }) => revision > fromRevision && revision <= toRevision);
		return wanted.length === missingCount ? wanted : undefined;
	}
}
