/**
 * Filters changes of a worker's state, since an agent sends each reported change to every entry. Without a filter, the
 * number of messages would grow with agents times entries.
 */

import type { WorkerState } from './dispatchMessages.js';
import { laggardPaceThreshold } from './laggards.js';

/** Least reported change of the speed, or of a pace that makes no laggards; estimates are less accurate than this. */
const minSpeedChange = 0.1;
/** Least reported change of a pace below {@link laggardPaceThreshold}; entries move runs because of such paces. */
const minLowPaceChange = 0.02;
/** Least reported change of the used resources, as a share of what remains free. */
const minRoomChangeShare = 0.5;
/** Least reported rise of the failed runs; a decay is not reported. */
const minFailedEndsRise = 0.25;

/**
 * Returns whether a state differs enough from the last reported one to change the decisions of entries.
 *
 * @example
 * isSignificantStateChange(lastReported, current); // true when capacity was freed
 */
export function isSignificantStateChange(
	lastReported: WorkerState | undefined,
	next: WorkerState | undefined,
): boolean {
	if (lastReported === undefined || next === undefined) {
		return lastReported !== next;
	}
	return (
		lastReported.workerId !== next.workerId ||
		lastReported.workerTime?.incarnation !== next.workerTime?.incarnation ||
		lastReported.pool !== next.pool ||
		lastReported.isAccepting !== next.isAccepting ||
		lastReported.isCapacityGuessed !== next.isCapacityGuessed ||
		!areNeedsEqual(lastReported.capacity, next.capacity) ||
		isSignificantRoomChange(lastReported, next) ||
		lastReported.failureStreak !== next.failureStreak ||
		next.failedEnds - lastReported.failedEnds >= minFailedEndsRise ||
		Math.abs(lastReported.speed - next.speed) >= minSpeedChange ||
		isSignificantPaceChange(lastReported.pace, next.pace) ||
		areRunsDifferent(lastReported.laggards, next.laggards)
	);
}

/**
 * Returns whether the free room has changed by a share that matters: where much is free, entries choose well by an older
 * view, and where little is free, each slot counts.
 */
function isSignificantRoomChange(lastReported: WorkerState, next: WorkerState): boolean {
	const resources = ['cpuMillis', 'memoryMb', 'accelerators'] as const;
	return resources.some((resource) => {
		const change = Math.abs(next.used[resource] - lastReported.used[resource]);
		const free = Math.max(
			0,
			next.capacity[resource] - Math.max(next.used[resource], lastReported.used[resource]),
		);
		return change > 0 && change >= minRoomChangeShare * free;
	});
}

function areNeedsEqual(left: WorkerState['used'], right: WorkerState['used']): boolean {
	return (
		left.cpuMillis === right.cpuMillis &&
		left.memoryMb === right.memoryMb &&
		left.accelerators === right.accelerators
	);
}

function isSignificantPaceChange(lastReported: number | undefined, next: number | undefined): boolean {
	if (lastReported === undefined || next === undefined) {
		return lastReported !== next;
	}
	const minChange = Math.min(lastReported, next) < laggardPaceThreshold ? minLowPaceChange : minSpeedChange;
	return Math.abs(lastReported - next) >= minChange;
}

function areRunsDifferent(lastReported: WorkerState['laggards'], next: WorkerState['laggards']): boolean {
	return (
		lastReported.length !== next.length ||
		next.some(
			({ jobId, taskIndex, run }, position) =>
				lastReported[position]?.jobId !== jobId ||
				lastReported[position].taskIndex !== taskIndex ||
				lastReported[position].run !== run,
		)
	);
}
