/**
 * Orders the waiting jobs for placement. The order matters when more work arrives than can be done for some seconds, in
 * kinds of jobs whose slack differs by a factor of ten.
 */

import type { JobRow } from './jobTable.js';

/** Offset of the sort key per priority level; exceeds the time that most jobs have to spare, so priority decides. */
const priorityStepMs = 300;
/** Separates classes of jobs; larger than any time in milliseconds. */
const classOffsetMs = 1e12;
/** Priority of the routes whose jobs come before all others. */
export const highestPriority = 0;

/**
 * Computes the sort key of a waiting job; the lowest key is placed first. Jobs of the highest priority come first: their
 * tasks are short, and waiting behind the tasks of others would make them late. Then come started jobs, since their work is lost
 * unless their other tasks run too, and then jobs that can still end in time, by their latest start and their route's
 * priority. Late jobs come last and only use the remaining capacity.
 *
 * @example
 * waitingJobs.sort((a, b) => computeOrderKey(a, nowMs) - computeOrderKey(b, nowMs));
 */
export function computeOrderKey(job: JobRow, nowMs: number): number {
	const { latestStartMs, request, hasStarted } = job;
	const isLate = !hasStarted && latestStartMs < nowMs;
	const latePenaltyMs = isLate ? classOffsetMs : 0;
	const startedOffsetMs = hasStarted ? -classOffsetMs : 0;
	const highestOffsetMs = request.priority === highestPriority && !isLate ? -2 * classOffsetMs : 0;
	return (
		latestStartMs + request.priority * priorityStepMs + latePenaltyMs + startedOffsetMs + highestOffsetMs
	);
}
