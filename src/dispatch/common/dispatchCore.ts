/**
 * The decisions of an entry: which jobs are taken, in which order they wait, where their tasks run, and what follows an
 * end, a refusal or a lost agent. Free of sockets and clocks; times come with the calls.
 */

import type { LogFields } from '../../services/log/common/log.js';
import { reviewPools } from './agentReview.js';
import { AgentTable, removeRun, runKeyOf, takeState, type AgentRow } from './agentTable.js';
import {
	taskKeyOf,
	type AgentReportMessage,
	type TaskEndReport,
	type TaskRunRef,
} from './dispatchMessages.js';
import { createCounters, logWhenLate, type IDispatchHost } from './dispatchHost.js';
import { noWorkersRetryMs, refusalOf, type JobRefusal } from './jobAdmission.js';
import { orderOf } from './jobOrder.js';
import { createJobRow, noteStep, type JobRow, type TaskRow } from './jobTable.js';
import type { JobOutcome, JobRequest, JobState } from './jobs.js';
import { TaskPlacer } from './taskPlacer.js';
import { isSuspect } from './workerHealth.js';

/** Settings of the core. */
export interface DispatchOptions {
	/** Time after the loss of a connection until which the agent's runs may go on. */
	readonly orphanLifetimeMs: number;
}

/** Time for which an ended job is remembered, so that the same request gets the same answer. */
const rememberMs = 10_000;
/** Time before its deadline at which a job that can't be done any more is given up. */
const giveUpLeadMs = 20;
/** Time between reviews of all workers while no report is suspect; half of the time between looks at deadlines. */
const reviewIntervalMs = 8;
/** Time after the entry's start in which a job waits for the first workers to report. */
const settlingMs = 1500;

/**
 * State and decisions of one entry.
 *
 * @example
 * core.submit(request, (outcome) => respond(outcome), clock.nowMs());
 * core.schedule(clock.nowMs());
 */
export class DispatchCore {
	readonly counters = createCounters();
	private readonly _jobs = new Map<string, JobRow>();
	private readonly _ended = new Map<string, { readonly outcome: JobOutcome; readonly atMs: number }>();
	private readonly _agents = new AgentTable();
	private readonly _placer: TaskPlacer;
	private readonly _waiting = new Set<JobRow>();
	private readonly _startedAtMs: number;
	private _reviewedAtMs = -Infinity;

	constructor(
		private readonly _host: IDispatchHost,
		private readonly _options: DispatchOptions,
		nowMs: number,
	) {
		this._startedAtMs = nowMs;
		this._placer = new TaskPlacer(
			this._agents,
			(linkId, message) => {
				_host.send(linkId, message);
			},
			() => _host.random(),
		);
	}

	/** Jobs that are not ended. */
	get jobCount(): number {
		return this._jobs.size;
	}

	/** Workers that are connected and take tasks. */
	get workerCount(): number {
		let count = 0;
		for (const agent of this._agents.all) {
			count += agent.state.isAccepting && agent.linkId !== undefined ? 1 : 0;
		}
		return count;
	}

	/** Jobs of a route of which no task has started. */
	countQueued(route: string): number {
		let count = 0;
		for (const job of this._jobs.values()) {
			count += job.request.route === route && !job.hasStarted ? 1 : 0;
		}
		return count;
	}

	/** Where a job stands; `undefined` when it is unknown here. */
	stateOf(jobId: string): JobState | undefined {
		const job = this._jobs.get(jobId);
		if (job !== undefined) {
			return job.state;
		}
		const ended = this._ended.get(jobId)?.outcome.kind;
		return ended === 'completed' || ended === 'failed' ? ended : undefined;
	}

	/**
	 * Takes a job or rejects it. A request that is known already shares the outcome of the first.
	 *
	 * @returns a function that tells that the caller has gone; the last one to go ends the job
	 */
	submit(request: JobRequest, listener: (outcome: JobOutcome) => void, nowMs: number): () => void {
		const { jobId } = request;
		const ended = this._ended.get(jobId);
		if (ended !== undefined && (ended.outcome.kind === 'completed' || ended.outcome.kind === 'failed')) {
			listener(ended.outcome);
			return () => undefined;
		}
		const job = this._jobs.get(jobId) ?? this._admit(request, listener, nowMs);
		if (job === undefined) {
			return () => undefined;
		}
		job.listeners.add(listener);
		return () => {
			job.listeners.delete(listener);
			if (job.listeners.size === 0 && this._jobs.get(jobId) === job) {
				this.cancel(jobId, 'callerGone', nowMs);
			}
		};
	}

	/** Ends a job without an answer; its runs are stopped. Returns whether it was known and not ended. */
	cancel(jobId: string, cause: 'callerGone' | 'asked', nowMs: number): boolean {
		const job = this._jobs.get(jobId);
		if (job === undefined) {
			return false;
		}
		this.counters.cancelled += 1;
		const waitedMs = Math.round(nowMs - job.arrivedMs);
		this._host.log('info', 'job.cancelled', { jobId, cause, waitedMs, trace: job.trace });
		this._end(job, { kind: 'abandoned' }, nowMs, true);
		return true;
	}

	/** Gives up every job. One that has not started is rejected, which is truer than an unknown end. */
	abandonAll(nowMs: number): void {
		for (const job of [...this._jobs.values()]) {
			if (job.hasStarted) {
				this.counters.abandoned += 1;
				this._end(job, { kind: 'abandoned' }, nowMs, true);
				continue;
			}
			this.counters.rejected += 1;
			const retryAfterMs = noWorkersRetryMs;
			this._end(job, { kind: 'rejected', reason: 'noWorkers', retryAfterMs }, nowMs, true);
		}
	}

	/** Takes a new connection of an agent. */
	agentConnected(linkId: number, agentId: string, incarnation: string, nowMs: number): void {
		const earlierLife = this._agents.connect(linkId, agentId, incarnation);
		if (earlierLife !== undefined) {
			this._doubtAllRuns(earlierLife, nowMs);
		}
	}

	/** Takes the loss of a connection. */
	agentLost(linkId: number, reason: string, nowMs: number): void {
		const agent = this._agents.disconnect(linkId, nowMs);
		if (agent === undefined) {
			return;
		}
		this._host.log('warn', 'agent.lost', { agentId: agent.agentId, reason, runs: agent.runs.size });
		this._doubtAllRuns(agent, nowMs);
	}

	/** Takes a report of an agent. Returns whether {@link schedule} has something to do now, beside its regular turns. */
	takeReport(linkId: number, report: AgentReportMessage, nowMs: number): boolean {
		const agent = this._agents.byLink(linkId);
		if (agent === undefined) {
			return false;
		}
		for (const end of report.ends) {
			this._takeEnd(agent, end, nowMs);
		}
		if (report.heldRuns !== undefined) {
			this._resumeHeld(agent, report.heldRuns);
		}
		if (report.state === undefined) {
			agent.state = { ...agent.state, isAccepting: false };
			return this._waiting.size > 0;
		}
		if (!agent.hasState) {
			const { pool, workerId, dataCentre } = report.state;
			this._host.log('info', 'agent.reported', { agentId: agent.agentId, workerId, pool, dataCentre });
			this._settleEarlierLife(agent, nowMs);
		}
		takeState(agent, report.state, report);
		this._moveLaggards(agent);
		if (isSuspect(report.state)) {
			this._reviewedAtMs = -Infinity;
			return true;
		}
		return this._waiting.size > 0;
	}

	/** Reviews the workers, places what waits, and gives up what has no time left. */
	schedule(nowMs: number): void {
		this._endDoubts(nowMs);
		this._reviewWorkers(nowMs);
		this._placeWaiting(nowMs);
		this._expire(nowMs);
	}

	private _admit(
		request: JobRequest,
		listener: (outcome: JobOutcome) => void,
		nowMs: number,
	): JobRow | undefined {
		const job = createJobRow(request, nowMs);
		const pool = this._agents.inPool(request.pool);
		const isSettling = pool.length === 0 && nowMs - this._startedAtMs < settlingMs;
		const refusal = isSettling ? undefined : this._refusalOf(job, pool, nowMs);
		if (refusal !== undefined) {
			const { reason, retryAfterMs, inputs } = refusal;
			this.counters.rejected += 1;
			this._logRejection(job, { reason, ...inputs });
			listener({ kind: 'rejected', reason, retryAfterMs });
			return undefined;
		}
		this.counters.accepted += 1;
		this._jobs.set(request.jobId, job);
		this._waiting.add(job);
		return job;
	}

	private _refusalOf(job: JobRow, pool: readonly AgentRow[], nowMs: number): JobRefusal | undefined {
		return refusalOf(job, {
			pool,
			waiting: this._waiting,
			entryCount: this._host.entryCount(),
			meanTaskMs: this._placer.meanTaskMs,
			nowMs,
			random: () => this._host.random(),
		});
	}

	private _logRejection({ request }: JobRow, inputs: LogFields): void {
		const { jobId, route, taskCount } = request;
		this._host.log('info', 'job.rejected', { jobId, route, taskCount, ...inputs });
	}

	/** Lets tasks wait for room again that can no longer run where they were. */
	private _endDoubts(nowMs: number): void {
		for (const job of this._jobs.values()) {
			for (const task of job.tasks) {
				if (task.phase === 'inDoubt' && nowMs >= task.doubtUntilMs) {
					const agent = this._agents.get(task.agentId);
					if (agent !== undefined) {
						removeRun(agent, job, task);
					}
					this._release(job, task);
				}
			}
		}
	}

	private _expire(nowMs: number): void {
		for (const [jobId, { atMs }] of this._ended) {
			if (nowMs - atMs < rememberMs) {
				break;
			}
			this._ended.delete(jobId);
		}
		for (const job of this._jobs.values()) {
			this._expireJob(job, nowMs);
		}
	}

	private _expireJob(job: JobRow, nowMs: number): void {
		const { request } = job;
		if (!job.hasStarted) {
			if (nowMs > Math.min(job.latestStartMs, job.deadlineMs - giveUpLeadMs)) {
				this.counters.rejected += 1;
				this._logRejection(job, { reason: 'overloaded', waitedMs: Math.round(nowMs - job.arrivedMs) });
				const retryAfterMs = noWorkersRetryMs * (0.5 + this._host.random());
				this._end(job, { kind: 'rejected', reason: 'overloaded', retryAfterMs }, nowMs, true);
			}
			return;
		}
		const isHopeless = job.waitingCount > 0 && nowMs + request.estimateMs / 2 > job.deadlineMs - giveUpLeadMs;
		if (isHopeless || nowMs > job.deadlineMs - giveUpLeadMs) {
			this.counters.abandoned += 1;
			const { jobId, route } = request;
			this._host.log('warn', 'job.abandoned', {
				...{ jobId, route, waitingTasks: job.waitingCount, doneTasks: job.doneCount },
				waitedMs: Math.round(nowMs - job.arrivedMs),
				trace: job.trace,
			});
			this._end(job, { kind: 'abandoned' }, nowMs, true);
		}
	}

	private _reviewWorkers(nowMs: number): void {
		if (nowMs - this._reviewedAtMs < reviewIntervalMs) {
			return;
		}
		this._reviewedAtMs = nowMs;
		reviewPools(this._agents.all, this._host, nowMs);
		for (const agent of this._agents.all) {
			if (agent.health.condition === 'resting') {
				this._moveLaggards(agent);
			}
			if (agent.linkId === undefined && agent.runs.size === 0 && nowMs - agent.lostAtMs > rememberMs) {
				this._agents.forget(agent);
			}
		}
	}

	private _placeWaiting(nowMs: number): void {
		for (const job of this._waiting) {
			if (job.waitingCount === 0 || this._jobs.get(job.request.jobId) !== job) {
				this._waiting.delete(job);
			}
		}
		if (this._waiting.size > 0) {
			const jobs = [...this._waiting].sort((left, right) => orderOf(left, nowMs) - orderOf(right, nowMs));
			this.counters.startsSent += this._placer.place(jobs, nowMs);
		}
	}

	private _takeEnd(agent: AgentRow, report: TaskEndReport, nowMs: number): void {
		const job = this._jobs.get(report.jobId);
		const task = job?.tasks[report.taskIndex];
		if (job === undefined || task?.run !== report.run || task.agentId !== agent.agentId) {
			return;
		}
		if (task.phase === 'waiting' || task.phase === 'done') {
			return;
		}
		removeRun(agent, job, task);
		const reason = report.reason === undefined ? '' : `:${report.reason}`;
		noteStep(job, task, `${report.end}${reason}`, agent.agentId, nowMs);
		switch (report.end) {
			case 'done':
				this._noteDone(job, task, nowMs);
				return;
			case 'failed':
				this._noteFailed(job, task, agent, nowMs);
				return;
			case 'refused':
				this._noteRefused(job, task, agent, report);
				return;
			case 'stopped':
			case 'lost':
				this.counters.runsLost += report.end === 'lost' ? 1 : 0;
				this._release(job, task);
		}
	}

	private _noteDone(job: JobRow, task: TaskRow, nowMs: number): void {
		task.phase = 'done';
		job.doneCount += 1;
		if (job.doneCount === job.tasks.length) {
			this.counters.completed += 1;
			logWhenLate(this._host, job, nowMs);
			this._end(job, { kind: 'completed' }, nowMs, false);
		}
	}

	private _noteFailed(job: JobRow, task: TaskRow, agent: AgentRow, nowMs: number): void {
		task.excluded.add(agent.agentId);
		// What a worker in trouble fails says nothing about the task.
		const isWorkersFault = agent.health.condition !== 'sound';
		task.failures += isWorkersFault ? 0 : 1;
		const { jobId, route, maxAttempts } = job.request;
		this._host.log('info', 'task.failed', {
			jobId,
			route,
			taskIndex: task.taskIndex,
			agentId: agent.agentId,
			failures: task.failures,
			isWorkersFault,
		});
		if (task.failures < maxAttempts) {
			this._release(job, task);
			return;
		}
		task.phase = 'done';
		this.counters.failed += 1;
		this._host.log('warn', 'job.failed', { jobId, route, maxAttempts, trace: job.trace });
		this._end(job, { kind: 'failed' }, nowMs, true);
	}

	private _noteRefused(job: JobRow, task: TaskRow, agent: AgentRow, report: TaskEndReport): void {
		this.counters.startsRefused += 1;
		if (report.reason === 'olderRun') {
			task.run = Math.max(task.run, report.knownRun ?? task.run);
		}
		if (report.reason === 'unhealthy' || report.reason === 'notAccepting' || report.reason === 'invalid') {
			task.excluded.add(agent.agentId);
		}
		this._release(job, task);
	}

	/** Lets a task wait for room again. */
	private _release(job: JobRow, task: TaskRow): void {
		task.phase = 'waiting';
		task.agentId = '';
		this._waiting.add(job);
		job.waitingCount += 1;
	}

	private _end(job: JobRow, outcome: JobOutcome, nowMs: number, stopsRuns: boolean): void {
		const { jobId } = job.request;
		this._jobs.delete(jobId);
		this._ended.delete(jobId);
		this._ended.set(jobId, { outcome, atMs: nowMs });
		if (outcome.kind === 'completed' || outcome.kind === 'failed') {
			job.state = outcome.kind;
		}
		if (stopsRuns) {
			this._stopRuns(job);
		}
		for (const listener of [...job.listeners]) {
			listener(outcome);
		}
		job.listeners.clear();
	}

	private _stopRuns(job: JobRow): void {
		const byAgent = new Map<AgentRow, TaskRunRef[]>();
		for (const task of job.tasks) {
			const agent = this._agents.get(task.agentId);
			if (!agent?.runs.has(runKeyOf(job, task))) {
				continue;
			}
			removeRun(agent, job, task);
			const tasks = byAgent.get(agent) ?? [];
			tasks.push({ jobId: job.request.jobId, taskIndex: task.taskIndex, run: task.run });
			byAgent.set(agent, tasks);
		}
		for (const [agent, tasks] of byAgent) {
			if (agent.linkId !== undefined) {
				this._host.send(agent.linkId, { kind: 'stopTasks', tasks });
			}
		}
	}

	/** Stops tasks that would end sooner elsewhere, when their worker is in trouble; they start anew after the stop. */
	private _moveLaggards(agent: AgentRow): void {
		const isLeft = agent.health.condition === 'resting' || !agent.state.isAccepting;
		if (!isLeft || agent.linkId === undefined) {
			return;
		}
		const moved: TaskRunRef[] = [];
		for (const laggard of agent.state.laggards) {
			const job = this._jobs.get(laggard.jobId);
			const task = job?.tasks[laggard.taskIndex];
			if (job === undefined || task?.run !== laggard.run || task.phase !== 'placed') {
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
			this._host.send(agent.linkId, { kind: 'stopTasks', tasks: moved });
		}
	}

	private _doubtAllRuns(agent: AgentRow, nowMs: number): void {
		for (const { task } of agent.runs.values()) {
			if (task.phase === 'placed' || task.phase === 'stopping') {
				task.phase = 'inDoubt';
				task.doubtUntilMs = nowMs + this._options.orphanLifetimeMs;
			}
		}
	}

	/** A new life of an agent reports only once nothing of the earlier one runs any more. */
	private _settleEarlierLife(agent: AgentRow, nowMs: number): void {
		for (const job of this._jobs.values()) {
			for (const task of job.tasks) {
				const isOfEarlierLife = task.agentId === agent.agentId && !agent.runs.has(runKeyOf(job, task));
				if (task.phase === 'inDoubt' && isOfEarlierLife) {
					task.doubtUntilMs = nowMs;
				}
			}
		}
	}

	private _resumeHeld(agent: AgentRow, heldRuns: readonly TaskRunRef[]): void {
		const held = new Map(heldRuns.map((run) => [taskKeyOf(run), run]));
		const stale: TaskRunRef[] = [];
		for (const [key, run] of held) {
			const known = agent.runs.get(key);
			if (known?.task.run !== run.run) {
				stale.push(run);
			} else if (known.task.phase === 'inDoubt') {
				known.task.phase = 'placed';
			}
		}
		// What the agent does not hold and reported no end of was never taken by it.
		for (const [key, { job, task }] of [...agent.runs]) {
			if (!held.has(key) && task.phase === 'inDoubt') {
				removeRun(agent, job, task);
				this._release(job, task);
			}
		}
		if (stale.length > 0 && agent.linkId !== undefined) {
			this._host.send(agent.linkId, { kind: 'stopTasks', tasks: stale });
		}
	}
}
