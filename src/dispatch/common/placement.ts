/**
 * Chooses the worker of a task. Load pattern: a dozen entries place on the same workers with a view that is some tens of
 * milliseconds old, so that a choice of the best ones would make them collide.
 */

import { addNeeds, countFitting, type TaskNeeds, type WorkerState } from './dispatchMessages.js';
import type { JobRequest } from './jobs.js';
import type { HealthRecord } from './workerHealth.js';

/**
 * Expected ends within this factor of the earliest count as equal: the users' slowest sound workers take 1.56 times as
 * long as their fastest, and objectives leave room for that. With less, all entries would press to the fastest.
 */
const equalEndFactor = 1.7;

/** Tasks of room from which more makes no difference. */
const maxRoom = 1000;

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

function isNear({ state }: WorkerView, { preferredLabel }: PlacementRequest): boolean {
	return preferredLabel === undefined || state.labels.includes(preferredLabel);
}

/**
 * Chooses among the workers that hold the task now: of those that end it soon enough, and near its data if there are
 * any, one by chance, those with more room rather.
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
	const fitting: {
		readonly worker: T;
		readonly endMs: number;
		readonly room: number;
		readonly isNearData: boolean;
	}[] = [];
	let earliestMs = Infinity;
	for (const worker of workers) {
		const room = isEligible(worker, request) ? countFitting(request.needs, freeAt(worker)) : 0;
		if (room === 0) {
			continue;
		}
		const isNearData = isNear(worker, request);
		const endMs = (request.estimateMs * (isNearData ? 1 : request.awayFactor)) / worker.state.speed;
		earliestMs = Math.min(earliestMs, endMs);
		fitting.push({ worker, endMs, room, isNearData });
	}
	const soon = fitting.filter(({ endMs }) => endMs <= earliestMs * equalEndFactor);
	const hasNear = soon.some(({ isNearData }) => isNearData);
	let chosen: T | undefined;
	let highest = -1;
	for (const { worker, room, isNearData } of soon) {
		if (hasNear && !isNearData) {
			continue;
		}
		// The highest of these keys falls on each worker in proportion to the square of its room.
		const key = random() ** (1 / Math.min(room, maxRoom) ** 2);
		if (key > highest) {
			highest = key;
			chosen = worker;
		}
	}
	return chosen;
}
