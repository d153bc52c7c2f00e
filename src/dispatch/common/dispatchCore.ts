/**
 * Makes the scheduling decisions of an entry: which jobs are admitted, in which order they wait, where their tasks run,
 * and how ended runs, refused starts and disconnected agents are handled. Uses no sockets and no clock; callers pass the
 * current time.
 */

import type { LogFields } from '../../services/log/common/log.js';
import { updateWorkerHealth } from './workerHealthReview.js';
import {
	AgentTable,
	applyReportedState,
	getRunKey,
	markRunsInDoubt,
	removeRun,
	type AgentRow,
} from './agentTable.js';
import { describeRun, isSameStart, type AgentReportMessage, type TaskStartRef } from './dispatchMessages.js';
import { createCounters, type IDispatchHost } from './dispatchHost.js';
import { defaultRetryAfterMs, JobAdmission } from './jobAdmission.js';
import { CancelledJobs, type CancelledJob } from './cancelledJobs.js';
import { CrashHistory } from './crashHistory.js';
import { CrashResponse } from './crashResponse.js';
import { EndingRuns } from './endingRuns.js';
import { compareHeldRuns } from './heldRunComparison.js';
import { computeOrderKey } from './jobOrder.js';
import { JobRegistry } from './jobRegistry.js';
import { JobRejections } from './jobRejections.js';
import { createJobRow, type JobRow } from './jobTable.js';
import type { JobOutcome, JobRequest, JobState } from './jobs.js';
import { RunEndHandler } from './runEndHandler.js';
import { TaskPlacer } from './taskPlacer.js';
import type { WorkerCrash } from './workerCrash.js';
import { isSuspect } from './workerHealth.js';

/** Settings of {@link DispatchCore}. */
export interface DispatchOptions {
	/** Longest time that an agent's runs may continue after its connection is lost. */
	readonly orphanLifetimeMs: number;
}

/** Time for which disconnected agents are kept. */
const agentRetentionMs = 10_000;
/** Time before its deadline at which an unfinished job is ended. */
const deadlineMarginMs = 20;
/** Interval between health reviews unless a report looks suspect; half of the interval between deadline checks. */
const healthReviewIntervalMs = 8;

/**
 * Admits jobs, places their tasks and tracks them until they end, for one entry.
 *
 * @example
 * core.submit(request, (outcome) => respond(outcome), clock.nowMs());
 * core.schedule(clock.nowMs());
 */
export class DispatchCore {
	readonly counters = createCounters();
	/** Crashes that agents and other entries have reported. */
	readonly crashes = new CrashHistory();
	/** Jobs whose cancelling was asked for at this entry or another one. */
	readonly cancelledJobs = new CancelledJobs();
	private readonly _agents = new AgentTable();
	private readonly _endingRuns = new EndingRuns();
	private readonly _admission: JobAdmission;
	private readonly _placer: TaskPlacer;
	private readonly _rejections: JobRejections;
	private readonly _jobs: JobRegistry;
	private readonly _crashResponse: CrashResponse;
	private readonly _runEnds: RunEndHandler;
	private readonly _waitingJobs = new Set<JobRow>();
	private _lastHealthReviewMs = -Infinity;

	constructor(
		private readonly _host: IDispatchHost,
		private readonly _options: DispatchOptions,
		nowMs: number,
	) {
		this._admission = new JobAdmission(_host, this._agents, this.crashes, nowMs);
		const getLimits = this._admission.getLimits.bind(this._admission);
		this._rejections = new JobRejections(_host, this.counters, this._agents, getLimits);
		this._jobs = new JobRegistry({
			host: _host,
			counters: this.counters,
			agents: this._agents,
			rejections: this._rejections,
			endingRuns: this._endingRuns,
		});
		this._crashResponse = new CrashResponse(_host, this.crashes, this._jobs, this._admission.confinement);
		this._runEnds = new RunEndHandler({
			host: _host,
			counters: this.counters,
			agents: this._agents,
			jobs: this._jobs,
			waitingJobs: this._waitingJobs,
			crashes: this.crashes,
			crashResponse: this._crashResponse,
			endingRuns: this._endingRuns,
		});
		this._placer = new TaskPlacer(
			this._agents,
			getLimits,
			this.crashes,
			this._endingRuns,
			(connectionId, message) => {
				_host.send(connectionId, message);
			},
			() => _host.random(),
		);
	}

	/** Number of jobs that have not ended. */
	get jobCount(): number {
		return this._jobs.size;
	}

	/** Number of routes that are confined to a part of the workers. */
	get confinedRouteCount(): number {
		return this._admission.confinement.confinedRouteCount;
	}

	/** Number of workers that are connected and accept tasks. */
	get workerCount(): number {
		let count = 0;
		for (const agent of this._agents.all) {
			count += agent.state.isAccepting && agent.connectionId !== undefined ? 1 : 0;
		}
		return count;
	}

	/** Returns the number of a route's jobs of which no task has started. */
	countQueuedJobs(route: string): number {
		let count = 0;
		for (const job of this._jobs.all) {
			count += job.request.route === route && !job.hasStarted ? 1 : 0;
		}
		return count;
	}

	/** Returns the state of a job; `undefined` when this entry does not know the job, or it was rejected or abandoned. */
	getJobState(jobId: string): JobState | undefined {
		const job = this._jobs.get(jobId);
		if (job !== undefined) {
			return job.state;
		}
		const ended = this._jobs.getOutcome(jobId)?.kind;
		return ended === 'rejected' || ended === 'abandoned' ? undefined : ended;
	}

	/**
	 * Admits or rejects a job. A repeated request with the same job ID shares the job and its outcome.
	 *
	 * @returns a function to call when the caller disconnects; the job is cancelled once all of its callers have
	 */
	submit(request: JobRequest, listener: (outcome: JobOutcome) => void, nowMs: number): () => void {
		const { jobId } = request;
		const outcome = this._jobs.getOutcome(jobId);
		if (outcome?.kind === 'completed' || outcome?.kind === 'failed') {
			listener(outcome);
			return () => undefined;
		}
		if (this.cancelledJobs.has(jobId, nowMs)) {
			this._jobs.refuseAsCancelled(request);
			listener({ kind: 'cancelled' });
			return () => undefined;
		}
		const outcomeOfRepeated = this._crashResponse.findOutcomeOfRepeated(request);
		if (outcomeOfRepeated !== undefined) {
			listener(outcomeOfRepeated);
			return () => undefined;
		}
		const job = this._jobs.get(jobId) ?? this._admitJob(request, listener, nowMs);
		if (job === undefined) {
			return () => undefined;
		}
		job.listeners.add(listener);
		return () => {
			job.listeners.delete(listener);
			if (job.listeners.size === 0 && this._jobs.has(job)) {
				this.cancel(jobId, 'callerGone', nowMs);
			}
		};
	}

	/** Ends a job and stops its runs. Returns whether the job was known and had not ended. */
	cancel(jobId: string, cause: 'callerGone' | 'asked', nowMs: number): boolean {
		if (cause === 'asked') {
			this.cancelledJobs.add({ jobId, agoMs: 0 }, nowMs);
		}
		const job = this._jobs.get(jobId);
		if (job === undefined) {
			return false;
		}
		this._jobs.cancel(job, cause, nowMs);
		return true;
	}

	/** Ends every job. Started jobs are abandoned; the others are rejected, since none of their tasks has run. */
	abandonAll(nowMs: number): void {
		for (const job of [...this._jobs.all]) {
			if (job.hasStarted) {
				this._jobs.abandon(job, 'stopping', nowMs);
			} else {
				this._jobs.reject(job, 'noWorkers', { cause: 'stopping' }, nowMs);
			}
		}
	}

	/** Handles a new connection of an agent. An earlier one counts as lost, since its end may be noticed only later. */
	handleAgentConnected(connectionId: number, agentId: string, incarnation: string, nowMs: number): void {
		const replacedConnectionId = this._agents.get(agentId)?.connectionId;
		if (replacedConnectionId !== undefined) {
			this.handleAgentLost(replacedConnectionId, 'The agent has connected again.', nowMs);
		}
		const earlierIncarnation = this._agents.connect(connectionId, agentId, incarnation);
		if (earlierIncarnation !== undefined) {
			this._markUnreachable(earlierIncarnation, nowMs);
		}
	}

	/** Handles the loss of an agent's connection. */
	handleAgentLost(connectionId: number, reason: string, nowMs: number): void {
		const agent = this._agents.disconnect(connectionId, nowMs);
		if (agent === undefined) {
			return;
		}
		this._host.log('warn', 'agent.lost', { agentId: agent.agentId, reason, runs: agent.runs.size });
		this._markUnreachable(agent, nowMs);
	}

	private _markUnreachable(agent: AgentRow, nowMs: number): void {
		const untilMs = nowMs + this._options.orphanLifetimeMs;
		markRunsInDoubt(agent, untilMs);
		this._endingRuns.handleAgentLost(agent, untilMs);
	}

	/** Handles an agent's report. Returns whether {@link schedule} should run now, in addition to its regular calls. */
	handleReport(connectionId: number, report: AgentReportMessage, nowMs: number): boolean {
		const agent = this._agents.getByConnection(connectionId);
		if (agent === undefined) {
			return false;
		}
		const { agentId } = agent;
		this.handleCrashes(report.crashes?.map((crash) => ({ ...crash, agentId })) ?? [], nowMs);
		for (const end of report.ends) {
			this._runEnds.handleEnd(agent, end, nowMs);
		}
		if (report.heldRuns !== undefined) {
			this._reconcileHeldRuns(agent, report.heldRuns, nowMs);
		}
		if (report.state === undefined) {
			agent.state = { ...agent.state, isAccepting: false };
			return this._waitingJobs.size > 0;
		}
		this._admission.recordReport(nowMs);
		if (!agent.hasReported) {
			const { pool, workerId, dataCentre } = report.state;
			this._host.log('info', 'agent.reported', { agentId: agent.agentId, workerId, pool, dataCentre });
			this._resolveEarlierIncarnation(agent, nowMs);
		}
		applyReportedState(agent, report.state, report, nowMs);
		this._moveLaggards(agent);
		if (isSuspect(report.state)) {
			this._lastHealthReviewMs = -Infinity;
			return true;
		}
		return this._waitingJobs.size > 0;
	}

	/** Handles cancellings that another entry remembers. */
	handleCancelledJobs(jobs: readonly CancelledJob[], nowMs: number): void {
		for (const cancelled of jobs) {
			if (this.cancelledJobs.add(cancelled, nowMs)) {
				this.cancel(cancelled.jobId, 'asked', nowMs);
			}
		}
	}

	/** Handles crashes that another entry remembers. */
	handleCrashes(crashes: readonly WorkerCrash[], nowMs: number): void {
		this._crashResponse.handleCrashes(crashes, nowMs);
	}

	/**
	 * Reviews the workers' health, places waiting tasks, and ends jobs that can no longer finish in time.
	 *
	 * @param mayPlace `false` while this entry may not know yet which of its jobs were cancelled
	 */
	schedule(nowMs: number, mayPlace = true): void {
		this._runEnds.requeueExpiredInDoubt(nowMs);
		this._reviewWorkers(nowMs);
		if (mayPlace) {
			this._placeWaitingTasks(nowMs);
		}
		this._expireJobs(nowMs);
	}

	private _admitJob(
		request: JobRequest,
		listener: (outcome: JobOutcome) => void,
		nowMs: number,
	): JobRow | undefined {
		const job = createJobRow(request, nowMs, this._jobs.mayHaveRun(request.jobId));
		this._admission.recordJob(request, nowMs);
		const rejection = this._admission.check(job, this._waitingJobs, this._placer.meanTaskMs, nowMs);
		if (rejection !== undefined) {
			const { reason, retryAfterMs, inputs } = rejection;
			job.listeners.add(listener);
			this._jobs.reject(job, reason, inputs, nowMs, retryAfterMs);
			return undefined;
		}
		this.counters.accepted += 1;
		this._jobs.add(job);
		this._waitingJobs.add(job);
		return job;
	}

	private _expireJobs(nowMs: number): void {
		this._jobs.forgetOldOutcomes(nowMs);
		this._endingRuns.forgetEnded(nowMs);
		for (const job of this._jobs.all) {
			this._endJobIfOverdue(job, nowMs);
		}
	}

	private _endJobIfOverdue(job: JobRow, nowMs: number): void {
		const { request } = job;
		if (!job.hasStarted) {
			if (nowMs > Math.min(job.latestStartMs, job.deadlineMs - deadlineMarginMs)) {
				this._admission.recordResults([job], 'missed');
				this._rejectWaitingJob(job, { slackMs: job.latestStartMs - nowMs }, nowMs);
			}
			return;
		}
		const isTooLateToStart =
			job.waitingTaskCount > 0 && nowMs + request.estimateMs / 2 > job.deadlineMs - deadlineMarginMs;
		if (isTooLateToStart || nowMs > job.deadlineMs - deadlineMarginMs) {
			this._jobs.abandon(job, 'deadline', nowMs);
		}
	}

	private _rejectWaitingJob(job: JobRow, inputs: LogFields, nowMs: number): void {
		const retryAfterMs = defaultRetryAfterMs * (0.5 + this._host.random());
		this._jobs.reject(job, 'overloaded', inputs, nowMs, retryAfterMs);
	}

	private _reviewWorkers(nowMs: number): void {
		if (nowMs - this._lastHealthReviewMs < healthReviewIntervalMs) {
			return;
		}
		this._lastHealthReviewMs = nowMs;
		this._admission.confinement.update(nowMs);
		updateWorkerHealth(this._agents.all, this._host, nowMs);
		for (const agent of this._agents.all) {
			if (agent.health.condition === 'resting') {
				this._moveLaggards(agent);
			}
			if (
				agent.connectionId === undefined &&
				agent.runs.size === 0 &&
				nowMs - agent.lostAtMs > agentRetentionMs
			) {
				this._agents.removeDisconnected(agent);
			}
		}
	}

	private _placeWaitingTasks(nowMs: number): void {
		for (const job of this._waitingJobs) {
			if (job.waitingTaskCount === 0 || !this._jobs.has(job)) {
				this._waitingJobs.delete(job);
			}
		}
		if (this._waitingJobs.size > 0) {
			const jobs = [...this._waitingJobs].sort(
				(a, b) => computeOrderKey(a, nowMs) - computeOrderKey(b, nowMs),
			);
			const unstarted = jobs.filter(({ hasStarted }) => !hasStarted);
			this.counters.startsSent += this._placer.placeTasks(jobs, nowMs);
			this._admission.recordResults(
				unstarted.filter(({ hasStarted }) => hasStarted),
				'started',
			);
			const { meanTaskMs } = this._placer;
			for (const { job, ...inputs } of this._admission.findHopelessJobs(jobs, meanTaskMs, nowMs)) {
				this._rejectWaitingJob(job, inputs, nowMs);
			}
		}
	}

	/** Stops the laggards of a worker that is unhealthy or accepts no tasks; they are requeued once their stop is reported. */
	private _moveLaggards(agent: AgentRow): void {
		const isUnfitForTasks = agent.health.condition === 'resting' || !agent.state.isAccepting;
		if (!isUnfitForTasks || agent.connectionId === undefined) {
			return;
		}
		const moved: TaskStartRef[] = [];
		for (const laggard of agent.state.laggards) {
			const job = this._jobs.get(laggard.jobId);
			const task = job?.tasks[laggard.taskIndex];
			const isAtWork = task?.phase === 'placed' && isSameStart(task, laggard);
			if (job === undefined || !isAtWork) {
				continue;
			}
			task.phase = 'stopping';
			moved.push(laggard);
			this._host.log('info', 'task.moved', {
				jobId: laggard.jobId,
				taskIndex: laggard.taskIndex,
				agentId: agent.agentId,
				pace: agent.state.pace,
			});
		}
		if (moved.length > 0) {
			this.counters.runsMoved += moved.length;
			this._host.send(agent.connectionId, { kind: 'stopTasks', tasks: moved });
		}
	}

	/**
	 * Ends the doubt about runs of an agent's earlier incarnation: a restarted agent sends its first state only once none
	 * of them is still running.
	 */
	private _resolveEarlierIncarnation(agent: AgentRow, nowMs: number): void {
		this._crashResponse.handleAgentRestarted(agent, nowMs);
		this._endingRuns.handleEarlierIncarnationsEnded(agent);
		for (const job of this._jobs.all) {
			for (const task of job.tasks) {
				const isEarlierRun = task.agentId === agent.agentId && !agent.runs.has(getRunKey(job, task));
				if (task.phase === 'inDoubt' && isEarlierRun) {
					task.inDoubtUntilMs = nowMs;
				}
			}
		}
	}

	/**
	 * Compares the runs that an agent holds with those that were sent to it. A task whose last start was lost is queued again; if the
	 * agent holds an earlier start of it, it waits until the agent has reported the end of that.
	 */
	private _reconcileHeldRuns(agent: AgentRow, heldRuns: readonly TaskStartRef[], nowMs: number): void {
		this._endingRuns.handleHeldRuns(agent, heldRuns);
		const { unknown, confirmed, missing } = compareHeldRuns(agent, heldRuns);
		if (unknown.length > 0 || missing.length > 0) {
			this._host.log('info', 'runs.reconciled', {
				agentId: agent.agentId,
				unknown: unknown.map(describeRun),
				missing: missing.map(({ job, task }) => describeRun({ jobId: job.request.jobId, ...task })),
				confirmed: confirmed.length,
			});
		}
		for (const { task } of confirmed) {
			task.phase = 'placed';
		}
		for (const start of unknown) {
			this._endingRuns.add({ start, agentId: agent.agentId, agent }, nowMs);
		}
		for (const { job, task } of missing) {
			removeRun(agent, job, task);
			this._runEnds.requeueTask(job, task);
		}
		if (unknown.length > 0 && agent.connectionId !== undefined) {
			this._host.send(agent.connectionId, { kind: 'stopTasks', tasks: unknown });
		}
	}
}
