/**
 * All workers that this entry knows. The one owner of what is summed up and indexed over them: a row reports each
 * change of itself, and what changes by time alone is looked at again when its time has come.
 */

import { Heap } from 'heap-js';
import type { SeededRandom } from '../../base/common/random.js';
import { PoolWorkers } from './poolWorkers.js';
import { WorkerRow } from './workerRow.js';

/** A row, and where it is counted. */
interface TrackedWorker {
	readonly row: WorkerRow;
	/** Whether the row is still in the table. */
	isListed: boolean;
	pool: PoolWorkers | undefined;
	/** When the row is looked at again without a change. */
	wakeAtMs: number;
}

/** A worker whose pause, or the like, ends. */
interface WorkerWake {
	readonly atMs: number;
	readonly tracked: TrackedWorker;
}

/** Workers by process id and by pool. */
export class WorkerTable {
	private readonly _tracked = new Map<string, TrackedWorker>();
	private readonly _pools = new Map<string, PoolWorkers>();
	private _changed: TrackedWorker[] = [];
	private readonly _wakes = new Heap<WorkerWake>((a, b) => a.atMs - b.atMs);

	constructor(
		private readonly _dataCentre: string,
		private readonly _random: SeededRandom,
	) {}

	get size(): number {
		return this._tracked.size;
	}

	get(processId: string): WorkerRow | undefined {
		return this._tracked.get(processId)?.row;
	}

	*values(): Generator<WorkerRow> {
		for (const { row } of this._tracked.values()) {
			yield row;
		}
	}

	/** Adds the row of an agent's new run, in place of that of an earlier run. */
	add(processId: string, incarnation: string): WorkerRow {
		this.delete(processId);
		const row = new WorkerRow(processId, incarnation, () => {
			this._changed.push(tracked);
		});
		const tracked: TrackedWorker = { row, isListed: true, pool: undefined, wakeAtMs: -Infinity };
		this._tracked.set(processId, tracked);
		return row;
	}

	/** Forgets a worker. */
	delete(processId: string): void {
		const tracked = this._tracked.get(processId);
		if (tracked !== undefined) {
			this._tracked.delete(processId);
			tracked.isListed = false;
			tracked.pool?.remove(tracked.row);
		}
	}

	/** The workers of a pool. Sums and index are those of the last {@link refresh}, which this calls. */
	inPool(pool: string, nowMs: number): PoolWorkers {
		this.refresh(nowMs);
		return this._poolOf(pool);
	}

	/** Counts every worker anew that has changed. */
	refresh(nowMs: number): void {
		for (let wake = this._wakes.peek(); wake !== undefined && wake.atMs <= nowMs; wake = this._wakes.peek()) {
			this._wakes.pop();
			this._recount(wake.tracked, nowMs);
		}
		if (this._changed.length === 0) {
			return;
		}
		const changed = this._changed;
		this._changed = [];
		for (const tracked of changed) {
			tracked.row.acknowledgeChange();
			this._recount(tracked, nowMs);
		}
	}

	private _recount(tracked: TrackedWorker, nowMs: number): void {
		const { row } = tracked;
		if (!tracked.isListed) {
			return;
		}
		const poolName = row.pool;
		if (tracked.pool?.name !== poolName) {
			tracked.pool?.remove(row);
			tracked.pool = poolName === undefined ? undefined : this._poolOf(poolName);
		}
		tracked.pool?.update(row, nowMs);
		this._wakeLater(tracked, nowMs);
	}

	/** Looks at a row again when something of it changes by time; what is nearer than a wake that is set wins. */
	private _wakeLater(tracked: TrackedWorker, nowMs: number): void {
		const atMs = tracked.row.nextChangeMs(nowMs);
		const isSet = tracked.wakeAtMs > nowMs && tracked.wakeAtMs <= atMs;
		if (atMs === Infinity || isSet) {
			return;
		}
		tracked.wakeAtMs = atMs;
		this._wakes.push({ atMs, tracked });
	}

	private _poolOf(name: string): PoolWorkers {
		let pool = this._pools.get(name);
		if (pool === undefined) {
			pool = new PoolWorkers(name, this._dataCentre, this._random);
			this._pools.set(name, pool);
		}
		return pool;
	}
}
