/** Creates the state of a worker that its agent reports to entries. */

import type { WorkerState, WorkerTime } from './dispatchMessages.js';
import type { EndCounts } from './endCounts.js';
import type { HeldRuns } from './heldRuns.js';
import type { KnownWorker } from './knownWorker.js';
import { findLaggards } from './laggards.js';
import type { PaceMeter } from './paceMeter.js';

/** What an agent knows of its worker. */
export interface WorkerStateSources {
	readonly worker: KnownWorker;
	readonly runs: HeldRuns;
	readonly paceMeter: PaceMeter;
	readonly endCounts: EndCounts;
	readonly isAccepting: boolean;
	/** Present time by the worker's clock; `undefined` while its clock is unknown. */
	readonly workerTime: WorkerTime | undefined;
	readonly nowMs: number;
}

/**
 * Returns the state to report, or `undefined` while no worker is known.
 *
 * @example
 * const state = createWorkerState({ worker, runs, paceMeter, endCounts, isAccepting: true, workerTime, nowMs });
 */
export function createWorkerState(sources: WorkerStateSources): WorkerState | undefined {
	const { worker, runs, paceMeter, endCounts, isAccepting, workerTime, nowMs } = sources;
	if (worker.announcement === undefined) {
		return undefined;
	}
	const pace = paceMeter.getPace(nowMs);
	const { workerId, dataCentre, pool, labels, capacity } = worker.announcement;
	return {
		...{ workerId, dataCentre, pool, labels, capacity, workerKey: worker.key },
		...endCounts.getCounts(nowMs),
		isCapacityGuessed: worker.workerId === undefined,
		used: runs.used,
		isAccepting,
		workerTime,
		speed: paceMeter.speed,
		pace,
		laggards: findLaggards(runs.all, pace ?? 1, worker.getTimeToExitMs(nowMs)),
	};
}
