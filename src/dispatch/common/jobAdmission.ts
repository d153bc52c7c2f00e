/** Gathers what the admission of a job depends on, and says why a job is not taken. */

import type { LogFields } from '../../services/log/common/log.js';
import { decideAdmission } from './admission.js';
import type { AgentRow } from './agentTable.js';
import { countFitting } from './dispatchMessages.js';
import { orderOf } from './jobOrder.js';
import type { JobRow } from './jobTable.js';
import type { RejectionReason } from './jobs.js';
import { freeAt, isEligible, toPlacement } from './placement.js';

/** Retry hint where no worker is known. */
export const noWorkersRetryMs = 2000;

/** Why a job is not taken, with the inputs of the decision. */
export interface JobRefusal {
	readonly reason: RejectionReason;
	readonly retryAfterMs: number;
	readonly inputs: LogFields;
}

/** What an entry knows when a job arrives. */
export interface AdmissionContext {
	/** Connected agents of the job's pool. */
	readonly pool: readonly AgentRow[];
	readonly waiting: Iterable<JobRow>;
	readonly entryCount: number;
	readonly meanTaskMs: number;
	readonly nowMs: number;
	readonly random: () => number;
}

/**
 * Decides whether a job is taken; `undefined` when it is.
 *
 * @example
 * const refusal = refusalOf(job, { pool, waiting, entryCount: 3, meanTaskMs: 300, nowMs, random: Math.random });
 */
export function refusalOf(job: JobRow, context: AdmissionContext): JobRefusal | undefined {
	const { request } = job;
	const { pool, nowMs } = context;
	if (!pool.some(({ state }) => state.isAccepting)) {
		return { reason: 'noWorkers', retryAfterMs: noWorkersRetryMs, inputs: { agents: pool.length } };
	}
	if (!pool.some(({ state }) => countFitting(request.needs, state.capacity) > 0)) {
		const inputs = { cpuMillis: request.needs.cpuMillis, memoryMb: request.needs.memoryMb };
		return { reason: 'doesNotFit', retryAfterMs: noWorkersRetryMs, inputs };
	}
	const placement = toPlacement(request, new Set());
	const taskCpuMillis = Math.max(1, request.needs.cpuMillis);
	let freeSlots = 0;
	let busySlots = 0;
	for (const agent of pool) {
		if (isEligible(agent, placement)) {
			freeSlots += countFitting(request.needs, freeAt(agent));
			busySlots += (agent.state.used.cpuMillis + agent.unseen.cpuMillis) / taskCpuMillis;
		}
	}
	const order = orderOf(job, nowMs);
	let cpuAheadMillis = 0;
	for (const other of context.waiting) {
		if (orderOf(other, nowMs) <= order) {
			cpuAheadMillis += other.waitingCount * other.request.needs.cpuMillis;
		}
	}
	const slackMs = job.latestStartMs - nowMs;
	const { isTaken, waitMs, retryAfterMs } = decideAdmission(
		{
			taskCount: request.taskCount,
			freeSlots,
			busySlots,
			tasksAhead: cpuAheadMillis / taskCpuMillis,
			entryCount: context.entryCount,
			meanTaskMs: context.meanTaskMs,
			slackMs,
		},
		context.random,
	);
	if (isTaken) {
		return undefined;
	}
	const inputs = {
		forecastWaitMs: Math.round(Math.min(waitMs, 1e6)),
		slackMs: Math.round(slackMs),
		freeSlots,
		busySlots: Math.round(busySlots),
	};
	return { reason: 'overloaded', retryAfterMs, inputs };
}
