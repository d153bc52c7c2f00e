/**
 * Finds runs that would end sooner if they were started anew elsewhere. Load patterns: workers that turn slow or stand
 * still, and workers that leave before their runs have ended.
 */

import { runRefOf, type TaskRunRef } from './dispatchMessages.js';
import type { HeldRun } from './heldRuns.js';

/** Pace from which a worker's runs are not looked at. */
export const fairPace = 0.8;
/** A run lags when it needs so much longer than a whole new one; moving costs its work. */
const minGainFactor = 1.2;

/**
 * Runs that lag at a worker.
 *
 * @param pace progress over time by the runs' estimates
 * @param leavesInMs time until the worker ends; infinite while it stays
 * @example
 * const laggards = findLaggards(runs.all, meter.paceAt(nowMs) ?? 1, Infinity);
 */
export function findLaggards(
	runs: readonly HeldRun[],
	pace: number,
	leavesInMs: number,
): readonly TaskRunRef[] {
	if (pace > fairPace && leavesInMs === Infinity) {
		return [];
	}
	return runs
		.filter(({ phase, percent, estimateMs }) => {
			const remainingMs = ((1 - percent / 100) * estimateMs) / Math.max(pace, 0.01);
			return phase === 'running' && (remainingMs > minGainFactor * estimateMs || remainingMs > leavesInMs);
		})
		.map(runRefOf);
}
