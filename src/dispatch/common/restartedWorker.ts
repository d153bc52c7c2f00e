/** Decides what has become of the runs that an agent holds when its worker has restarted. */

import { getTaskKey, type TaskRunRef } from './dispatchMessages.js';
import type { HeldRun } from './heldRuns.js';

/**
 * What has become of a run. `continues`: the new life of the worker has taken it, and lists it as running or as ended. `lost`:
 * it has ended with the earlier life. `unclear`: its start may still reach the new life, or another run of the task is at work there.
 */
export type RestartEffect = 'continues' | 'lost' | 'unclear';

/** Runs that a worker lists. */
export interface ListedRuns {
	readonly running: readonly TaskRunRef[];
	readonly ended: readonly TaskRunRef[];
	/** Whether {@link ended} has all ends of the new life. */
	readonly areEndsComplete: boolean;
}

/**
 * Returns what has become of a run, by the first lists of the worker's new life. The new life may have the ID of the earlier one,
 * so that it has taken starts before the agent learned of it.
 *
 * @param sentMs time at which the poll was sent that the lists answer, by the agent's clock
 * @example
 * findRestartEffect(run, { running: [run], ended: [], areEndsComplete: true }, sentMs); // 'continues'
 */
export function findRestartEffect(
	run: Pick<HeldRun, 'jobId' | 'taskIndex' | 'run' | 'phase' | 'startedMs'>,
	lists: ListedRuns,
	sentMs: number,
): RestartEffect {
	if (isListed(run, lists)) {
		return 'continues';
	}
	// If the new life had answered the start before the poll, the run would be listed.
	const wasAnsweredBefore = run.phase === 'running' && run.startedMs <= sentMs;
	const isOtherRunListed = lists.running.some((other) => getTaskKey(other) === getTaskKey(run));
	return wasAnsweredBefore && lists.areEndsComplete && !isOtherRunListed ? 'lost' : 'unclear';
}

/** Returns whether a worker lists a run as running or as ended. */
export function isListed(run: TaskRunRef, { running, ended }: Omit<ListedRuns, 'areEndsComplete'>): boolean {
	const isSameRun = (other: TaskRunRef): boolean =>
		other.jobId === run.jobId && other.taskIndex === run.taskIndex && other.run === run.run;
	return running.some(isSameRun) || ended.some(isSameRun);
}
