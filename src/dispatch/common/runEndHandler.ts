/** Handles the ends of runs at an entry: completes, fails or abandons their jobs, or queues their tasks again. */

import { removeRun, type AgentRow, type AgentTable } from './agentTable.js';
import type { CrashHistory } from './crashHistory.js';
import type { CrashResponse } from './crashResponse.js';
import { logIfLate, type DispatchCounters, type IDispatchHost } from './dispatchHost.js';
import { isSameStart, type RefusalReason, type TaskEndReport } from './dispatchMessages.js';
import type { EndingRuns } from './endingRuns.js';
import type { JobRegistry } from './jobRegistry.js';
import { recordRefusedStart, traceStep, type JobRow, type TaskRow } from './jobTable.js';

/** Reasons for which the agent that has refused a task is excluded for it. */
const excludingReasons: ReadonlySet<RefusalReason> = new Set([
	'unhealthy',
	'notAccepting',
	'invalid',
	'expired',
]);

/** Services of a {@link RunEndHandler}. */
export interface RunEndServices {
	readonly host: IDispatchHost;
	readonly counters: DispatchCounters;
	readonly agents: AgentTable;
	readonly jobs: JobRegistry;
	/** Jobs with waiting tasks; a job whose task is queued again is added. */
	readonly waitingJobs: Set<JobRow>;
	readonly crashes: CrashHistory;
	readonly crashResponse: CrashResponse;
	readonly endingRuns: EndingRuns;
}

/**
 * Handles the ends of runs.
 *
 * @example
 * runEnds.handleEnd(agent, { ...start, end: 'done' }, nowMs);
 */
export class RunEndHandler {
	constructor(private readonly _services: RunEndServices) {}

	/** Requeues in-doubt tasks that can no longer be running at their unreachable agents. */
	requeueExpiredInDoubt(nowMs: number): void {
		for (const job of this._services.jobs.all) {
			for (const task of job.tasks) {
				if (task.phase === 'inDoubt' && nowMs >= task.inDoubtUntilMs && this._services.jobs.has(job)) {
					const agent = this._services.agents.get(task.agentId);
					if (agent !== undefined) {
						removeRun(agent, job, task);
					}
					this._handleLostRun(job, task, nowMs);
				}
			}
		}
	}

	/** Handles the end of a run that an agent has reported. Ends of other than a task's last start only free the task. */
	handleEnd(agent: AgentRow, report: TaskEndReport, nowMs: number): void {
		this._services.endingRuns.handleEnd(agent, report);
		const job = this._services.jobs.get(report.jobId);
		const task = job?.tasks[report.taskIndex];
		if (job === undefined || task?.agentId !== agent.agentId || !isSameStart(task, report)) {
			return;
		}
		if (task.phase === 'waiting' || task.phase === 'done') {
			return;
		}
		removeRun(agent, job, task);
		task.inDoubtUntilMs = nowMs;
		const reason = report.reason === undefined ? '' : `:${report.reason}`;
		traceStep(job, task, `${report.end}${reason}`, agent.agentId, nowMs);
		switch (report.end) {
			case 'done':
				this._handleTaskDone(job, task, nowMs);
				return;
			case 'failed':
				this._handleTaskFailure(job, task, agent, nowMs);
				return;
			case 'refused':
				this._handleRefusedStart(job, task, agent, report);
				return;
			case 'lost':
				this._handleLostRun(job, task, nowMs);
				return;
			case 'stopped':
				this.requeueTask(job, task);
		}
	}

	private _handleTaskDone(job: JobRow, task: TaskRow, nowMs: number): void {
		task.phase = 'done';
		job.doneTaskCount += 1;
		if (job.doneTaskCount === job.tasks.length) {
			logIfLate(this._services.host, job, nowMs);
			this._services.jobs.complete(job, nowMs);
		}
	}

	private _handleTaskFailure(job: JobRow, task: TaskRow, agent: AgentRow, nowMs: number): void {
		task.excludedAgentIds.add(agent.agentId);
		// A failure at a resting or probed worker does not count as a failed attempt of the task.
		const isWorkersFault = agent.health.condition !== 'sound';
		task.failures += isWorkersFault ? 0 : 1;
		const { jobId, route, maxAttempts } = job.request;
		const { taskIndex, failures, agentId } = task;
		const fields = { jobId, route, taskIndex, agentId, failures, isWorkersFault };
		this._services.host.log('info', 'task.failed', fields);
		if (task.failures < maxAttempts) {
			this.requeueTask(job, task);
			return;
		}
		task.phase = 'done';
		this._services.jobs.fail(job, 'failedAttempts', nowMs);
	}

	private _handleLostRun(job: JobRow, task: TaskRow, nowMs: number): void {
		task.losses += 1;
		task.lastLostAtMs = nowMs;
		this._services.counters.runsLost += 1;
		this._services.counters.runsLostAgain += task.losses > 1 ? 1 : 0;
		const { taskIndex, run, losses, agentId } = task;
		const { jobId, route } = job.request;
		const { certain, possible } = this._services.crashes.countCrashes({ jobId, taskIndex });
		const waitedMs = Math.round(nowMs - job.arrivedMs);
		const decision = this._services.crashResponse.decideLostRun({ jobId, taskIndex, run }, agentId, losses);
		this._services.host.log('info', 'task.lost', {
			...{ jobId, route, taskIndex, run, agentId, losses, waitedMs, decision },
			...{ certainCrashes: certain, possibleCrashes: possible },
		});
		switch (decision) {
			case 'retry':
				this.requeueTask(job, task);
				return;
			case 'fail':
				this._services.jobs.fail(job, 'crashedWorkers', nowMs);
				return;
			case 'abandon':
				this._services.jobs.abandon(job, 'lostRuns', nowMs);
				return;
			case 'abandonAsLikelyCause':
				this._services.jobs.abandon(job, 'likelyCrashCause', nowMs);
		}
	}

	private _handleRefusedStart(job: JobRow, task: TaskRow, agent: AgentRow, report: TaskEndReport): void {
		this._services.counters.startsRefused += 1;
		const knownRun = report.knownRun ?? 0;
		if (knownRun > 0) {
			const { jobId, taskIndex, run, reason } = report;
			const { agentId } = agent;
			this._services.host.log('info', 'task.refused', { jobId, taskIndex, run, reason, knownRun, agentId });
		}
		task.run = Math.max(task.run, knownRun);
		if (report.reason !== 'olderRun' && knownRun === 0) {
			recordRefusedStart(job);
		}
		if (report.reason !== undefined && excludingReasons.has(report.reason)) {
			task.excludedAgentIds.add(agent.agentId);
		}
		this.requeueTask(job, task);
	}

	/** Puts a task back into the queue. */
	requeueTask(job: JobRow, task: TaskRow): void {
		task.phase = 'waiting';
		task.agentId = '';
		this._services.waitingJobs.add(job);
		job.waitingTaskCount += 1;
	}
}
