/** Baseline: chooses workers at random, regardless of their load. Tasks wait in the agents' queues. */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';

/** Places each task at a random worker that is large enough for it. */
export class RandomPolicy extends PlacementPolicy {
	readonly usesHome = false;

	chooserFor(tables: EntryTables, _pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		const placeable = workers.placeableWorkers();
		return {
			choose: (job: JobRow) => {
				const fitting = placeable.filter((worker) => worker.couldEverFit(job.submission.needs));
				return fitting.length === 0 ? undefined : tables.random.pick(fitting);
			},
		};
	}
}
