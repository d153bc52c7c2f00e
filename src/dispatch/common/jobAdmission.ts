/**
 * Decides which jobs of an entry are admitted and which of them are given up soon afterwards, and learns from what became of
 * those that were admitted.
 */

import type { LogFields } from '../../services/log/common/log.js';
import { decideAdmission } from './admission.js';
import type { AgentTable } from './agentTable.js';
import type { CrashHistory } from './crashHistory.js';
import type { IDispatchHost } from './dispatchHost.js';
import { countFittingTasks } from './dispatchMessages.js';
import { ForecastRecord } from './forecastRecord.js';
import { findHopelessJobs, type HopelessJob } from './hopelessJobs.js';
import { computeOrderKey, highestPriority } from './jobOrder.js';
import type { JobRow } from './jobTable.js';
import type { JobRequest, RejectionReason } from './jobs.js';
import {
	computeFreeCapacity,
	createPlacementRequest,
	isEligible,
	type PlacementLimits,
} from './placement.js';
import { RouteConfinement } from './routeConfinement.js';
import { UrgentReserve } from './urgentReserve.js';

/** Retry hint when it is not derived from a forecast wait. */
export const defaultRetryAfterMs = 2000;

/** Time after the entry's start during which jobs wait for the first workers to report instead of being rejected. */
const startupGraceMs = 1500;
/** Time after the first report of a worker during which the others report; until then, most of the room is not known. */
const workersSettleMs = 200;

/** Reason for rejecting a job, and the logged inputs of the decision. */
export interface JobRejection {
	readonly reason: RejectionReason;
	readonly retryAfterMs: number;
	readonly inputs: LogFields;
}

/** Admission of the jobs of one entry. */
export class JobAdmission {
	/** Routes that may use a part of the workers only. */
	readonly confinement: RouteConfinement;
	private readonly _reserve = new UrgentReserve();
	private readonly _record = new ForecastRecord();
	private _firstReportMs: number | undefined;

	constructor(
		private readonly _host: IDispatchHost,
		private readonly _agents: AgentTable,
		crashes: CrashHistory,
		private readonly _startedAtMs: number,
	) {
		this.confinement = new RouteConfinement(_host, _agents, crashes);
	}

	/** Records a job that has arrived. */
	recordJob(request: JobRequest, nowMs: number): void {
		this._reserve.recordJob(request, nowMs);
		this.confinement.recordJob(request, nowMs);
	}

	/** Returns the limits of the placement of a job's tasks. */
	getLimits(request: JobRequest, nowMs: number): PlacementLimits {
		return {
			reservedShare: this._reserve.getShare(request, nowMs),
			allowedAgentIds: this.confinement.getAllowedAgentIds(request, nowMs),
		};
	}

	/** Records that a worker's state was received. */
	recordReport(nowMs: number): void {
		this._firstReportMs ??= nowMs;
	}

	/**
	 * Decides whether a job that arrives is admitted.
	 *
	 * @param meanTaskMs mean duration of running tasks
	 * @returns `undefined` when the job is admitted
	 * @example
	 * const rejection = admission.check(job, waitingJobs, 300, nowMs);
	 */
	check(
		job: JobRow,
		waitingJobs: Iterable<JobRow>,
		meanTaskMs: number,
		nowMs: number,
	): JobRejection | undefined {
		const { request } = job;
		if (this._shouldAwaitWorkers(request.pool, nowMs)) {
			return undefined;
		}
		const { maxWaitShare } = this._record;
		const entryCount = this._host.entryCount();
		const pool = this._agents.getConnectedInPool(request.pool);
		if (!pool.some(({ state }) => state.isAccepting)) {
			return { reason: 'noWorkers', retryAfterMs: defaultRetryAfterMs, inputs: { agents: pool.length } };
		}
		if (!pool.some(({ state }) => countFittingTasks(request.needs, state.capacity) > 0)) {
			const inputs = { cpuMillis: request.needs.cpuMillis, memoryMb: request.needs.memoryMb };
			return { reason: 'doesNotFit', retryAfterMs: defaultRetryAfterMs, inputs };
		}
		const placement = createPlacementRequest(request, new Set(), this.getLimits(request, nowMs));
		const taskCpuMillis = Math.max(1, request.needs.cpuMillis);
		let freeSlots = 0;
		let busySlots = 0;
		for (const agent of pool) {
			if (isEligible(agent, placement)) {
				freeSlots += countFittingTasks(request.needs, computeFreeCapacity(agent, placement));
				busySlots += (agent.state.used.cpuMillis + agent.unreportedNeeds.cpuMillis) / taskCpuMillis;
			}
		}
		const orderKey = computeOrderKey(job, nowMs);
		let cpuAheadMillis = 0;
		for (const other of waitingJobs) {
			if (computeOrderKey(other, nowMs) <= orderKey) {
				cpuAheadMillis += other.waitingTaskCount * other.request.needs.cpuMillis;
			}
		}
		const slackMs = job.latestStartMs - nowMs;
		const maxWaitMs = slackMs * (request.priority === highestPriority ? 1 : maxWaitShare);
		const tasksAhead = cpuAheadMillis / taskCpuMillis;
		const { isAdmitted, waitMs, retryAfterMs } = decideAdmission(
			{
				taskCount: request.taskCount,
				...{ freeSlots, busySlots, tasksAhead, entryCount, meanTaskMs, maxWaitMs },
			},
			() => this._host.random(),
		);
		if (isAdmitted) {
			return undefined;
		}
		const inputs = {
			forecastWaitMs: waitMs,
			...{ maxWaitMs, slackMs, busySlots, tasksAhead, entryCount, meanTaskMs },
		};
		return { reason: 'overloaded', retryAfterMs, inputs };
	}

	/** Returns the jobs that arrived just now and should be rejected after all. */
	findHopelessJobs(jobs: readonly JobRow[], meanTaskMs: number, nowMs: number): readonly HopelessJob[] {
		const { maxWaitShare } = this._record;
		const entryCount = this._host.entryCount();
		const known = jobs.filter(({ request }) => !this._shouldAwaitWorkers(request.pool, nowMs));
		const getAllowedAgentIds = (request: JobRequest): ReadonlySet<string> | undefined =>
			this.confinement.getAllowedAgentIds(request, nowMs);
		return findHopelessJobs(known, {
			...{ agents: this._agents, getAllowedAgentIds, entryCount, meanTaskMs, maxWaitShare, nowMs },
		});
	}

	/** Records whether admitted jobs started, or missed their latest start. */
	recordResults(jobs: readonly JobRow[], result: 'started' | 'missed'): void {
		for (const { request } of jobs) {
			if (request.priority !== highestPriority) {
				this._record.addJob(result);
			}
		}
	}

	/** Returns whether jobs of a pool wait without a forecast, since this entry has just started. */
	private _shouldAwaitWorkers(pool: string, nowMs: number): boolean {
		if (nowMs - this._startedAtMs >= startupGraceMs) {
			return false;
		}
		const areSettled = this._firstReportMs !== undefined && nowMs - this._firstReportMs >= workersSettleMs;
		return !areSettled || this._agents.getConnectedInPool(pool).length === 0;
	}
}
