/**
 * Tells which jobs have most likely crashed a worker. Load pattern: jobs of a confined route crash its workers one after the
 * other. Each of them that is started a second time takes the next worker to be back, before new jobs of the route can use it.
 */

import { recentRunAgeMs } from './crashingRoutes.js';
import type { CrashedRun } from './workerCrash.js';

/** Number of jobs up to which each is a likely cause; among more of them, most are not. */
const maxLikelyJobs = 3;

/**
 * Returns the jobs that have most likely crashed a worker: those of confined routes of which a task had just started there, if
 * they are few.
 *
 * @param runs runs that were at the worker
 * @param isConfined returns whether a route is confined because its tasks crash workers
 * @example
 * const jobIds = findLikelyCauses(crash.runs, (route) => confinement.isConfined(crash.pool, route));
 */
export function findLikelyCauses(
	runs: readonly CrashedRun[],
	isConfined: (route: string) => boolean,
): ReadonlySet<string> {
	const justStarted = runs.filter(({ route, ageMs }) => ageMs <= recentRunAgeMs && isConfined(route));
	const jobIds = new Set(justStarted.map(({ jobId }) => jobId));
	return jobIds.size <= maxLikelyJobs ? jobIds : new Set();
}
