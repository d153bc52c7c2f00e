/**
 * Order in which jobs get room. Load pattern: more comes than can be done for some seconds, in kinds whose slack differs
 * by a factor of ten.
 */

import type { JobRow } from './jobTable.js';

/** Time by which each step of priority moves a job back: more than the slack of most, so that priority decides. */
const priorityStepMs = 300;
/** Separates jobs that have started, that can be in time, and that can't; beyond every time. */
const classStepMs = 1e12;

/**
 * Place of a job among those that wait: the least first. Jobs of which tasks run already come first, since their work is
 * lost unless the rest of them runs too; then those that can still be in time, by the latest time at which they must
 * start and by their route's priority; what is late fills the room that is left.
 *
 * @example
 * waiting.sort((left, right) => orderOf(left, nowMs) - orderOf(right, nowMs));
 */
export function orderOf(job: JobRow, nowMs: number): number {
	const { latestStartMs, request, hasStarted } = job;
	const lateMs = !hasStarted && latestStartMs < nowMs ? classStepMs : 0;
	const startedMs = hasStarted ? -classStepMs : 0;
	return latestStartMs + request.priority * priorityStepMs + lateMs + startedMs;
}
