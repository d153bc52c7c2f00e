/**
 * One entry places all tasks of a pool and so knows each slot: tasks wait in one queue and go to a free slot, in the
 * home's data centre first. While the queue is long, workers also get a few spare starts, so that a slot that falls
 * free is filled without a round trip.
 */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';
import { dataCentreToAnswer } from '../systems/directAnswerSystem.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';

/**
 * Queued tasks a worker from which spare starts are sent. A spare start is bound to its worker early, which costs
 * more than the round trip that it hides unless every slot that falls free has a task waiting anyway.
 */
const queuedPerWorkerForSpares = 1;

/** Chooses by the pool's index of free slots, which follows every start of the tick. */
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
			this._whereReaderWaits(job) ??
			workers.freestIn(this._dataCentre, needs, 0) ??
			workers.freestElsewhere(needs, 0) ??
			this._spare(job)
		);
	}

	private get _dataCentre(): string {
		return this._tables.options.dataCentre;
	}

	/**
	 * A worker beside the entry that an agent answers directly: its answer crosses no data centre, as many hops as by a
	 * worker beside the home, whose slots are left to the jobs that have no hop at all there.
	 */
	private _whereReaderWaits(job: JobRow): WorkerRow | undefined {
		const dataCentre = dataCentreToAnswer(this._tables, job);
		return dataCentre === undefined ? undefined : this._workers.freestIn(dataCentre, job.submission.needs, 0);
	}

	/** A full worker that may hold one more start, the one with the fewest spares. */
	private _spare(job: JobRow): WorkerRow | undefined {
		const workers = this._workers;
		const { spareStartsPerWorker } = this._pool.row;
		const isQueueLong = this._pool.queuedTasks > workers.placeableCount * queuedPerWorkerForSpares;
		if (spareStartsPerWorker === 0 || !isQueueLong) {
			return undefined;
		}
		const { needs } = job.submission;
		const nearby = workers.freestIn(this._dataCentre, needs, -spareStartsPerWorker);
		const leastFree = nearby?.freeSlots(this._tables.nowMs) ?? -spareStartsPerWorker;
		return workers.freestElsewhere(needs, leastFree) ?? nearby;
	}
}

/** Places tasks with exact knowledge of the pool's slots. */
export class HomePolicy extends PlacementPolicy {
	readonly usesHome = true;

	chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		return new HomeChooser(tables, pool, workers);
	}
}
