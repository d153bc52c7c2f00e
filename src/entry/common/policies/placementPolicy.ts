/** How a worker is found for a task. The bench compares the policies; the daemon's default is the home policy. */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';

/** Chooses workers for one pool's tasks in one tick. */
export interface IWorkerChooser {
	/** The worker for the job's next task, or undefined while the task should wait in this entry's queue. */
	choose(job: JobRow): WorkerRow | undefined;
}

/** A way of placing tasks. */
export abstract class PlacementPolicy {
	/** Whether all tasks of a pool are placed by the pool's home, so that other entries relay their jobs to it. */
	abstract readonly usesHome: boolean;

	/**
	 * Prepares the choices of one tick.
	 *
	 * @param workers the pool's workers; ejected ones aren't among those that are placeable
	 * @example
	 * const worker = policy.chooserFor(tables, pool, workers).choose(job);
	 */
	abstract chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser;
}
