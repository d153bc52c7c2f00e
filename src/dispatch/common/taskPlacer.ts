/** Places waiting tasks on workers, and batches the starts of one scheduling round into one message per agent. */

import type { CrashHistory, CrashSuspicion } from './crashHistory.js';
import {
	addRun,
	assignStartSequence,
	estimateWorkerTime,
	type AgentRow,
	type AgentTable,
} from './agentTable.js';
import type { EndingRuns } from './endingRuns.js';
import type { JobStart, StartTasksMessage } from './dispatchMessages.js';
import { recordStart, traceStep, type JobRow, type TaskRow } from './jobTable.js';
import type { JobRequest } from './jobs.js';
import {
	chooseWorker,
	createPlacementRequest,
	isEligible,
	type PlacementLimits,
	type PlacementRequest,
} from './placement.js';
import { chooseSuspectAgent } from './suspectPlacement.js';

/** Weight of a newly placed task in the moving average of estimated durations. */
const newTaskWeight = 0.02;
/** Initial value of that average. */
const initialMeanTaskMs = 300;

type StartsByAgent = Map<AgentRow, Map<JobRow, JobStart>>;

/** Places waiting tasks, job by job. */
export class TaskPlacer {
	private _meanTaskMs = initialMeanTaskMs;
	private _lastStartId = 0;

	constructor(
		private readonly _agents: AgentTable,
		private readonly _getLimits: (request: JobRequest, nowMs: number) => PlacementLimits,
		private readonly _crashes: CrashHistory,
		private readonly _endingRuns: EndingRuns,
		private readonly _send: (connectionId: number, message: StartTasksMessage) => void,
		private readonly _random: () => number,
	) {}

	/** Moving average of the estimated durations of placed tasks. */
	get meanTaskMs(): number {
		return this._meanTaskMs;
	}

	/**
	 * Places as many waiting tasks as fit now, and sends their starts.
	 *
	 * @param jobs jobs with waiting tasks, the most urgent first
	 * @returns the number of starts that were sent
	 */
	placeTasks(jobs: readonly JobRow[], nowMs: number): number {
		const starts: StartsByAgent = new Map();
		const unplaceableCpuMillisByPlace = new Map<string, number>();
		for (const job of jobs) {
			const { needs, pool, requiredLabel } = job.request;
			// If a task of an earlier job did not fit, a task that needs as much CPU does not fit either.
			const { allowedAgentIds } = this._getLimits(job.request, nowMs);
			// Routes that may use other workers are told apart by one of these.
			const [anAllowedAgentId] = allowedAgentIds ?? [];
			const poolAndLabel = `${pool}/${requiredLabel ?? ''}/${anAllowedAgentId ?? ''}`;
			const unplaceableCpuMillis = unplaceableCpuMillisByPlace.get(poolAndLabel) ?? Infinity;
			if (needs.cpuMillis < unplaceableCpuMillis && !this._placeJob(job, starts, nowMs)) {
				unplaceableCpuMillisByPlace.set(poolAndLabel, needs.cpuMillis);
			}
		}
		let sentCount = 0;
		for (const [agent, byJob] of starts) {
			sentCount += this._sendStarts(agent, [...byJob.values()], nowMs);
		}
		return sentCount;
	}

	/** Places a job's waiting tasks. Returns false when a task without excluded agents fits nowhere now. */
	private _placeJob(job: JobRow, starts: StartsByAgent, nowMs: number): boolean {
		const limits = this._getLimits(job.request, nowMs);
		for (const task of job.tasks) {
			const taskRef = { jobId: job.request.jobId, taskIndex: task.taskIndex };
			if (task.phase !== 'waiting' || this._endingRuns.has(taskRef, nowMs)) {
				continue;
			}
			const placement = createPlacementRequest(job.request, task.excludedAgentIds, limits);
			const suspicion = this._crashes.getSuspicion(taskRef);
			const agent = chooseWorker(
				this._agents.all,
				suspicion === undefined
					? placement
					: this._restrictSuspect(suspicion, nowMs - task.lastLostAtMs, placement),
				this._random,
			);
			if (agent !== undefined) {
				this._addStart(job, task, agent, starts);
				traceStep(job, task, 'placed', agent.agentId, nowMs);
				continue;
			}
			if (task.excludedAgentIds.size === 0 && suspicion === undefined) {
				return false;
			}
			this._clearExclusionsIfNoneEligible(task, placement);
		}
		return true;
	}

	private _restrictSuspect(
		suspicion: CrashSuspicion,
		sinceLossMs: number,
		placement: PlacementRequest,
	): PlacementRequest {
		const pool = [...this._agents.all].filter(({ state }) => state.pool === placement.pool);
		const agentId = chooseSuspectAgent(
			suspicion,
			sinceLossMs,
			pool.map((agent) => agent.agentId),
			(id) => pool.some((agent) => agent.agentId === id && isEligible(agent, placement)),
		);
		return { ...placement, allowedAgentIds: new Set(agentId === undefined ? [] : [agentId]) };
	}

	/** Clears a task's excluded agents when they leave no eligible worker, so that it can run anywhere again. */
	private _clearExclusionsIfNoneEligible(task: TaskRow, placement: PlacementRequest): void {
		for (const agent of this._agents.all) {
			if (isEligible(agent, placement)) {
				return;
			}
		}
		task.excludedAgentIds.clear();
	}

	private _addStart(job: JobRow, task: TaskRow, agent: AgentRow, starts: StartsByAgent): void {
		const { request } = job;
		task.phase = 'placed';
		task.run += 1;
		this._lastStartId += 1;
		task.startId = this._lastStartId;
		task.agentId = agent.agentId;
		recordStart(job);
		this._meanTaskMs += newTaskWeight * (request.estimateMs - this._meanTaskMs);
		addRun(agent, job, task);
		const byJob = starts.get(agent) ?? new Map<JobRow, JobStart>();
		starts.set(agent, byJob);
		const { jobId, route, pool, isCapacityEnforced, payload, needs, estimateMs } = request;
		const run = { taskIndex: task.taskIndex, run: task.run, startId: task.startId };
		const tasks = [...(byJob.get(job)?.tasks ?? []), run];
		byJob.set(job, { jobId, route, pool, isCapacityEnforced, payload, needs, estimateMs, tasks });
	}

	private _sendStarts(agent: AgentRow, jobs: readonly JobStart[], nowMs: number): number {
		if (agent.connectionId === undefined) {
			return 0;
		}
		const sequence = assignStartSequence(agent, jobs);
		const sentAt = estimateWorkerTime(agent, nowMs);
		this._send(agent.connectionId, { kind: 'startTasks', sequence, sentAt, jobs });
		return jobs.reduce((sum, { tasks }) => sum + tasks.length, 0);
	}
}
