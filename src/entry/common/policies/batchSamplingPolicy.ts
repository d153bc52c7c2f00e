/**
 * Baseline: samples twice as many workers as there are tasks in a tick, and sends the tasks to the least loaded of them
 * by cached load. There are no probes and no late binding, because agents keep no reservations.
 */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';
import { cachedLoad } from './twoChoicesPolicy.js';

const workersSampledPerTask = 2;

/** Places the tasks of a tick at the least loaded workers of a common sample. */
export class BatchSamplingPolicy extends PlacementPolicy {
	readonly usesHome = false;

	chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		const placeable = workers.placeableWorkers();
		const sample = new Set<WorkerRow>();
		for (
			let count = 0;
			count < pool.queuedTasks * workersSampledPerTask && placeable.length > 0;
			count += 1
		) {
			sample.add(tables.random.pick(placeable));
		}
		return {
			choose: (job: JobRow) => {
				let leastLoaded: WorkerRow | undefined;
				for (const worker of sample) {
					const isLessLoaded = leastLoaded === undefined || cachedLoad(worker) < cachedLoad(leastLoaded);
					if (isLessLoaded && worker.couldEverFit(job.submission.needs)) {
						leastLoaded = worker;
					}
				}
				if (leastLoaded !== undefined) {
					leastLoaded.reportedLoad += 1;
				}
				return leastLoaded;
			},
		};
	}
}
