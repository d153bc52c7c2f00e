/**
 * Finds laggards: runs that would end sooner if they were restarted on another worker, because their worker has become
 * slow, stalls, or leaves before they end.
 */

import { toStartRef, type TaskStartRef } from './dispatchMessages.js';
import type { HeldRun } from './heldRuns.js';

/** Pace above which the runs of a worker that stays are not checked. */
export const laggardPaceThreshold = 0.8;
/** A run lags when its remaining time exceeds that of a new run by this factor, since a move discards its progress. */
const minGainFactor = 1.2;

/**
 * Returns the runs that lag at a worker.
 *
 * @param pace progress over elapsed time; 1 when runs advance as estimated
 * @param leavesInMs time until the worker ends; infinite while it stays
 * @example
 * const laggards = findLaggards(runs.all, meter.getPace(nowMs) ?? 1, Infinity);
 */
export function findLaggards(
	runs: readonly HeldRun[],
	pace: number,
	leavesInMs: number,
): readonly TaskStartRef[] {
	if (pace > laggardPaceThreshold && leavesInMs === Infinity) {
		return [];
	}
	return runs
		.filter(({ phase, progressPercent: percent, estimateMs }) => {
			const remainingMs = ((1 - percent / 100) * estimateMs) / Math.max(pace, 0.01);
			return phase === 'running' && (remainingMs > minGainFactor * estimateMs || remainingMs > leavesInMs);
		})
		.map(toStartRef);
}
