/**
 * Chooses a worker for a task. About a dozen entries place tasks on the same workers, with views that are some tens of
 * milliseconds old, so always choosing the best worker would make their starts collide.
 */

import { addNeeds, countFittingTasks, type TaskNeeds, type WorkerState } from './dispatchMessages.js';
import type { JobRequest } from './jobs.js';
import type { HealthRecord } from './workerHealth.js';

/**
 * Factor on the earliest expected end time within which end times count as equal. The users' slowest sound workers take
 * 1.56 times as long as their fastest, and objectives allow for that. With a smaller factor, all entries would send their
 * tasks to the fastest workers.
 */
const equalEndFactor = 1.7;

/** Number of free slots above which more do not raise a worker's probability any further. */
const maxWeightedSlots = 1000;

/** An entry's view of a worker. */
export interface WorkerView {
	readonly agentId: string;
	readonly state: WorkerState;
	readonly health: HealthRecord;
	/** Needs of sent starts that the state does not include yet. */
	readonly unreportedNeeds: TaskNeeds;
	/** Number of this entry's runs at the worker. */
	readonly runCount: number;
}

/** Requirements of a task on its worker. */
export interface PlacementRequest {
	readonly pool: string;
	readonly needs: TaskNeeds;
	readonly estimateMs: number;
	readonly requiredLabel?: string | undefined;
	readonly preferredLabel?: string | undefined;
	readonly awayFactor: number;
	readonly isCapacityEnforced: boolean;
	/** Share of a worker's CPU that the task leaves free for more urgent tasks. */
	readonly reservedShare: number;
	/** Agents at which the task has failed, or was refused as unhealthy, not accepting or invalid. */
	readonly excludedAgentIds: ReadonlySet<string>;
	/** Agents to which the task is restricted because workers have crashed; absent when it is not restricted. */
	readonly allowedAgentIds?: ReadonlySet<string> | undefined;
}

/** Limits of the placement of a job's tasks that depend on other jobs. */
export type PlacementLimits = Pick<PlacementRequest, 'reservedShare' | 'allowedAgentIds'>;

/** Creates the placement request of a job's task. */
export function createPlacementRequest(
	request: JobRequest,
	excludedAgentIds: ReadonlySet<string>,
	{ reservedShare, allowedAgentIds }: PlacementLimits,
): PlacementRequest {
	const { pool, needs, estimateMs, requiredLabel, preferredLabel, awayFactor, isCapacityEnforced } = request;
	return {
		pool,
		needs,
		estimateMs,
		requiredLabel,
		preferredLabel,
		awayFactor,
		isCapacityEnforced,
		reservedShare,
		excludedAgentIds,
		allowedAgentIds,
	};
}

/**
 * Returns the capacity of a worker that is free for a task: less the starts that the worker's state does not include yet,
 * and less the reserve for urgent tasks, unless the task is so large that it never fits beside the reserve.
 */
export function computeFreeCapacity(
	{ state, unreportedNeeds }: WorkerView,
	{ needs, reservedShare }: Pick<PlacementRequest, 'needs' | 'reservedShare'>,
): TaskNeeds {
	const free = addNeeds(addNeeds(state.capacity, state.used, -1), unreportedNeeds, -1);
	const reservedCpuMillis = reservedShare * state.capacity.cpuMillis;
	return needs.cpuMillis + reservedCpuMillis > state.capacity.cpuMillis
		? free
		: { ...free, cpuMillis: free.cpuMillis - reservedCpuMillis };
}

/** Returns whether a worker may get the task, regardless of its free capacity. */
export function isEligible(worker: WorkerView, request: PlacementRequest): boolean {
	const { state, health } = worker;
	if (!state.isAccepting || state.pool !== request.pool || request.excludedAgentIds.has(worker.agentId)) {
		return false;
	}
	if (request.allowedAgentIds?.has(worker.agentId) === false) {
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

function isWorkerNearData({ state }: WorkerView, { preferredLabel }: PlacementRequest): boolean {
	return preferredLabel === undefined || state.labels.includes(preferredLabel);
}

/**
 * Chooses a worker with free capacity for a task. Considers only workers whose expected end is close to the earliest and,
 * if any of these are near the task's data, only those. Picks one at random, weighted by the square of its free slots.
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
		readonly freeSlots: number;
		readonly isNearData: boolean;
	}[] = [];
	let earliestEndMs = Infinity;
	for (const worker of workers) {
		const freeSlots = isEligible(worker, request)
			? countFittingTasks(request.needs, computeFreeCapacity(worker, request))
			: 0;
		if (freeSlots === 0) {
			continue;
		}
		const isNearData = isWorkerNearData(worker, request);
		const endMs = (request.estimateMs * (isNearData ? 1 : request.awayFactor)) / worker.state.speed;
		earliestEndMs = Math.min(earliestEndMs, endMs);
		fitting.push({ worker, endMs, freeSlots, isNearData });
	}
	const soonEnough = fitting.filter(({ endMs }) => endMs <= earliestEndMs * equalEndFactor);
	const isAnyNearData = soonEnough.some(({ isNearData }) => isNearData);
	let chosen: T | undefined;
	let highestKey = -1;
	for (const { worker, freeSlots, isNearData } of soonEnough) {
		if (isAnyNearData && !isNearData) {
			continue;
		}
		// Taking the highest key chooses each worker with a probability proportional to the square of its free slots.
		const key = random() ** (1 / Math.min(freeSlots, maxWeightedSlots) ** 2);
		if (key > highestKey) {
			highestKey = key;
			chosen = worker;
		}
	}
	return chosen;
}
