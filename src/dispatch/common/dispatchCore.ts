/**
 * The decisions of an entry: which jobs are taken, in which order they wait, where their tasks run, and what follows an
 * end, a refusal or a lost agent. Free of sockets and clocks; times come with the calls.
 */

import type { LogFields } from '../../services/log/common/log.js';
import { decideAdmission } from './admission.js';
import {
	addNeeds,
	countFitting,
	noNeeds,
	type AgentReportMessage,
	type JobStart,
	type StartTasksMessage,
	type StopTasksMessage,
	type TaskEndReport,
	type TaskNeeds,
	type TaskRunRef,
	type WorkerState,
} from './dispatchMessages.js';
import { createJobRow, type JobRow, type TaskRow } from './jobTable.js';
import type { JobOutcome, JobRequest, JobState, RejectionReason } from './jobs.js';
import { chooseWorker, freeAt, isEligible, type PlacementRequest, type WorkerView } from './placement.js';
import { createHealthRecord, reviewHealth, type HealthRecord } from './workerHealth.js';

/** What the core asks of its surroundings. */
export interface IDispatchHost {
	send(linkId: number, message: StartTasksMessage | StopTasksMessage): void;
	log(level: 'info' | 'warn', event: string, fields: LogFields): void;
	/** Entries that place on the same workers, this one included. */
	entryCount(): number;
	random(): number;
}

/** Settings of the core. */
export interface DispatchOptions {
	/** Time after the loss of a connection until which the agent's runs may go on. */
	readonly orphanLifetimeMs: number;
}

/** Time for which an ended job is remembered, so that the same request gets the same answer. */
const rememberMs = 10_000;
/** Time by which each step of priority moves a job back: more than the slack of most, so that priority decides. */
const priorityStepMs = 300;
/** Separates jobs that have started, that can be in time, and that can't; beyond every time. */
const classStepMs = 1e12;
/** Weight of a newly placed task in the mean duration. */
const meanWeight = 0.02;
/** First figure of the mean duration. */
const initialMeanTaskMs = 300;
/** Time before its deadline at which a job that can't be done any more is given up. */
const giveUpLeadMs = 20;
/** Retry hint where no worker is known. */
const noWorkersRetryMs = 2000;
/** Time after the entry's start in which a job waits for the first workers to report. */
const settlingMs = 1500;

interface AgentRow extends WorkerView {
	readonly agentId: string;
	readonly incarnation: string;
	/** The open connection; `undefined` while it is lost. */
	linkId: number | undefined;
	state: WorkerState;
	hasState: boolean;
	readonly health: HealthRecord;
	unseen: TaskNeeds;
	/** Needs of each start message that the agent's state does not take into account yet. */
	readonly unseenBySequence: Map<number, TaskNeeds>;
	nextSequence: number;
	runCount: number;
	readonly runs: Map<string, { readonly job: JobRow; readonly task: TaskRow }>;
	lostAtMs: number;
}

const unknownState: WorkerState = {
	workerId: '',
	dataCentre: '',
	pool: '',
	labels: [],
	capacity: noNeeds,
	used: noNeeds,
	isAccepting: false,
	speed: 1,
	failedEnds: 0,
	doneEnds: 0,
	failureStreak: 0,
	laggards: [],
};

/** Counters of the core, for metrics. */
export interface DispatchCounters {
	accepted: number;
	completed: number;
	failed: number;
	rejected: number;
	abandoned: number;
	cancelled: number;
	startsSent: number;
	startsRefused: number;
	runsLost: number;
	runsMoved: number;
}

/**
 * State and decisions of one entry.
 *
 * @example
 * core.submit(request, (outcome) => respond(outcome), clock.nowMs());
 * core.schedule(clock.nowMs());
 */
export class DispatchCore {
	readonly counters: DispatchCounters = {
		accepted: 0,
		completed: 0,
		failed: 0,
		rejected: 0,
		abandoned: 0,
		cancelled: 0,
		startsSent: 0,
		startsRefused: 0,
		runsLost: 0,
		runsMoved: 0,
	};
	private readonly _jobs = new Map<string, JobRow>();
	private readonly _ended = new Map<string, { readonly outcome: JobOutcome; readonly atMs: number }>();
	private readonly _agents = new Map<string, AgentRow>();
	private readonly _agentByLink = new Map<number, AgentRow>();
	private _waiting: JobRow[] = [];
	private _meanTaskMs = initialMeanTaskMs;
	private readonly _startedAtMs: number;

	constructor(
		private readonly _host: IDispatchHost,
		private readonly _options: DispatchOptions,
		nowMs: number,
	) {
		this._startedAtMs = nowMs;
	}

	/** Jobs that are not ended. */
	get jobCount(): number {
		return this._jobs.size;
	}

	/** Workers that are connected and take tasks. */
	get workerCount(): number {
		let count = 0;
		for (const agent of this._agents.values()) {
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
		this._host.log('info', 'job.cancelled', { jobId, cause, hasStarted: job.hasStarted });
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
		const known = this._agents.get(agentId);
		if (known?.incarnation === incarnation) {
			if (known.linkId !== undefined) {
				this._agentByLink.delete(known.linkId);
			}
			known.linkId = linkId;
			known.unseenBySequence.clear();
			known.unseen = noNeeds;
			known.nextSequence = 1;
			this._agentByLink.set(linkId, known);
			return;
		}
		if (known !== undefined) {
			this._doubtAllRuns(known, nowMs);
			this._dropAgent(known);
		}
		const agent: AgentRow = {
			agentId,
			incarnation,
			linkId,
			state: unknownState,
			hasState: false,
			health: createHealthRecord(),
			unseen: noNeeds,
			unseenBySequence: new Map(),
			nextSequence: 1,
			runCount: 0,
			runs: new Map(),
			lostAtMs: 0,
		};
		this._agents.set(agentId, agent);
		this._agentByLink.set(linkId, agent);
	}

	/** Takes the loss of a connection. */
	agentLost(linkId: number, reason: string, nowMs: number): void {
		const agent = this._agentByLink.get(linkId);
		this._agentByLink.delete(linkId);
		if (agent?.linkId !== linkId) {
			return;
		}
		agent.linkId = undefined;
		agent.lostAtMs = nowMs;
		agent.state = { ...agent.state, isAccepting: false };
		this._host.log('warn', 'agent.lost', { agentId: agent.agentId, reason, runs: agent.runs.size });
		this._doubtAllRuns(agent, nowMs);
	}

	/** Takes a report of an agent. */
	takeReport(linkId: number, report: AgentReportMessage, nowMs: number): void {
		const agent = this._agentByLink.get(linkId);
		if (agent === undefined) {
			return;
		}
		for (const end of report.ends) {
			this._takeEnd(agent, end, nowMs);
		}
		if (report.heldRuns !== undefined) {
			this._resumeHeld(agent, report.heldRuns);
		}
		if (report.state === undefined) {
			agent.state = { ...agent.state, isAccepting: false };
			return;
		}
		if (!agent.hasState) {
			agent.hasState = true;
			const { pool, workerId, dataCentre } = report.state;
			this._host.log('info', 'agent.reported', { agentId: agent.agentId, workerId, pool, dataCentre });
			this._settleEarlierLife(agent, nowMs);
		}
		agent.state = report.state;
		for (const sequence of [...agent.unseenBySequence.keys()]) {
			if (sequence <= report.handledSequence) {
				agent.unseenBySequence.delete(sequence);
			}
		}
		agent.unseen = [...agent.unseenBySequence.values()].reduce((sum, needs) => addNeeds(sum, needs), noNeeds);
		this._moveLaggards(agent);
	}

	/** Gives up what has no time left, reviews the workers, and places what waits. */
	schedule(nowMs: number): void {
		this._expire(nowMs);
		this._reviewWorkers(nowMs);
		this._placeWaiting(nowMs);
	}

	private _admit(
		request: JobRequest,
		listener: (outcome: JobOutcome) => void,
		nowMs: number,
	): JobRow | undefined {
		const job = createJobRow(request, nowMs);
		const refusal = this._refusalOf(job, nowMs);
		if (refusal !== undefined) {
			this.counters.rejected += 1;
			listener({ kind: 'rejected', ...refusal });
			return undefined;
		}
		this.counters.accepted += 1;
		this._jobs.set(request.jobId, job);
		this._waiting.push(job);
		return job;
	}

	private _refusalOf(
		job: JobRow,
		nowMs: number,
	): { readonly reason: RejectionReason; readonly retryAfterMs: number } | undefined {
		const { request } = job;
		const placement = toPlacement(request, emptySet);
		const pool = [...this._agents.values()].filter(
			({ state, linkId }) => linkId !== undefined && state.pool === request.pool,
		);
		if (pool.length === 0 && nowMs - this._startedAtMs < settlingMs) {
			return undefined;
		}
		if (!pool.some(({ state }) => state.isAccepting)) {
			this._logRefusal(job, 'noWorkers', { agents: this._agents.size });
			return { reason: 'noWorkers', retryAfterMs: noWorkersRetryMs };
		}
		if (!pool.some(({ state }) => countFitting(request.needs, state.capacity) > 0)) {
			this._logRefusal(job, 'doesNotFit', { cpuMillis: request.needs.cpuMillis });
			return { reason: 'doesNotFit', retryAfterMs: noWorkersRetryMs };
		}
		let freeSlots = 0;
		let busySlots = 0;
		for (const agent of pool) {
			if (isEligible(agent, placement)) {
				freeSlots += countFitting(request.needs, freeAt(agent));
				busySlots += agent.state.used.cpuMillis / Math.max(1, request.needs.cpuMillis);
			}
		}
		let cpuAhead = 0;
		for (const other of this._waiting) {
			if (orderOf(other, nowMs) <= orderOf(job, nowMs)) {
				cpuAhead += other.waitingCount * other.request.needs.cpuMillis;
			}
		}
		const decision = decideAdmission(
			{
				taskCount: request.taskCount,
				freeSlots,
				busySlots,
				tasksAhead: cpuAhead / Math.max(1, request.needs.cpuMillis),
				entryCount: this._host.entryCount(),
				meanTaskMs: this._meanTaskMs,
				slackMs: job.latestStartMs - nowMs,
			},
			() => this._host.random(),
		);
		if (decision.isTaken) {
			return undefined;
		}
		this._logRefusal(job, 'overloaded', {
			forecastWaitMs: Math.round(Math.min(decision.waitMs, 1e6)),
			slackMs: Math.round(job.latestStartMs - nowMs),
			freeSlots,
			busySlots: Math.round(busySlots),
		});
		return { reason: 'overloaded', retryAfterMs: decision.retryAfterMs };
	}

	private _logRefusal({ request }: JobRow, reason: RejectionReason, inputs: LogFields): void {
		const { jobId, route, taskCount } = request;
		this._host.log('info', 'job.rejected', { jobId, route, taskCount, reason, ...inputs });
	}

	private _expire(nowMs: number): void {
		for (const [jobId, { atMs }] of this._ended) {
			if (nowMs - atMs < rememberMs) {
				break;
			}
			this._ended.delete(jobId);
		}
		for (const job of this._jobs.values()) {
			for (const task of job.tasks) {
				if (task.phase === 'inDoubt' && nowMs >= task.doubtUntilMs) {
					const agent = this._agents.get(task.agentId);
					if (agent !== undefined) {
						this._forgetRun(agent, job, task);
					}
					this._release(job, task);
				}
			}
			this._expireJob(job, nowMs);
		}
	}

	private _expireJob(job: JobRow, nowMs: number): void {
		const { request } = job;
		if (!job.hasStarted) {
			if (nowMs > Math.min(job.latestStartMs, job.deadlineMs - giveUpLeadMs)) {
				this.counters.rejected += 1;
				this._logRefusal(job, 'overloaded', { waitedMs: Math.round(nowMs - job.arrivedMs) });
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
				jobId,
				route,
				waitedMs: Math.round(nowMs - job.arrivedMs),
				waitingTasks: job.waitingCount,
				doneTasks: job.doneCount,
				phases: job.tasks.map(({ phase, agentId }) => `${phase}@${agentId}`),
			});
			this._end(job, { kind: 'abandoned' }, nowMs, true);
		}
	}

	private _reviewWorkers(nowMs: number): void {
		const byPool = new Map<string, AgentRow[]>();
		for (const agent of this._agents.values()) {
			if (agent.linkId !== undefined && agent.hasState) {
				const pool = byPool.get(agent.state.pool) ?? [];
				pool.push(agent);
				byPool.set(agent.state.pool, pool);
			}
		}
		for (const pool of byPool.values()) {
			for (const { agentId, state } of reviewHealth(pool, nowMs)) {
				this._host.log('warn', 'worker.resting', {
					agentId,
					pace: state.pace,
					speed: state.speed,
					failedEnds: state.failedEnds,
					doneEnds: state.doneEnds,
				});
			}
		}
		for (const agent of this._agents.values()) {
			if (agent.health.condition === 'resting') {
				this._moveLaggards(agent);
			}
			if (agent.linkId === undefined && agent.runs.size === 0 && nowMs - agent.lostAtMs > rememberMs) {
				this._dropAgent(agent);
			}
		}
	}

	private _placeWaiting(nowMs: number): void {
		if (this._waiting.length === 0) {
			return;
		}
		this._waiting = this._waiting.filter(
			(job) => job.waitingCount > 0 && this._jobs.get(job.request.jobId) === job,
		);
		this._waiting.sort((left, right) => orderOf(left, nowMs) - orderOf(right, nowMs));
		const starts = new Map<AgentRow, Map<JobRow, JobStart>>();
		let blockedCpuMillis = Infinity;
		for (const job of this._waiting) {
			const { needs } = job.request;
			if (needs.cpuMillis >= blockedCpuMillis) {
				continue;
			}
			if (!this._placeJob(job, starts)) {
				blockedCpuMillis = Math.min(blockedCpuMillis, needs.cpuMillis);
			}
		}
		for (const [agent, byJob] of starts) {
			this._sendStarts(agent, [...byJob.values()]);
		}
	}

	/** Places a job's waiting tasks; returns whether none of them lacked room. */
	private _placeJob(job: JobRow, starts: Map<AgentRow, Map<JobRow, JobStart>>): boolean {
		for (const task of job.tasks) {
			if (task.phase !== 'waiting') {
				continue;
			}
			const placement = toPlacement(job.request, task.excluded);
			const agent = chooseWorker(this._agents.values(), placement, () => this._host.random());
			if (agent === undefined) {
				if (task.excluded.size > 0) {
					this._forgiveWhenNoneIsLeft(task, placement);
					continue;
				}
				return false;
			}
			this._place(job, task, agent, starts);
		}
		return true;
	}

	/** A task that was refused or failed everywhere may go anywhere again. */
	private _forgiveWhenNoneIsLeft(task: TaskRow, placement: PlacementRequest): void {
		for (const agent of this._agents.values()) {
			if (isEligible(agent, placement)) {
				return;
			}
		}
		task.excluded.clear();
	}

	private _place(
		job: JobRow,
		task: TaskRow,
		agent: AgentRow,
		starts: Map<AgentRow, Map<JobRow, JobStart>>,
	): void {
		const { request } = job;
		task.phase = 'placed';
		task.run += 1;
		task.agentId = agent.agentId;
		job.waitingCount -= 1;
		job.hasStarted = true;
		job.state = 'running';
		this._meanTaskMs += meanWeight * (request.estimateMs - this._meanTaskMs);
		agent.runs.set(keyOf(job, task), { job, task });
		agent.runCount += 1;
		agent.unseen = addNeeds(agent.unseen, request.needs);
		const byJob = starts.get(agent) ?? new Map<JobRow, JobStart>();
		starts.set(agent, byJob);
		const present = byJob.get(job);
		const run = { taskIndex: task.taskIndex, run: task.run };
		const { jobId, pool, payload, needs, estimateMs } = request;
		const tasks = [...(present?.tasks ?? []), run];
		byJob.set(job, { jobId, pool, payload, needs, estimateMs, tasks });
	}

	private _sendStarts(agent: AgentRow, jobs: readonly JobStart[]): void {
		if (agent.linkId === undefined) {
			return;
		}
		const sequence = agent.nextSequence;
		agent.nextSequence += 1;
		let needs = noNeeds;
		for (const job of jobs) {
			needs = addNeeds(needs, job.needs, job.tasks.length);
			this.counters.startsSent += job.tasks.length;
		}
		agent.unseenBySequence.set(sequence, needs);
		this._host.send(agent.linkId, { kind: 'startTasks', sequence, jobs });
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
		this._forgetRun(agent, job, task);
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
		if (job.waitingCount === 0) {
			this._waiting.push(job);
		}
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
			if (agent === undefined || !agent.runs.has(keyOf(job, task))) {
				continue;
			}
			this._forgetRun(agent, job, task);
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
				const isOfEarlierLife = task.agentId === agent.agentId && !agent.runs.has(keyOf(job, task));
				if (task.phase === 'inDoubt' && isOfEarlierLife) {
					task.doubtUntilMs = nowMs;
				}
			}
		}
	}

	private _resumeHeld(agent: AgentRow, heldRuns: readonly TaskRunRef[]): void {
		const held = new Map(heldRuns.map((run) => [`${run.jobId}/${run.taskIndex}`, run.run]));
		const stale: TaskRunRef[] = [];
		for (const [key, run] of held) {
			const known = agent.runs.get(key);
			if (known?.task.run === run && known.task.phase === 'inDoubt') {
				known.task.phase = 'placed';
				continue;
			}
			if (known?.task.run !== run) {
				const [jobId = '', taskIndex] = key.split('/');
				stale.push({ jobId, taskIndex: Number(taskIndex), run });
			}
		}
		// What the agent does not hold and reported no end of was never taken by it.
		for (const [key, { job, task }] of [...agent.runs]) {
			if (!held.has(key) && task.phase === 'inDoubt') {
				this._forgetRun(agent, job, task);
				this._release(job, task);
			}
		}
		if (stale.length > 0 && agent.linkId !== undefined) {
			this._host.send(agent.linkId, { kind: 'stopTasks', tasks: stale });
		}
	}

	private _forgetRun(agent: AgentRow, job: JobRow, task: TaskRow): void {
		if (agent.runs.delete(keyOf(job, task))) {
			agent.runCount -= 1;
		}
	}

	private _dropAgent(agent: AgentRow): void {
		if (agent.linkId !== undefined) {
			this._agentByLink.delete(agent.linkId);
		}
		if (this._agents.get(agent.agentId) === agent) {
			this._agents.delete(agent.agentId);
		}
	}
}

const emptySet: ReadonlySet<string> = new Set();

function keyOf(job: JobRow, task: TaskRow): string {
	return `${job.request.jobId}/${task.taskIndex}`;
}

/**
 * Place of a job among those that wait: the least first. Jobs of which tasks run already come first, since their work is
 * lost unless the rest of them runs too; then those that can still be in time, by the latest time at which they must
 * start and by their route's priority; what is late fills the room that is left.
 */
function orderOf(job: JobRow, nowMs: number): number {
	const { latestStartMs, request, hasStarted } = job;
	const lateMs = !hasStarted && latestStartMs < nowMs ? classStepMs : 0;
	const startedMs = hasStarted ? -classStepMs : 0;
	return latestStartMs + request.priority * priorityStepMs + lateMs + startedMs;
}

function toPlacement(request: JobRequest, excluded: ReadonlySet<string>): PlacementRequest {
	const { pool, needs, estimateMs, requiredLabel, preferredLabel, awayFactor } = request;
	return { pool, needs, estimateMs, requiredLabel, preferredLabel, awayFactor, excluded };
}
