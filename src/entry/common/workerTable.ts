/**
 * All workers known to this entry. The table alone updates the totals and indexes over them: each row reports its
 * changes, and a row whose state changes without an event is rechecked at the time of that change.
 */

import { Heap } from 'heap-js';
import type { SeededRandom } from '../../base/common/random.js';
import { PoolWorkers } from './poolWorkers.js';
import { WorkerRow } from './workerRow.js';

/** A row, and the pool in whose totals it is included. */
interface TrackedWorker {
	readonly row: WorkerRow;
	/** Whether the row is still in the table. */
	isInTable: boolean;
	pool: PoolWorkers | undefined;
	/** Time at which the row is rechecked even if it reports no change. */
	recheckAtMs: number;
}

/** A recheck of a worker when its state changes without an event, such as at the end of a pause. */
interface ScheduledRecheck {
	readonly atMs: number;
	readonly tracked: TrackedWorker;
}

/** Workers by process id and by pool. */
export class WorkerTable {
	private readonly _trackedWorkers = new Map<string, TrackedWorker>();
	private readonly _pools = new Map<string, PoolWorkers>();
	private _changedWorkers: TrackedWorker[] = [];
	private readonly _rechecks = new Heap<ScheduledRecheck>((a, b) => a.atMs - b.atMs);

	constructor(
		private readonly _dataCentre: string,
		private readonly _random: SeededRandom,
	) {}

	get size(): number {
		return this._trackedWorkers.size;
	}

	get(processId: string): WorkerRow | undefined {
		return this._trackedWorkers.get(processId)?.row;
	}

	*values(): Generator<WorkerRow> {
		for (const { row } of this._trackedWorkers.values()) {
			yield row;
		}
	}

	/** Adds a row for a new incarnation of an agent and removes the row of an earlier one. */
	add(processId: string, incarnation: string): WorkerRow {
		this.delete(processId);
		const row = new WorkerRow(processId, incarnation, () => {
			this._changedWorkers.push(tracked);
		});
		const tracked: TrackedWorker = { row, isInTable: true, pool: undefined, recheckAtMs: -Infinity };
		this._trackedWorkers.set(processId, tracked);
		return row;
	}

	/** Removes a worker from the table and its pool. */
	delete(processId: string): void {
		const tracked = this._trackedWorkers.get(processId);
		if (tracked !== undefined) {
			this._trackedWorkers.delete(processId);
			tracked.isInTable = false;
			tracked.pool?.remove(tracked.row);
		}
	}

	/** Returns the workers of a pool. Calls {@link refresh} first, so that totals and index are up to date. */
	workersInPool(pool: string, nowMs: number): PoolWorkers {
		this.refresh(nowMs);
		return this._getOrCreatePool(pool);
	}

	/** Updates the pools for every worker that has changed since the last call. */
	refresh(nowMs: number): void {
		for (
			let recheck = this._rechecks.peek();
			recheck !== undefined && recheck.atMs <= nowMs;
			recheck = this._rechecks.peek()
		) {
			this._rechecks.pop();
			this._updatePool(recheck.tracked, nowMs);
		}
		if (this._changedWorkers.length === 0) {
			return;
		}
		const changed = this._changedWorkers;
		this._changedWorkers = [];
		for (const tracked of changed) {
			tracked.row.acknowledgeChange();
			this._updatePool(tracked, nowMs);
		}
	}

	private _updatePool(tracked: TrackedWorker, nowMs: number): void {
		const { row } = tracked;
		if (!tracked.isInTable) {
			return;
		}
		const poolName = row.pool;
		if (tracked.pool?.name !== poolName) {
			tracked.pool?.remove(row);
			tracked.pool = poolName === undefined ? undefined : this._getOrCreatePool(poolName);
		}
		tracked.pool?.update(row, nowMs);
		this._scheduleRecheck(tracked, nowMs);
	}

	/** Schedules a recheck of a row whose state will change without an event, unless an earlier recheck is scheduled. */
	private _scheduleRecheck(tracked: TrackedWorker, nowMs: number): void {
		const atMs = tracked.row.nextChangeMs(nowMs);
		const isAlreadyScheduled = tracked.recheckAtMs > nowMs && tracked.recheckAtMs <= atMs;
		if (atMs === Infinity || isAlreadyScheduled) {
			return;
		}
		tracked.recheckAtMs = atMs;
		this._rechecks.push({ atMs, tracked });
	}

	private _getOrCreatePool(name: string): PoolWorkers {
		let pool = this._pools.get(name);
		if (pool === undefined) {
			pool = new PoolWorkers(name, this._dataCentre, this._random);
			this._pools.set(name, pool);
		}
		return pool;
	}
}
