/** Decides whether an agent refuses to start a run at its worker. */

import {
	addNeeds,
	countFittingTasks,
	type JobStart,
	type RefusalReason,
	type TaskRunRef,
} from './dispatchMessages.js';
import type { HeldRuns } from './heldRuns.js';
import type { WorkerAnnouncement } from './taskWorker.js';

/** State of an agent that decides about a start. */
export interface StartConditions {
	/** Last announcement of the worker; `undefined` while no worker is known. */
	readonly worker: WorkerAnnouncement | undefined;
	readonly isAccepting: boolean;
	readonly runs: HeldRuns;
	/** Whether the start arrived too late, or for an earlier incarnation of the worker. */
	readonly isExpired: boolean;
	/** Whether the capacity is known: the worker has announced it, not long ago, and lists no run of unknown needs. */
	readonly isCapacityKnown: boolean;
}

/**
 * Returns why a start is refused, or `undefined` when it is not. While an earlier run of the task is held, the reason is
 * `noRoom`; that run must end first.
 *
 * @example
 * const reason = findRefusalReason(job, { jobId, taskIndex: 0, run: 1 }, conditions);
 */
export function findRefusalReason(
	job: JobStart,
	task: TaskRunRef,
	{ worker, isAccepting, isExpired, runs, isCapacityKnown }: StartConditions,
): RefusalReason | undefined {
	if (worker?.pool !== job.pool || !isAccepting) {
		return 'notAccepting';
	}
	if (isExpired) {
		return 'expired';
	}
	if (runs.getLastRunNumber(task) >= task.run) {
		return 'olderRun';
	}
	if (runs.get(task) !== undefined || (!job.isCapacityEnforced && !isCapacityKnown)) {
		return 'noRoom';
	}
	const freeCapacity = addNeeds(worker.capacity, runs.used, -1);
	return countFittingTasks(job.needs, freeCapacity) > 0 ? undefined : 'noRoom';
}
