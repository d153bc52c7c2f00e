/**
 * Finds jobs that should be rejected shortly after their arrival. In a burst, jobs that were admitted a moment ago wait
 * behind more urgent ones that came after them. Callers count a rejection as late after a fraction of the objective, so that
 * a job that was not rejected by then is kept until its latest start.
 */

import type { AgentRow, AgentTable } from './agentTable.js';
import { highestPriority } from './jobOrder.js';
import type { JobRow } from './jobTable.js';
import type { JobRequest } from './jobs.js';
import { isEligible, createPlacementRequest } from './placement.js';

/**
 * Time after its arrival within which a job may be rejected by a forecast, as a share of its objective without the work
 * itself. A rejection counts as late after a quarter of it.
 */
const decisionShare = 0.2;

/** Inputs of the forecasts. */
export interface WaitForecastInputs {
	readonly agents: AgentTable;
	/** Returns the agents that a job's tasks may use; `undefined` when they may use all. */
	readonly getAllowedAgentIds: (request: JobRequest) => ReadonlySet<string> | undefined;
	/** Number of entries that use the same workers; each is assumed to have as much work waiting. */
	readonly entryCount: number;
	/** Mean duration of running tasks. */
	readonly meanTaskMs: number;
	/** Largest share of a job's remaining time that its forecast wait may take up. */
	readonly maxWaitShare: number;
	readonly nowMs: number;
}

/** A job to reject, and the forecast that shows it. */
export interface HopelessJob {
	readonly job: JobRow;
	/** Time after which the job's last waiting task starts at the earliest. */
	readonly leastWaitMs: number;
	/** Time until the latest start with which the job ends in time. */
	readonly slackMs: number;
	/** Work that waits at all entries up to the job's last task, in tasks of the job's size. */
	readonly missingSlots: number;
	/** Rate at which the eligible workers end such tasks while they are full. */
	readonly slotsFreedPerS: number;
}

/**
 * Returns the jobs that arrived just now, of which no task has started, and whose forecast wait is too long. Jobs of the
 * highest priority are not among them, since no other job overtakes them.
 *
 * @param jobs jobs in the order in which they are placed
 * @example
 * const inputs = { agents, getAllowedAgentIds, entryCount: 3, meanTaskMs: 230, maxWaitShare: 0.5, nowMs };
 * for (const { job } of findHopelessJobs(jobs, inputs)) { reject(job); }
 */
export function findHopelessJobs(
	jobs: readonly JobRow[],
	inputs: WaitForecastInputs,
): readonly HopelessJob[] {
	const waiting = jobs.filter(({ waitingTaskCount }) => waitingTaskCount > 0);
	const poolNames = new Set(waiting.map(({ request }) => request.pool));
	return [...poolNames].flatMap((poolName) => {
		const pool = inputs.agents.getConnectedInPool(poolName);
		return findInPool(
			waiting.filter(({ request }) => request.pool === poolName),
			pool,
			inputs,
		);
	});
}

function findInPool(
	jobs: readonly JobRow[],
	pool: readonly AgentRow[],
	{ getAllowedAgentIds, entryCount, meanTaskMs, maxWaitShare, nowMs }: WaitForecastInputs,
): readonly HopelessJob[] {
	const hopeless: HopelessJob[] = [];
	let cpuAheadMillis = 0;
	for (const job of jobs) {
		const { cpuMillis } = job.request.needs;
		const jobCpuMillis = job.waitingTaskCount * cpuMillis;
		const poolCpuMillis = isUndecided(job, nowMs)
			? sumEligibleCpuMillis(pool, job, getAllowedAgentIds(job.request))
			: 0;
		if (poolCpuMillis > 0) {
			const missingSlots = (cpuAheadMillis * entryCount + jobCpuMillis) / Math.max(1, cpuMillis);
			const slotsFreedPerMs = poolCpuMillis / Math.max(1, cpuMillis) / Math.max(1, meanTaskMs);
			// The first slot may become free at once; the others do at the mean rate.
			const leastWaitMs = Math.max(0, missingSlots - 1) / slotsFreedPerMs;
			const slackMs = job.latestStartMs - nowMs;
			if (leastWaitMs > slackMs * maxWaitShare) {
				hopeless.push({ job, leastWaitMs, slackMs, missingSlots, slotsFreedPerS: slotsFreedPerMs * 1000 });
				continue;
			}
		}
		cpuAheadMillis += jobCpuMillis;
	}
	return hopeless;
}

function isUndecided({ hasStarted, arrivedMs, request }: JobRow, nowMs: number): boolean {
	const isHighest = request.priority === highestPriority;
	return !hasStarted && !isHighest && nowMs - arrivedMs <= decisionShare * request.objectiveMs;
}

function sumEligibleCpuMillis(
	pool: readonly AgentRow[],
	{ request }: JobRow,
	allowedAgentIds: ReadonlySet<string> | undefined,
): number {
	const placement = createPlacementRequest(request, new Set(), { reservedShare: 0, allowedAgentIds });
	return pool.reduce(
		(sum, agent) => sum + (isEligible(agent, placement) ? agent.state.capacity.cpuMillis : 0),
		0,
	);
}
