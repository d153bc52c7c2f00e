/** Holds an entry's jobs, ends them, and keeps the outcomes of those that ended recently. */

import type { LogFields } from '../../services/log/common/log.js';
import type { AgentTable } from './agentTable.js';
import type { DispatchCounters, IDispatchHost } from './dispatchHost.js';
import type { EndingRuns } from './endingRuns.js';
import { getTaskKey } from './dispatchMessages.js';
import { defaultRetryAfterMs } from './jobAdmission.js';
import type { JobRejections } from './jobRejections.js';
import type { JobRow } from './jobTable.js';
import type { JobOutcome, JobRequest, RejectionReason } from './jobs.js';

/** Time for which ended jobs are kept, so that a repeated request gets the same answer. */
const retentionMs = 10_000;

/** Why a job has failed. `crashedWorkers`: too many workers have crashed under one of its tasks. */
export type JobFailureCause = 'failedAttempts' | 'crashedWorkers';

/**
 * Why a job that has started is given up. `likelyCrashCause`: one of its tasks has most likely crashed a worker. `lostRuns`: too
 * many runs of one of its tasks were lost. Reasons for a rejection: a task may have run for an earlier request of the job.
 */
export type AbandonmentCause = 'deadline' | 'likelyCrashCause' | 'lostRuns' | 'stopping' | RejectionReason;

/** Services of a {@link JobRegistry}. */
export interface JobRegistryServices {
	readonly host: IDispatchHost;
	readonly counters: DispatchCounters;
	readonly agents: AgentTable;
	readonly rejections: JobRejections;
	/** Runs that are at work, or may be, when their job ends are added. */
	readonly endingRuns: EndingRuns;
}

interface EndedJob {
	readonly outcome: JobOutcome;
	/** Whether a task may have run, for this request or an earlier one. */
	readonly mayHaveRun: boolean;
	readonly atMs: number;
}

/** Jobs of one entry. */
export class JobRegistry {
	private readonly _jobs = new Map<string, JobRow>();
	private readonly _endedJobs = new Map<string, EndedJob>();

	constructor(private readonly _services: JobRegistryServices) {}

	/** Number of jobs that have not ended. */
	get size(): number {
		return this._jobs.size;
	}

	/** Jobs that have not ended. */
	get all(): IterableIterator<JobRow> {
		return this._jobs.values();
	}

	get(jobId: string): JobRow | undefined {
		return this._jobs.get(jobId);
	}

	/** Returns whether a job has not ended. */
	has(job: JobRow): boolean {
		return this._jobs.get(job.request.jobId) === job;
	}

	/** Returns the outcome of a job that ended recently. */
	getOutcome(jobId: string): JobOutcome | undefined {
		return this._endedJobs.get(jobId)?.outcome;
	}

	/** Returns whether a task of a job that ended recently may have run. */
	mayHaveRun(jobId: string): boolean {
		return this._endedJobs.get(jobId)?.mayHaveRun ?? false;
	}

	add(job: JobRow): void {
		this._jobs.set(job.request.jobId, job);
	}

	complete(job: JobRow, nowMs: number): void {
		this._services.counters.completed += 1;
		this._end(job, { kind: 'completed' }, nowMs);
	}

	/** Ends a job as failed, and stops its runs. */
	fail(job: JobRow, cause: JobFailureCause, nowMs: number): void {
		const { host, counters } = this._services;
		counters.failed += 1;
		const { jobId, route } = job.request;
		host.log('warn', 'job.failed', { jobId, route, cause, trace: job.trace });
		this._end(job, { kind: 'failed' }, nowMs);
	}

	/** Logs and counts a job that has come again and is not started, since workers have crashed under one of its tasks. */
	refuseAsCrashing({ jobId, route }: JobRequest, decision: 'fail' | 'abandon'): void {
		const { host, counters } = this._services;
		counters[decision === 'fail' ? 'failed' : 'abandoned'] += 1;
		host.log('warn', 'job.refusedAsCrashing', { jobId, route, decision });
	}

	/** Logs a job that has come again, or for the first time here, after its cancelling was asked for. */
	refuseAsCancelled({ jobId, route }: JobRequest): void {
		this._services.host.log('info', 'job.refusedAsCancelled', { jobId, route });
	}

	/** Ends a job of which a task may have run, and stops its runs. */
	abandon(job: JobRow, cause: AbandonmentCause, nowMs: number): void {
		const { host, counters } = this._services;
		counters.abandoned += 1;
		const { jobId, route } = job.request;
		host.log('warn', 'job.abandoned', {
			...{ jobId, route, cause, waitingTasks: job.waitingTaskCount, doneTasks: job.doneTaskCount },
			waitedMs: Math.round(nowMs - job.arrivedMs),
			trace: job.trace,
		});
		this._end(job, { kind: 'abandoned' }, nowMs);
	}

	/** Ends a job because its caller has left or has asked for it, and stops its runs. */
	cancel(job: JobRow, cause: 'callerGone' | 'asked', nowMs: number): void {
		const { host, counters } = this._services;
		counters.cancelled += 1;
		const waitedMs = Math.round(nowMs - job.arrivedMs);
		host.log('info', 'job.cancelled', { jobId: job.request.jobId, cause, waitedMs, trace: job.trace });
		this._end(job, { kind: cause === 'asked' ? 'cancelled' : 'abandoned' }, nowMs);
	}

	/** Ends a job that can't be served: rejects it if no task has run for any of its requests, and abandons it otherwise. */
	reject(
		job: JobRow,
		reason: RejectionReason,
		inputs: LogFields,
		nowMs: number,
		retryAfterMs = defaultRetryAfterMs,
	): void {
		if (job.mayHaveRunBefore) {
			this.abandon(job, reason, nowMs);
			return;
		}
		this._services.rejections.record(job, reason, inputs, nowMs);
		this._end(job, { kind: 'rejected', reason, retryAfterMs }, nowMs);
	}

	/** Forgets the outcomes of jobs that ended long ago. */
	forgetOldOutcomes(nowMs: number): void {
		for (const [jobId, { atMs }] of this._endedJobs) {
			if (nowMs - atMs < retentionMs) {
				return;
			}
			this._endedJobs.delete(jobId);
		}
	}

	private _end(job: JobRow, outcome: JobOutcome, nowMs: number): void {
		const { jobId } = job.request;
		this._jobs.delete(jobId);
		this._endedJobs.delete(jobId);
		const mayHaveRun = job.hasStarted || job.mayHaveRunBefore;
		this._endedJobs.set(jobId, { outcome, mayHaveRun, atMs: nowMs });
		if (outcome.kind === 'completed' || outcome.kind === 'failed') {
			job.state = outcome.kind;
		}
		this._stopRuns(job, nowMs);
		for (const listener of [...job.listeners]) {
			listener(outcome);
		}
		job.listeners.clear();
	}

	private _stopRuns(job: JobRow, nowMs: number): void {
		const { agents, host, endingRuns } = this._services;
		for (const { phase, agentId, taskIndex, run, startId, inDoubtUntilMs } of job.tasks) {
			const start = { jobId: job.request.jobId, taskIndex, run, startId };
			const known = agents.get(agentId);
			const agent = known?.runs.has(getTaskKey(start)) === true ? known : undefined;
			// Runs with the phase `inDoubt` may be at an earlier incarnation of the agent.
			if (agent !== undefined || phase === 'inDoubt') {
				endingRuns.add({ start, agentId, agent }, nowMs, phase === 'inDoubt' ? inDoubtUntilMs : undefined);
			}
		}
		for (const [agent, tasks] of agents.takeRunsOfJob(job)) {
			if (agent.connectionId !== undefined) {
				host.send(agent.connectionId, { kind: 'stopTasks', tasks });
			}
		}
	}
}
