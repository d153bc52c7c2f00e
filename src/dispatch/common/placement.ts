/**
 * Chooses the worker of a task. Load pattern: several entries place on the same workers with a view that is a few
 * milliseconds old, so that a choice of the single best one would make them collide.
 */

import { addNeeds, countFitting, type TaskNeeds, type WorkerState } from './dispatchMessages.js';
import type { JobRequest } from './jobs.js';
import type { HealthRecord } from './workerHealth.js';

/** Expected ends within this factor of the earliest count as equal; estimates are no better. */
const equalEndFactor = 1.3;

/** A worker as an entry sees it. */
export interface WorkerView {
	readonly agentId: string;
	readonly state: WorkerState;
	readonly health: HealthRecord;
	/** Needs of starts that the state does not take into account yet. */
	readonly unseen: TaskNeeds;
	/** Runs of this entry there. */
	readonly runCount: number;
}

/** What a task asks of its worker. */
export interface PlacementRequest {
	readonly pool: string;
	readonly needs: TaskNeeds;
	readonly estimateMs: number;
	readonly requiredLabel?: string | undefined;
	readonly preferredLabel?: string | undefined;
	readonly awayFactor: number;
	readonly isCapacityEnforced: boolean;
	/** Agents at which the task has failed or was refused. */
	readonly excluded: ReadonlySet<string>;
}

/** What the tasks of a job ask of their workers. */
export function toPlacement(request: JobRequest, excluded: ReadonlySet<string>): PlacementRequest {
	const { pool, needs, estimateMs, requiredLabel, preferredLabel, awayFactor, isCapacityEnforced } = request;
	return { pool, needs, estimateMs, requiredLabel, preferredLabel, awayFactor, isCapacityEnforced, excluded };
}

/** What is free at a worker, as far as its entry knows. */
export function freeAt({ state, unseen }: WorkerView): TaskNeeds {
	return addNeeds(addNeeds(state.capacity, state.used, -1), unseen, -1);
}

/** Whether a worker may get a task of the request, room aside. */
export function isEligible(worker: WorkerView, request: PlacementRequest): boolean {
	const { state, health } = worker;
	if (!state.isAccepting || state.pool !== request.pool || request.excluded.has(worker.agentId)) {
		return false;
	}
	if (state.isCapacityGuessed && !request.isCapacityEnforced) {
		return false;
	}
	if (request.requiredLabel !== undefined && !state.labels.includes(request.requiredLabel)) {
		return false;
	}
	if (health.condition === 'probed') {
		return worker.runCount === 0 && state.used.cpuMillis === 0;
	}
	return health.condition === 'sound';
}

/** Expected duration of the request's task at a worker. */
export function expectedMs(worker: WorkerView, request: PlacementRequest): number {
	const { preferredLabel } = request;
	const isAway = preferredLabel !== undefined && !worker.state.labels.includes(preferredLabel);
	return (request.estimateMs * (isAway ? request.awayFactor : 1)) / worker.state.speed;
}

/**
 * Chooses among the workers that hold the task now: of those that end it soonest, one with much room, by chance.
 *
 * @param random returns a number from 0 up to 1
 * @returns `undefined` when the task fits nowhere now
 * @example
 * const worker = chooseWorker(workers, request, Math.random);
 */
export function chooseWorker<T extends WorkerView>(
	workers: Iterable<T>,
	request: PlacementRequest,
	random: () => number,
): T | undefined {
	const fitting: { readonly worker: T; readonly endMs: number; readonly room: number }[] = [];
	let earliestMs = Infinity;
	for (const worker of workers) {
		if (!isEligible(worker, request)) {
			continue;
		}
		const room = countFitting(request.needs, freeAt(worker));
		if (room === 0) {
			continue;
		}
		const endMs = expectedMs(worker, request);
		earliestMs = Math.min(earliestMs, endMs);
		fitting.push({ worker, endMs, room: Math.min(room, 1000) });
	}
	let chosen: T | undefined;
	let bestWeight = -1;
	for (const { worker, endMs, room } of fitting) {
		if (endMs > earliestMs * equalEndFactor) {
			continue;
		}
		// The largest of room × chance: workers with more room are chosen more often, but not by everyone.
		const weight = room * (0.5 + 0.5 * random());
		if (weight > bestWeight) {
			bestWeight = weight;
			chosen = worker;
		}
	}
	return chosen;
}
