/**
 * Detects unhealthy workers from their reported pace and failures, stops giving them tasks for a while, and then probes
 * them with single tasks. Covers workers that fail all tasks and therefore look idle, and workers that become slow or
 * stall. Jobs that fail on every worker must not make workers count as unhealthy.
 */

import type { WorkerState } from './dispatchMessages.js';

/** Share of its usual speed below which a worker's pace is too slow; inaccurate estimates alone rarely cause that. */
const slowPaceShare = 0.36;
/** Least usual speed, as a share of the pool's median; a lower one is attributed to the worker's bad health. */
const minUsualSpeedShare = 0.7;
/** Least number of failed runs, with older ones weighing less, for {@link maxFailedEndShare} to apply. */
const minFailedEnds = 2.5;
/** Share of failed runs above which a worker is unhealthy; jobs that always fail are only a few per cent. */
const maxFailedEndShare = 0.4;
/** Number of consecutive failures from which a worker is unhealthy regardless of its other runs. */
const failureStreakLimit = 3;
/** Time without new tasks after the worker was last found unhealthy. */
const restDurationMs = 900;
/** Largest share of a pool's workers that may be `resting` at once; if more look unhealthy, workers are not the cause. */
const maxRestingShare = 0.4;

/** Health condition, which decides whether a worker gets tasks. */
export type WorkerCondition =
	/** Gets tasks without restriction. */
	| 'sound'
	/** Gets one task at a time until one is done. */
	| 'probed'
	/** Gets no tasks. */
	| 'resting';

/** Health state of one worker. */
export interface HealthRecord {
	condition: WorkerCondition;
	restUntilMs: number;
	/** Number of done runs when probing began, lowered as they fade; a further one ends the probing. */
	doneEndsAtProbe: number;
	/** Number of consecutive failures when probing began; a further one makes the worker `resting` again. */
	failureStreakAtProbe: number;
}

/** Creates the health state of a new worker, which is healthy. */
export function createHealthRecord(): HealthRecord {
	return { condition: 'sound', restUntilMs: 0, doneEndsAtProbe: 0, failureStreakAtProbe: 0 };
}

/** A worker's reported state and its health record. */
export interface ReviewedWorker {
	readonly state: WorkerState;
	readonly health: HealthRecord;
}

/**
 * Updates the health records of one pool's workers.
 *
 * @returns workers that have just been set to `resting`
 * @example
 * const resting = reviewHealth(workers, nowMs);
 */
export function reviewHealth<T extends ReviewedWorker>(workers: readonly T[], nowMs: number): readonly T[] {
	const medianSpeed = median(workers.map(({ state }) => state.speed));
	let restingCount = workers.filter(({ health }) => health.condition === 'resting').length;
	const newlyResting: T[] = [];
	for (const worker of workers) {
		const { state, health } = worker;
		const isUnhealthy = isSlow(state, medianSpeed) || isFailing(state, health);
		if (isUnhealthy && health.condition === 'resting') {
			health.restUntilMs = nowMs + restDurationMs;
		} else if (isUnhealthy && restingCount + 1 <= Math.max(1, workers.length * maxRestingShare)) {
			restingCount += 1;
			health.condition = 'resting';
			health.restUntilMs = nowMs + restDurationMs;
			newlyResting.push(worker);
		} else if (health.condition === 'resting' && nowMs >= health.restUntilMs) {
			restingCount -= 1;
			health.condition = 'probed';
			health.failureStreakAtProbe = state.failureStreak;
			health.doneEndsAtProbe = state.doneEnds;
		} else if (health.condition === 'probed') {
			updateProbing(state, health);
		}
	}
	return newlyResting;
}

/** Returns whether a state may be that of an unhealthy worker, so that the health review should not wait. */
export function isSuspect({ failureStreak, pace }: WorkerState): boolean {
	return failureStreak > 0 || (pace !== undefined && pace < slowPaceShare);
}

function updateProbing(state: WorkerState, health: HealthRecord): void {
	if (
		state.doneEnds > health.doneEndsAtProbe + 0.5 ||
		(health.failureStreakAtProbe > 0 && state.failureStreak === 0)
	) {
		health.condition = 'sound';
	}
	// The count of done runs decays. Without this line, a previously busy worker would need more than one done task.
	health.doneEndsAtProbe = Math.min(health.doneEndsAtProbe, state.doneEnds);
}

function isSlow({ pace, speed }: WorkerState, medianSpeed: number): boolean {
	return pace !== undefined && pace < slowPaceShare * Math.max(speed, minUsualSpeedShare * medianSpeed);
}

/** Returns whether a worker's failures make it unhealthy. While it is `probed`, only new ones count; if `resting`, none. */
function isFailing(state: WorkerState, health: HealthRecord): boolean {
	const { failedEnds, doneEnds, failureStreak } = state;
	switch (health.condition) {
		case 'resting':
			return false;
		case 'probed':
			return failureStreak > health.failureStreakAtProbe;
		case 'sound':
			return (
				failureStreak >= failureStreakLimit ||
				(failedEnds >= minFailedEnds && failedEnds > maxFailedEndShare * (failedEnds + doneEnds))
			);
	}
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 1;
}
