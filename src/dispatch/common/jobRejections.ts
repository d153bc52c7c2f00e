/**
 * Counts and logs rejected jobs. Admission can err in two ways, which operators see as two counters: it rejects what could
 * run, or it lets a job wait and rejects it late.
 */

import type { LogFields } from '../../services/log/common/log.js';
import type { AgentTable } from './agentTable.js';
import type { DispatchCounters, IDispatchHost } from './dispatchHost.js';
import { countFittingTasks } from './dispatchMessages.js';
import type { JobRow } from './jobTable.js';
import type { JobRequest, RejectionReason } from './jobs.js';
import {
	computeFreeCapacity,
	createPlacementRequest,
	isEligible,
	type PlacementLimits,
} from './placement.js';

/** Share of its objective without the work itself after which the rejection of a job is late. */
const lateShare = 0.25;

/** Records the rejections of one entry. */
export class JobRejections {
	constructor(
		private readonly _host: IDispatchHost,
		private readonly _counters: DispatchCounters,
		private readonly _agents: AgentTable,
		private readonly _getLimits: (request: JobRequest, nowMs: number) => PlacementLimits,
	) {}

	/**
	 * Counts and logs a rejection.
	 *
	 * @param inputs what decided it; numbers are rounded
	 * @example
	 * rejections.record(job, 'overloaded', { forecastWaitMs, slackMs }, nowMs);
	 */
	record(job: JobRow, reason: RejectionReason, inputs: LogFields, nowMs: number): void {
		const { jobId, route, taskCount } = job.request;
		const waitedMs = nowMs - job.arrivedMs;
		const { freeSlots, reportAgeMs, confinedToAgents } = this._describeWorkers(job, nowMs);
		this._counters.rejected += 1;
		this._counters.rejectedLate += waitedMs > lateShare * job.request.objectiveMs ? 1 : 0;
		this._counters.rejectedWithRoom += freeSlots > 0 ? 1 : 0;
		const fields = { waitedMs, ...inputs, freeSlots, reportAgeMs, confinedToAgents };
		const rounded = Object.entries(fields).map(([name, value]) => [
			name,
			typeof value === 'number' ? Math.round(Math.min(value, Number.MAX_SAFE_INTEGER)) : value,
		]);
		this._host.log('info', 'job.rejected', {
			...{ jobId, route, taskCount, reason },
			...(Object.fromEntries(rounded) as LogFields),
			// A rejection tells the caller that nothing has run; the trace shows which answers of agents prove it.
			...(job.trace.length === 0 ? {} : { trace: job.trace }),
		});
	}

	/**
	 * Returns the room for the job's tasks at the eligible workers, the age of the oldest of their reports, and the number of
	 * agents that the job is restricted to.
	 */
	private _describeWorkers(
		{ request }: JobRow,
		nowMs: number,
	): {
		readonly freeSlots: number;
		readonly reportAgeMs: number;
		readonly confinedToAgents: number | undefined;
	} {
		const { allowedAgentIds } = this._getLimits(request, nowMs);
		const placement = createPlacementRequest(request, new Set(), { reservedShare: 0, allowedAgentIds });
		let freeSlots = 0;
		let oldestReportMs = nowMs;
		for (const agent of this._agents.getConnectedInPool(request.pool)) {
			if (isEligible(agent, placement)) {
				freeSlots += countFittingTasks(request.needs, computeFreeCapacity(agent, placement));
				oldestReportMs = Math.min(oldestReportMs, agent.reportedAtMs);
			}
		}
		return { freeSlots, reportAgeMs: nowMs - oldestReportMs, confinedToAgents: allowedAgentIds?.size };
	}
}
