/**
 * One entry places all tasks of a pool and so knows each slot: tasks wait in one queue and go to a free slot, in the
 * home's data centre first. While the queue is long, workers also get a few spare starts, so that a slot that falls
 * free is filled without a round trip.
 */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { WorkerRow } from '../workerRow.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';

/** Candidates that are compared for one task; more would cost time in large pools and gain little. */
const maxCompared = 16;
/**
 * Queued tasks a worker from which spare starts are sent. A spare start is bound to its worker early, which costs
 * more than the round trip that it hides unless every slot that falls free has a task waiting anyway.
 */
const queuedPerWorkerForSpares = 1;

/** Chooses among the workers that have room in this tick. */
class HomeChooser implements IWorkerChooser {
	private readonly _nearby: WorkerRow[] = [];
	private readonly _remote: WorkerRow[] = [];

	constructor(
		private readonly _tables: EntryTables,
		private readonly _pool: PoolState,
		private readonly _workers: readonly WorkerRow[],
	) {
		for (const worker of _workers) {
			if (worker.freeSlots(_tables.nowMs) <= 0) {
				continue;
			}
			const isNearby = worker.dataCentre === _tables.options.dataCentre;
			(isNearby ? this._nearby : this._remote).push(worker);
		}
	}

	choose(job: JobRow): WorkerRow | undefined {
		return this._freest(this._nearby, job) ?? this._freest(this._remote, job) ?? this._spare(job);
	}

	/** The worker with the most free slots among some of the candidates; full ones are dropped from the list. */
	private _freest(candidates: WorkerRow[], job: JobRow): WorkerRow | undefined {
		const { nowMs, random } = this._tables;
		let best: WorkerRow | undefined;
		let bestFree = 0;
		const start = candidates.length > maxCompared ? random.integer(0, candidates.length - 1) : 0;
		let compared = 0;
		for (let step = 0; step < candidates.length && compared < maxCompared; step += 1) {
			const index = (start + step) % candidates.length;
			const worker = candidates[index];
			if (worker === undefined) {
				break;
			}
			const free = worker.freeSlots(nowMs);
			if (free <= 0) {
				candidates[index] = candidates[candidates.length - 1] ?? worker;
				candidates.pop();
				step -= 1;
				continue;
			}
			if (!worker.fitsNow(job.submission.needs)) {
				continue;
			}
			compared += 1;
			if (free > bestFree) {
				best = worker;
				bestFree = free;
			}
		}
		return best;
	}

	/** A full worker that may hold one more start, the one with the fewest spares. */
	private _spare(job: JobRow): WorkerRow | undefined {
		const { spareStartsPerWorker } = this._pool.row;
		const isQueueLong = this._pool.queuedTasks > this._workers.length * queuedPerWorkerForSpares;
		if (spareStartsPerWorker === 0 || !isQueueLong) {
			return undefined;
		}
		const { nowMs } = this._tables;
		let best: WorkerRow | undefined;
		let bestFree = -spareStartsPerWorker;
		for (const worker of this._workers) {
			const free = worker.freeSlots(nowMs);
			if (free > bestFree && worker.fitsNow(job.submission.needs)) {
				best = worker;
				bestFree = free;
			}
		}
		return best;
	}
}

/** Places tasks with exact knowledge of the pool's slots. */
export class HomePolicy extends PlacementPolicy {
	readonly usesHome = true;

	chooserFor(tables: EntryTables, pool: PoolState, workers: readonly WorkerRow[]): IWorkerChooser {
		return new HomeChooser(tables, pool, workers);
	}
}
