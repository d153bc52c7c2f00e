/**
 * Decides what becomes of a task that has lost a run. A task that crashes each worker that starts it takes one worker after
 * the other from all jobs if it is started again without a limit.
 */

import type { CrashCount } from './crashHistory.js';

/** Number of workers that have certainly crashed under a task from which its job has failed. */
const maxCertainCrashes = 2;
/**
 * Number of possible crashes, or of lost runs, from which a task is given up, since a crash is not always seen: the agent may
 * have been restarted or cut off meanwhile.
 */
const maxLosses = 3;

/** `retry`: the task is started again. `fail`: its job has failed. `abandon`: its job ends, and it is unknown what has run. */
export type LostTaskDecision = 'retry' | 'fail' | 'abandon';

/**
 * Decides about a task that has lost a run.
 *
 * @param crashes workers that have crashed under the task, at all entries
 * @param losses number of the task's lost runs at this entry, for any cause
 * @example
 * decideLostTask(history.countCrashes(task), task.losses); // 'retry'
 */
export function decideLostTask({ certain, possible }: CrashCount, losses: number): LostTaskDecision {
	if (certain >= maxCertainCrashes) {
		return 'fail';
	}
	return Math.max(possible, losses) >= maxLosses ? 'abandon' : 'retry';
}
