/**
 * Decides which workers get no new tasks, and which get one to prove themselves. Load patterns: workers that fail all
 * they start and so look idle, workers that turn slow or stand still, and jobs that fail everywhere, for which no worker
 * is to pay.
 */

import type { WorkerState } from './dispatchMessages.js';

/** Pace below this share of the pool's median is that of a worker in trouble; estimates alone rarely miss by so much. */
const slowShare = 0.42;
/** Failed ends from which a worker may be in trouble. */
const minFailures = 2.5;
/** Share of failed ends above which a worker is in trouble; jobs that can't be done are a few in a hundred. */
const failingShare = 0.5;
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
}

/** A new worker's record. */
export function createHealthRecord(): HealthRecord {
	return { condition: 'sound', restUntilMs: 0, doneAtProbe: 0 };
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
	const medianPace = median(
		workers.flatMap(({ state, health }) =>
			state.pace === undefined || health.condition !== 'sound' ? [] : [state.pace],
		),
	);
	let resting = workers.filter(({ health }) => health.condition === 'resting').length;
	const begun: T[] = [];
	for (const worker of workers) {
		const { state, health } = worker;
		if (isInTrouble(state, medianPace)) {
			if (health.condition !== 'resting' && resting + 1 > Math.max(1, workers.length * maxRestingShare)) {
				continue;
			}
			if (health.condition !== 'resting') {
				resting += 1;
				health.condition = 'resting';
				begun.push(worker);
			}
			health.restUntilMs = nowMs + restMs;
			continue;
		}
		if (health.condition === 'resting' && nowMs >= health.restUntilMs) {
			health.condition = 'probed';
			health.doneAtProbe = state.doneEnds;
		}
		if (health.condition === 'probed') {
			if (state.doneEnds > health.doneAtProbe + 0.5) {
				health.condition = 'sound';
			}
			// Old ends fade; without this a worker that was busy before would have to do more than one task.
			health.doneAtProbe = Math.min(health.doneAtProbe, state.doneEnds);
		}
	}
	return begun;
}

function isInTrouble({ pace, failedEnds, doneEnds }: WorkerState, medianPace: number | undefined): boolean {
	if (pace !== undefined && medianPace !== undefined && pace < slowShare * medianPace) {
		return true;
	}
	return failedEnds >= minFailures && failedEnds > failingShare * (failedEnds + doneEnds);
}

function median(values: readonly number[]): number | undefined {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted.length < 2 ? undefined : sorted[Math.floor(sorted.length / 2)];
}
