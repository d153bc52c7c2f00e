/** Defines how a worker is chosen for a task. The bench compares the policies; the daemon's default is `home`. */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';

/** Chooses workers for one pool's tasks in one tick. */
export interface IWorkerChooser {
	/** Returns the worker for the job's next task, or undefined if the task should wait in this entry's queue. */
	choose(job: JobRow): WorkerRow | undefined;
}

/** Strategy that decides which worker a task is sent to. */
export abstract class PlacementPolicy {
	/** Whether all tasks of a pool are placed by the pool's home, so that other entries relay their jobs to it. */
	abstract readonly usesHome: boolean;

	/**
	 * Returns a chooser for the tasks of one pool in one tick.
	 *
	 * @param workers the pool's workers; those that are ejected aren't placeable
	 * @example
	 * const worker = policy.chooserFor(tables, pool, workers).choose(job);
	 */
	abstract chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser;
}
