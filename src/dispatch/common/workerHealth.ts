/**
 * Decides which workers get no new tasks, and which get one to prove themselves. Load patterns: workers that fail all
 * they start and so look idle, workers that turn slow or stand still, and jobs that fail everywhere, for which no worker
 * is to pay.
 */

import type { WorkerState } from './dispatchMessages.js';

/** Pace below this share of the worker's usual speed is that of a worker in trouble; estimates alone rarely miss by so much. */
const slowShare = 0.36;
/** Usual speeds below this share of the pool's median are taken for the trouble's own effect. */
const minUsualShare = 0.7;
/** Failed ends from which a worker may be in trouble. */
const minFailures = 2.5;
/** Share of failed ends above which a worker is in trouble; jobs that can't be done are a few in a hundred. */
const failingShare = 0.4;
/** Failures one after the other that mean trouble at once. */
const maxFailureStreak = 3;
/** Time without new tasks after the last sign of trouble. */
const restMs = 900;
/** Share of a pool's workers that may rest at the same time; beyond it the trouble is not the workers'. */
const maxRestingShare = 0.4;

/** How a worker may be used. */
export type WorkerCondition =
	| 'sound'
	/** Gets one task at a time until one was done. */
	| 'probed'
	/** Gets nothing. */
	| 'resting';

/** What is remembered of one worker. */
export interface HealthRecord {
	condition: WorkerCondition;
	restUntilMs: number;
	/** Done ends at the time when the probing began; more of them end it. */
	doneAtProbe: number;
	/** Failures one after the other at that time; more of them mean more rest. */
	streakAtProbe: number;
}

/** A new worker's record. */
export function createHealthRecord(): HealthRecord {
	return { condition: 'sound', restUntilMs: 0, doneAtProbe: 0, streakAtProbe: 0 };
}

/** One worker with its record. */
export interface WatchedWorker {
	readonly state: WorkerState;
	readonly health: HealthRecord;
}

/**
 * Brings the records of one pool's workers up to date.
 *
 * @returns workers that have just begun to rest
 * @example
 * const resting = reviewHealth(workers, nowMs);
 */
export function reviewHealth<T extends WatchedWorker>(workers: readonly T[], nowMs: number): readonly T[] {
	const medianSpeed = median(workers.map(({ state }) => state.speed));
	let resting = workers.filter(({ health }) => health.condition === 'resting').length;
	const begun: T[] = [];
	for (const worker of workers) {
		const { state, health } = worker;
		const isTroubled = isSlow(state, medianSpeed) || isFailing(state, health);
		if (isTroubled && health.condition === 'resting') {
			health.restUntilMs = nowMs + restMs;
		} else if (isTroubled && resting + 1 <= Math.max(1, workers.length * maxRestingShare)) {
			resting += 1;
			health.condition = 'resting';
			health.restUntilMs = nowMs + restMs;
			begun.push(worker);
		} else if (health.condition === 'resting' && nowMs >= health.restUntilMs) {
			resting -= 1;
			health.condition = 'probed';
			health.streakAtProbe = state.failureStreak;
			health.doneAtProbe = state.doneEnds;
		} else if (health.condition === 'probed') {
			endProbing(state, health);
		}
	}
	return begun;
}

/** Whether a state may be that of a worker in trouble, so that the review is not to wait. */
export function isSuspect({ failureStreak, pace }: WorkerState): boolean {
	return failureStreak > 0 || (pace !== undefined && pace < slowShare);
}

function endProbing(state: WorkerState, health: HealthRecord): void {
	if (state.doneEnds > health.doneAtProbe + 0.5 || (health.streakAtProbe > 0 && state.failureStreak === 0)) {
		health.condition = 'sound';
	}
	// Old ends fade; without this a worker that was busy before would have to do more than one task.
	health.doneAtProbe = Math.min(health.doneAtProbe, state.doneEnds);
}

function isSlow({ pace, speed }: WorkerState, medianSpeed: number): boolean {
	return pace !== undefined && pace < slowShare * Math.max(speed, minUsualShare * medianSpeed);
}

/** Failures count once: a worker that rests or is probed is in trouble only by new ones. */
function isFailing(state: WorkerState, health: HealthRecord): boolean {
	const { failedEnds, doneEnds, failureStreak } = state;
	switch (health.condition) {
		case 'resting':
			return false;
		case 'probed':
			return failureStreak > health.streakAtProbe;
		case 'sound':
			return (
				failureStreak >= maxFailureStreak ||
				(failedEnds >= minFailures && failedEnds > failingShare * (failedEnds + doneEnds))
			);
	}
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 1;
}
