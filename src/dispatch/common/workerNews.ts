/**
 * Tells what of a worker's state is worth a message to every entry. Load pattern: many agents and many entries, where
 * each agent's every change would be a message to each entry.
 */

import type { WorkerState } from './dispatchMessages.js';
import { fairPace } from './laggards.js';

/** Least change of a speed or of a fair pace, as a share of full speed; estimates are far rougher. */
const minSpeedChange = 0.1;
/** Least change of a pace that is not fair, by which entries move work. */
const minLowPaceChange = 0.02;
/** Least rise of the failed ends; they only fade otherwise. */
const minFailedRise = 0.25;

/**
 * Whether entries may decide otherwise by the next state than by the one that they were told last.
 *
 * @example
 * isWorkerNews(told, current); // true when room became free
 */
export function isWorkerNews(told: WorkerState | undefined, next: WorkerState | undefined): boolean {
	if (told === undefined || next === undefined) {
		return told !== next;
	}
	return (
		told.workerId !== next.workerId ||
		told.pool !== next.pool ||
		told.isAccepting !== next.isAccepting ||
		told.isCapacityGuessed !== next.isCapacityGuessed ||
		!areSameNeeds(told.capacity, next.capacity) ||
		!areSameNeeds(told.used, next.used) ||
		told.failureStreak !== next.failureStreak ||
		next.failedEnds - told.failedEnds >= minFailedRise ||
		Math.abs(told.speed - next.speed) >= minSpeedChange ||
		isPaceNews(told.pace, next.pace) ||
		areOtherRuns(told.laggards, next.laggards)
	);
}

function areSameNeeds(left: WorkerState['used'], right: WorkerState['used']): boolean {
	return (
		left.cpuMillis === right.cpuMillis &&
		left.memoryMb === right.memoryMb &&
		left.accelerators === right.accelerators
	);
}

function isPaceNews(told: number | undefined, next: number | undefined): boolean {
	if (told === undefined || next === undefined) {
		return told !== next;
	}
	const minChange = Math.min(told, next) < fairPace ? minLowPaceChange : minSpeedChange;
	return Math.abs(told - next) >= minChange;
}

function areOtherRuns(told: WorkerState['laggards'], next: WorkerState['laggards']): boolean {
	return (
		told.length !== next.length ||
		next.some(
			({ jobId, taskIndex, run }, position) =>
				told[position]?.jobId !== jobId ||
				told[position].taskIndex !== taskIndex ||
				told[position].run !== run,
		)
	);
}
