/**
 * Baseline: for the tasks of a tick, twice as many workers are sampled, and the tasks go to the least loaded of them
 * by cached load. It has no probes and no late binding: agents keep no reservations.
 */

import type { EntryTables } from '../entryTables.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { PoolWorkers } from '../poolWorkers.js';
import type { WorkerRow } from '../workerRow.js';
import { PlacementPolicy, type IWorkerChooser } from './placementPolicy.js';
import { cachedLoad } from './twoChoicesPolicy.js';

const sampledPerTask = 2;

/** Places the tasks of a tick at the least loaded of a common sample. */
export class BatchSamplingPolicy extends PlacementPolicy {
	readonly usesHome = false;

	chooserFor(tables: EntryTables, pool: PoolState, workers: PoolWorkers): IWorkerChooser {
		const placeable = workers.placeable();
		const sample = new Set<WorkerRow>();
		for (let count = 0; count < pool.queuedTasks * sampledPerTask && placeable.length > 0; count += 1) {
			sample.add(tables.random.pick(placeable));
		}
		return {
			choose: (job: JobRow) => {
				let best: WorkerRow | undefined;
				for (const worker of sample) {
					const isLess = best === undefined || cachedLoad(worker) < cachedLoad(best);
					if (isLess && worker.couldEverFit(job.submission.needs)) {
						best = worker;
					}
				}
				if (best !== undefined) {
					best.reportedLoad += 1;
				}
				return best;
			},
		};
	}
}
