/**
 * Places all tasks of a pool at one entry, the home, which therefore knows each slot. Tasks wait in one queue and go to
 * a free slot, preferably in the home's data centre. While the queue is long, workers also get a few spare starts, so
 * that a slot that becomes free is filled without a round trip.
 */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';
import { directAnswerDataCentre } from '../systems/directAnswerSystem.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';

/**
 * Queued tasks per worker above which spare starts are sent. A spare start is bound to its worker early. That costs more
 * than the round trip that it saves, unless a task is waiting for every slot that becomes free anyway.
 */
const queuedTasksPerWorkerForSpares = 1;

/** Chooses workers by the pool's index of free slots, which is updated after each task that the tick starts. */
class HomeChooser implements IWorkerChooser {
	constructor(
		private readonly _tables: EntryTables,
		private readonly _pool: PoolState,
		private readonly _workers: PoolWorkers,
	) {}

	choose(job: JobRow): WorkerRow | undefined {
		const { needs } = job.submission;
		const workers = this._workers;
		this._tables.workers.refresh(this._tables.nowMs);
		return (
			this._freestNearReader(job) ??
			workers.findMostFreeIn(this._dataCentre, needs, 0) ??
			workers.findMostFreeRemote(needs, 0) ??
			this._workerForSpareStart(job)
		);
	}

	private get _dataCentre(): string {
		return this._tables.options.dataCentre;
	}

	/**
	 * Returns the worker with the most free slots in the data centre of the entry that is answered directly. The answer
	 * then doesn't cross data centres. The number of hops is the same as with a worker in the home's data centre, whose
	 * slots are left to jobs that need no hop there.
	 */
	private _freestNearReader(job: JobRow): WorkerRow | undefined {
		const dataCentre = directAnswerDataCentre(this._tables, job);
		return dataCentre === undefined
			? undefined
			: this._workers.findMostFreeIn(dataCentre, job.submission.needs, 0);
	}

	/** Returns the full worker with the fewest spare starts, if it may hold one more. */
	private _workerForSpareStart(job: JobRow): WorkerRow | undefined {
		const workers = this._workers;
		const { spareStartsPerWorker } = this._pool.row;
		const isQueueLong = this._pool.queuedTasks > workers.placeableCount * queuedTasksPerWorkerForSpares;
		if (spareStartsPerWorker === 0 || !isQueueLong) {
			return undefined;
		}
		const { needs } = job.submission;
		const nearby = workers.findMostFreeIn(this._dataCentre, needs, -spareStartsPerWorker);
		const fewestFreeSlots = nearby?.freeSlots(this._tables.nowMs) ?? -spareStartsPerWorker;
		return workers.findMostFreeRemote(needs, fewestFreeSlots) ?? nearby;
	}
}

/** Places tasks with exact knowledge of the pool's slots. */
export class HomePolicy extends PlacementPolicy {
	readonly usesHome = true;

	chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		return new HomeChooser(tables, pool, workers);
	}
}
