/** Baseline: chooses the less loaded of two random workers, by the load that the agents reported last. */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';

/** Returns a worker's load relative to its slots, as last reported and increased by this entry's starts since then. */
export function cachedLoad(worker: WorkerRow): number {
	return Math.max(worker.reportedLoad, worker.assignedTasks.size) / Math.max(1, worker.offer?.slots ?? 1);
}

/** Places each task at the less loaded of two random workers. */
export class TwoChoicesPolicy extends PlacementPolicy {
	readonly usesHome = false;

	chooserFor(tables: EntryTables, _pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		const placeable = workers.placeableWorkers();
		return {
			choose: (job: JobRow) => {
				const fitting = placeable.filter((worker) => worker.couldEverFit(job.submission.needs));
				if (fitting.length === 0) {
					return undefined;
				}
				const first = tables.random.pick(fitting);
				const second = tables.random.pick(fitting);
				const chosen = cachedLoad(second) < cachedLoad(first) ? second : first;
				chosen.reportedLoad += 1;
				return chosen;
			},
		};
	}
}
