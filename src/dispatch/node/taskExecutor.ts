/**
 * An agent's work: holds the lease of its worker, starts and stops runs there, and tells entries how they ended.
 *
 * Every run belongs to the entry that asked for it. When that entry can't be reached, its runs are stopped, so that a
 * caller who comes back to another entry never meets a second run.
 */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ILogService } from '../../services/log/common/log.js';
import {
	countFitting,
	addNeeds,
	taskKeyOf,
	type AgentReportMessage,
	type JobStart,
	type RefusalReason,
	type RunEnd,
	type StartTasksMessage,
	type StopTasksMessage,
	type TaskEndReport,
	type TaskRunRef,
	type WorkerState,
} from '../common/dispatchMessages.js';
import { EndCounts } from '../common/endCounts.js';
import { HeldRuns, type HeldRun } from '../common/heldRuns.js';
import { PaceMeter } from '../common/paceMeter.js';
import type {
	EndedTask,
	HoldAnswer,
	OrderRefusal,
	RunningTask,
	TaskWorker,
	WorkerAnnouncement,
} from '../common/taskWorker.js';

/** Time that the lease is renewed ahead; the worker allows 1 s at most, and a lost agent's runs go on for so long. */
export const leaseMs = 700;
/** Time by which a worker's clock may run late over a lease (2%), and a moment for the kill itself. */
const leaseSlackMs = 100;
/** Time that a hold waits for an end while tasks run; each answer tells their progress. */
const busyWaitMs = 60;
/** The same while nothing runs. */
const idleWaitMs = 300;
/** Holds without an answer, one after the other, from which the worker counts as silent. */
const silentHolds = 2;
/** Pause after an order without an answer. */
const retryPauseMs = 20;
/** Time that a lost entry has to connect again before its runs are stopped. */
export const orphanGraceMs = 250;
/** State-only news wait for others so long. */
const reportDelayMs = 6;
/** Step by which the fencing token is raised when the worker has seen a higher one. */
const fencingStep = 3600;
/** Starts that are tried again after the token or the clock was found wrong. */
const maxStartTries = 3;
/** Time after which nothing of an earlier life of this agent can run any more. */
const earlierLifeMs = 1300;
/** Time for which an announcement holds; workers renew it each 1.5 s. */
const announcementTtlMs = 6000;
/** Time for which a running task may be missing in the worker's lists before it counts as lost. */
const missingMs = 300;

/** How the executor reaches entries. */
export interface IExecutorHost {
	send(linkId: number, message: AgentReportMessage): void;
}

/** What an executor is started with. */
export interface ExecutorOptions {
	/** Where the worker takes orders, before it has announced itself. */
	readonly workerAddress: string;
	/** First fencing token; higher than that of any earlier life of the agent. */
	readonly fencingToken: number;
	readonly clock: IClock;
	readonly log: ILogService;
}

interface EntryLink {
	readonly linkId: number;
	readonly entryKey: string;
	handledSequence: number;
	ends: TaskEndReport[];
	isStateDue: boolean;
	isIntroduced: boolean;
}

/** Runs tasks at one worker. */
export class TaskExecutor extends Disposable {
	private readonly _runs = new HeldRuns();
	private readonly _pace = new PaceMeter();
	private readonly _ends = new EndCounts();
	private readonly _links = new Map<number, EntryLink>();
	private readonly _orphanTimers = new Map<string, NodeJS.Timeout>();
	private readonly _startedAtMs: number;
	private _worker: WorkerAnnouncement | undefined;
	private _announcedMs = -Infinity;
	/** Changes with each worker and each of its lives; what was begun before is void. */
	private _life = 0;
	private _bornAtMs: number | undefined;
	private _fencingToken: number;
	private _acknowledgedEnd = 0;
	/** Worker's clock less the own one. */
	private _clockOffsetMs: number | undefined;
	/** Own clock until which the worker's lease may hold. */
	private _leaseUntilMs = -Infinity;
	private _isClean = false;
	private _isResponding = false;
	private _unansweredHolds = 0;
	private _isDraining = false;
	private _reportTimer: NodeJS.Timeout | undefined;
	private _isReportSoon = false;

	constructor(
		private readonly _host: IExecutorHost,
		private readonly _taskWorker: TaskWorker,
		private readonly _options: ExecutorOptions,
	) {
		super();
		this._startedAtMs = _options.clock.nowMs();
		this._fencingToken = _options.fencingToken;
		this._register(
			toDisposable(() => {
				clearTimeout(this._reportTimer);
				for (const timer of this._orphanTimers.values()) {
					clearTimeout(timer);
				}
			}),
		);
		this._holdForever().catch((error: unknown) => {
			_options.log.error('worker.holdFailed', { message: describeError(error) });
		});
	}

	/** Runs that are held now. */
	get runCount(): number {
		return this._runs.size;
	}

	/** Counts for metrics. */
	levels(): Readonly<Record<string, number>> {
		const nowMs = this._nowMs();
		return {
			runs: this._runs.size,
			usedCpuMillis: this._runs.used.cpuMillis,
			capacityCpuMillis: this._worker?.capacity.cpuMillis ?? 0,
			speed: this._pace.speed,
			pace: this._pace.paceAt(nowMs) ?? -1,
			...this._ends.at(nowMs),
		};
	}

	/** Takes what the worker says of itself. */
	takeAnnouncement(announcement: WorkerAnnouncement): void {
		const known = this._worker;
		if (known?.workerId === announcement.workerId && known.bornAtMs === announcement.bornAtMs) {
			if (announcement.sequence <= known.sequence) {
				return;
			}
		} else if (known !== undefined && announcement.bornAtMs < known.bornAtMs) {
			// A late word of an earlier life.
			return;
		} else {
			this._beginLife(announcement);
		}
		if (announcement.isLeaving && known?.isLeaving !== true) {
			this._options.log.info('worker.leaving', {
				workerId: announcement.workerId,
				remainingMs: announcement.remainingMs,
				runs: this._runs.size,
			});
		}
		this._worker = announcement;
		this._announcedMs = this._nowMs();
		this._stateChanged();
	}

	/** Takes the worker's last word. Nothing runs there any more. */
	takeLeave(workerId: string): void {
		if (this._worker?.workerId !== workerId) {
			return;
		}
		this._options.log.info('worker.left', { workerId, runs: this._runs.size });
		this._loseWorker('left');
	}

	/** Takes a connection to an entry. */
	entryConnected(linkId: number, entryId: string, incarnation: string): void {
		const entryKey = `${entryId}/${incarnation}`;
		for (const run of this._runs.all) {
			if (run.entryKey !== entryKey && run.entryKey.startsWith(`${entryId}/`)) {
				this._stopRun(run, 'entryRestarted');
			}
		}
		clearTimeout(this._orphanTimers.get(entryKey));
		this._orphanTimers.delete(entryKey);
		const ends = [...this._runs.toldTo(entryKey, this._nowMs())];
		this._links.set(linkId, {
			linkId,
			entryKey,
			handledSequence: 0,
			ends,
			isStateDue: true,
			isIntroduced: false,
		});
		this._reportSoon();
	}

	/** Takes the loss of a connection to an entry. */
	entryLost(linkId: number): void {
		const link = this._links.get(linkId);
		this._links.delete(linkId);
		if (link === undefined || this._linkOf(link.entryKey) !== undefined) {
			return;
		}
		const { entryKey } = link;
		clearTimeout(this._orphanTimers.get(entryKey));
		this._orphanTimers.set(
			entryKey,
			setTimeout(() => {
				this._orphanTimers.delete(entryKey);
				const orphans = this._runs.runsOf(entryKey);
				if (orphans.length > 0) {
					this._options.log.warn('runs.orphaned', { entryKey, runs: orphans.length });
				}
				for (const run of orphans) {
					this._stopRun(run, 'entryLost');
				}
			}, orphanGraceMs),
		);
	}

	/** Starts what fits, and refuses the rest. */
	takeStarts(linkId: number, message: StartTasksMessage): void {
		const link = this._links.get(linkId);
		if (link === undefined) {
			return;
		}
		link.handledSequence = Math.max(link.handledSequence, message.sequence);
		for (const job of message.jobs) {
			for (const { taskIndex, run } of job.tasks) {
				this._takeStart(link, job, { jobId: job.jobId, taskIndex, run });
			}
		}
		this._stateChanged();
	}

	/** Stops runs. */
	takeStops(linkId: number, message: StopTasksMessage): void {
		const link = this._links.get(linkId);
		if (link === undefined) {
			return;
		}
		for (const task of message.tasks) {
			const run = this._runs.get(task);
			if (run?.run === task.run && run.entryKey === link.entryKey) {
				this._stopRun(run, 'asked');
			}
		}
	}

	/** Takes no new task, and resolves once nothing runs. */
	async drain(): Promise<void> {
		this._isDraining = true;
		this._stateChanged();
		while (this._runs.size > 0) {
			await new Promise((resolve) => setTimeout(resolve, 10));
		}
		this._flush();
	}

	private _takeStart(link: EntryLink, job: JobStart, task: TaskRunRef): void {
		const refusal = this._refusalOf(job, task);
		if (refusal !== undefined) {
			this._tell(link.entryKey, {
				...task,
				end: 'refused',
				reason: refusal,
				knownRun: this._runs.lastRunOf(task),
			});
			return;
		}
		const run: HeldRun = {
			...task,
			entryKey: link.entryKey,
			needs: job.needs,
			payload: job.payload,
			estimateMs: job.estimateMs,
			phase: 'starting',
			startedMs: this._nowMs(),
			percent: 0,
			stopConfirmedMs: undefined,
			missingSinceMs: undefined,
		};
		this._runs.add(run, this._nowMs());
		this._start(run).catch((error: unknown) => {
			this._options.log.error('run.startFailed', { jobId: run.jobId, message: describeError(error) });
		});
	}

	private _refusalOf(job: JobStart, task: TaskRunRef): RefusalReason | undefined {
		const worker = this._worker;
		if (worker?.pool !== job.pool || !this._isAccepting()) {
			return 'notAccepting';
		}
		if (this._runs.lastRunOf(task) >= task.run) {
			return 'olderRun';
		}
		const held = this._runs.get(task);
		if (held !== undefined) {
			// An earlier run of the task, of this entry or of another one, has to end first.
			this._stopRun(held, 'replaced');
			return 'noRoom';
		}
		const free = addNeeds(worker.capacity, this._runs.used, -1);
		return countFitting(job.needs, free) > 0 ? undefined : 'noRoom';
	}

	private async _start(run: HeldRun): Promise<void> {
		const life = this._life;
		for (let tries = 1; tries <= maxStartTries; tries += 1) {
			const leaseUntilMs = this._renewedLeaseMs();
			const { jobId, taskIndex, payload } = run;
			const order = { ...this._orderContext(), jobId, taskIndex, run: run.run, payload, leaseUntilMs };
			const answer = await this._taskWorker.start(order);
			if (life !== this._life || this._runs.get(run) !== run) {
				return;
			}
			if (answer.kind === 'started') {
				if (run.phase === 'starting') {
					run.phase = 'running';
					run.startedMs = this._nowMs();
				}
				return;
			}
			if (answer.kind === 'unanswered') {
				if (run.phase === 'starting') {
					this._options.log.warn('run.startUnanswered', { jobId, taskIndex, message: answer.message });
					this._stopRun(run, 'startUnanswered');
				}
				// Otherwise the worker lists the run already: only the answer was lost.
				return;
			}
			if (!this._isWorthRetry(answer.reason) || tries === maxStartTries) {
				this._refuse(run, answer.reason);
				return;
			}
		}
	}

	/** Whether another try can succeed after a wrong token or a wrong guess of the worker's clock. */
	private _isWorthRetry(reason: OrderRefusal): boolean {
		if (reason === 'fenced') {
			this._raiseToken();
			return true;
		}
		return reason === 'leasePast';
	}

	private _refuse(run: HeldRun, reason: OrderRefusal): void {
		const { jobId, taskIndex } = run;
		this._options.log.info('run.refused', { jobId, taskIndex, reason });
		if (reason === 'unhealthy') {
			this._ends.noteFailed(jobId, this._nowMs());
		}
		this._remove(run);
		const told: RefusalReason =
			reason === 'noRoom' || reason === 'olderRun' || reason === 'unhealthy' || reason === 'invalid'
				? reason
				: 'notAccepting';
		this._tell(run.entryKey, {
			jobId,
			taskIndex,
			run: run.run,
			end: 'refused',
			reason: told,
			knownRun: run.run,
		});
		if (reason === 'otherWorker') {
			this._loseWorker('otherWorker');
		}
	}

	private _stopRun(run: HeldRun, cause: string): void {
		if (run.phase === 'stopping') {
			return;
		}
		const wasStarting = run.phase === 'starting';
		run.phase = 'stopping';
		const { jobId, taskIndex } = run;
		this._options.log.info('run.stopping', { jobId, taskIndex, run: run.run, cause, wasStarting });
		this._stop(run).catch((error: unknown) => {
			this._options.log.error('run.stopFailed', { jobId, message: describeError(error) });
		});
	}

	private async _stop(run: HeldRun): Promise<void> {
		const life = this._life;
		const { jobId, taskIndex } = run;
		while (!this._isDisposed && life === this._life && this._runs.get(run) === run) {
			const answer = await this._taskWorker.stop({
				...this._orderContext(),
				jobId,
				taskIndex,
				run: run.run,
			});
			if (answer.kind === 'stopped') {
				run.stopConfirmedMs = this._nowMs();
				return;
			}
			if (answer.kind === 'refused' && answer.reason === 'fenced') {
				this._raiseToken();
				continue;
			}
			if (answer.kind === 'refused' && answer.reason === 'otherWorker' && life === this._life) {
				this._loseWorker('otherWorker');
				return;
			}
			await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
		}
	}

	/** Renews the lease and takes the worker's lists, one call after the other. */
	private async _holdForever(): Promise<void> {
		while (!this._isDisposed) {
			const life = this._life;
			const isBusy = this._runs.size > 0;
			const sentMs = this._nowMs();
			const leaseUntilMs = isBusy && this._clockOffsetMs !== undefined ? this._renewedLeaseMs() : undefined;
			const answer = await this._taskWorker.hold({
				...this._orderContext(),
				leaseUntilMs,
				acknowledgedEnd: this._acknowledgedEnd,
				waitMs: this._clockOffsetMs === undefined ? 0 : isBusy ? busyWaitMs : idleWaitMs,
			});
			if (life === this._life) {
				await this._takeHold(answer, sentMs);
			}
		}
	}

	private async _takeHold(answer: HoldAnswer, sentMs: number): Promise<void> {
		const nowMs = this._nowMs();
		if (answer.kind === 'held') {
			this._unansweredHolds = 0;
			this._noteResponding(true, '');
			if (this._isOtherLife(answer.bornAtMs)) {
				this._loseWorker('reborn');
				return;
			}
			this._clockOffsetMs = answer.clockMs - nowMs;
			for (const end of answer.ended) {
				this._takeEnd(end);
			}
			this._takeRunning(answer.running, sentMs, answer.ended.length === 0);
			return;
		}
		if (answer.kind === 'refused') {
			if (answer.reason === 'fenced') {
				this._raiseToken();
				return;
			}
			if (answer.reason === 'otherWorker') {
				this._loseWorker('otherWorker');
			}
			await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
			return;
		}
		this._unansweredHolds += 1;
		if (this._unansweredHolds >= silentHolds) {
			this._noteResponding(false, answer.message);
		}
		if (nowMs > this._leaseUntilMs + leaseSlackMs) {
			this._endAll('lost');
			this._isClean ||= nowMs - this._startedAtMs > earlierLifeMs;
		}
		await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
	}

	private _isOtherLife(bornAtMs: number | undefined): boolean {
		if (bornAtMs === undefined) {
			return false;
		}
		const known = this._worker?.bornAtMs ?? this._bornAtMs;
		this._bornAtMs = bornAtMs;
		return known !== undefined && known !== bornAtMs;
	}

	private _takeEnd(end: EndedTask): void {
		if (end.number <= this._acknowledgedEnd) {
			return;
		}
		this._acknowledgedEnd = end.number;
		const run = this._runs.get(end);
		if (run?.run !== end.run) {
			return;
		}
		const nowMs = this._nowMs();
		const key = taskKeyOf(run);
		if (end.end === 'done') {
			this._ends.noteDone(nowMs);
			this._pace.noteDone(key, run.estimateMs, nowMs - run.startedMs);
		} else {
			this._pace.forget(key);
		}
		if (end.end === 'failed') {
			this._ends.noteFailed(run.jobId, nowMs);
		}
		this._endRun(run, end.end);
	}

	private _takeRunning(running: readonly RunningTask[], sentMs: number, areEndsWhole: boolean): void {
		const nowMs = this._nowMs();
		const listed = new Set<string>();
		let strangers = 0;
		for (const task of running) {
			const run = this._runs.get(task);
			if (run?.run !== task.run) {
				strangers += 1;
				this._stopStranger(task);
				continue;
			}
			listed.add(taskKeyOf(run));
			run.missingSinceMs = undefined;
			if (run.phase === 'starting') {
				run.phase = 'running';
				run.startedMs = nowMs;
			}
			run.percent = task.percent;
			this._pace.observe(taskKeyOf(run), task.percent, run.estimateMs, nowMs);
		}
		this._isClean ||= strangers === 0;
		for (const run of this._runs.all) {
			if (!listed.has(taskKeyOf(run)) && areEndsWhole) {
				this._noteMissing(run, sentMs, nowMs);
			}
		}
		this._stateChanged();
	}

	/** A run that the worker lists neither as running nor as ended. */
	private _noteMissing(run: HeldRun, sentMs: number, nowMs: number): void {
		if (run.phase === 'starting') {
			return;
		}
		if (run.phase === 'stopping') {
			// The list was made after the stop was confirmed: the run never began, or its end was listed before.
			if (run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= sentMs) {
				this._endRun(run, 'stopped');
			}
			return;
		}
		run.missingSinceMs ??= nowMs;
		if (nowMs - run.missingSinceMs > missingMs) {
			this._options.log.warn('run.vanished', { jobId: run.jobId, taskIndex: run.taskIndex });
			this._endRun(run, 'lost');
		}
	}

	/** Stops a run of an earlier life of this agent; nobody waits for it. */
	private _stopStranger(task: TaskRunRef): void {
		this._options.log.warn('run.strange', { jobId: task.jobId, taskIndex: task.taskIndex, run: task.run });
		const { jobId, taskIndex, run } = task;
		this._taskWorker.stop({ ...this._orderContext(), jobId, taskIndex, run }).then(
			(answer) => {
				if (answer.kind === 'refused' && answer.reason === 'fenced') {
					this._raiseToken();
				}
			},
			(error: unknown) => {
				this._options.log.error('run.stopFailed', { jobId, message: describeError(error) });
			},
		);
	}

	private _endRun(run: HeldRun, end: RunEnd): void {
		this._remove(run);
		const { jobId, taskIndex } = run;
		this._tell(run.entryKey, { jobId, taskIndex, run: run.run, end });
	}

	private _endAll(end: RunEnd): void {
		for (const run of this._runs.all) {
			this._endRun(run, end);
		}
	}

	private _remove(run: HeldRun): void {
		this._runs.remove(run);
		this._pace.forget(taskKeyOf(run));
		this._stateChanged();
	}

	private _beginLife(announcement: WorkerAnnouncement): void {
		const { workerId, pool, address, bornAtMs, capacity, labels } = announcement;
		const isFirst = this._worker === undefined && this._life === 0;
		if (!isFirst || (this._bornAtMs !== undefined && this._bornAtMs !== bornAtMs)) {
			this._loseWorker('reborn');
		}
		this._bornAtMs = bornAtMs;
		this._options.log.info('worker.announced', {
			workerId,
			pool,
			address,
			bornAtMs,
			cpuMillis: capacity.cpuMillis,
			labels,
		});
	}

	/** Forgets the worker; it must announce itself again. Its runs ended with it. */
	private _loseWorker(cause: 'left' | 'otherWorker' | 'reborn'): void {
		this._options.log.warn('worker.lost', { workerId: this._worker?.workerId, cause, runs: this._runs.size });
		this._life += 1;
		this._worker = undefined;
		this._bornAtMs = undefined;
		this._acknowledgedEnd = 0;
		this._clockOffsetMs = undefined;
		this._leaseUntilMs = -Infinity;
		this._pace.clear();
		this._ends.clear();
		this._endAll('lost');
		this._stateChanged();
	}

	private _noteResponding(isResponding: boolean, message: string): void {
		if (this._isResponding === isResponding) {
			return;
		}
		this._isResponding = isResponding;
		this._options.log[isResponding ? 'info' : 'warn'](isResponding ? 'worker.responding' : 'worker.silent', {
			workerId: this._worker?.workerId,
			message,
			runs: this._runs.size,
		});
		this._stateChanged();
	}

	private _raiseToken(): void {
		this._fencingToken += fencingStep;
		this._options.log.warn('worker.tokenRaised', { fencingToken: this._fencingToken });
	}

	private _orderContext(): { address: string; workerId: string | undefined; fencingToken: number } {
		return {
			address: this._worker?.address ?? this._options.workerAddress,
			workerId: this._worker?.workerId,
			fencingToken: this._fencingToken,
		};
	}

	/** End of a renewed lease, on the worker's clock. */
	private _renewedLeaseMs(): number {
		const nowMs = this._nowMs();
		this._leaseUntilMs = nowMs + leaseMs;
		return Math.floor(nowMs + (this._clockOffsetMs ?? 0) + leaseMs);
	}

	private _isAccepting(): boolean {
		return (
			this._worker !== undefined &&
			!this._worker.isLeaving &&
			!this._isDraining &&
			this._isClean &&
			this._isResponding &&
			this._clockOffsetMs !== undefined &&
			this._nowMs() - this._announcedMs < announcementTtlMs
		);
	}

	private _linkOf(entryKey: string): EntryLink | undefined {
		for (const link of this._links.values()) {
			if (link.entryKey === entryKey) {
				return link;
			}
		}
		return undefined;
	}

	private _tell(entryKey: string, report: TaskEndReport): void {
		this._runs.noteTold(entryKey, report, this._nowMs());
		this._linkOf(entryKey)?.ends.push(report);
		this._reportSoon();
	}

	private _stateChanged(): void {
		for (const link of this._links.values()) {
			link.isStateDue = true;
		}
		this._reportTimer ??= setTimeout(() => {
			this._reportTimer = undefined;
			this._flush();
		}, reportDelayMs);
	}

	private _reportSoon(): void {
		if (this._isReportSoon) {
			return;
		}
		this._isReportSoon = true;
		setImmediate(() => {
			this._isReportSoon = false;
			this._flushEnds();
		});
	}

	private _flushEnds(): void {
		const state = this._state();
		for (const link of this._links.values()) {
			if (link.ends.length > 0 || !link.isIntroduced) {
				this._report(link, state);
			}
		}
	}

	private _flush(): void {
		const state = this._state();
		for (const link of this._links.values()) {
			if (link.isStateDue || link.ends.length > 0) {
				this._report(link, state);
			}
		}
	}

	private _report(link: EntryLink, state: WorkerState | undefined): void {
		const { linkId, handledSequence, ends, entryKey } = link;
		const heldRuns = link.isIntroduced
			? undefined
			: this._runs.runsOf(entryKey).map(({ jobId, taskIndex, run }) => ({ jobId, taskIndex, run }));
		link.isIntroduced = true;
		link.isStateDue = false;
		link.ends = [];
		this._host.send(linkId, {
			kind: 'agentReport',
			handledSequence,
			ends,
			...(state === undefined ? {} : { state }),
			...(heldRuns === undefined ? {} : { heldRuns }),
		});
	}

	private _state(): WorkerState | undefined {
		const worker = this._worker;
		if (worker === undefined || !this._isClean) {
			return undefined;
		}
		const nowMs = this._nowMs();
		const pace = this._pace.paceAt(nowMs);
		return {
			workerId: worker.workerId,
			dataCentre: worker.dataCentre,
			pool: worker.pool,
			labels: worker.labels,
			capacity: worker.capacity,
			used: this._runs.used,
			isAccepting: this._isAccepting(),
			speed: this._pace.speed,
			pace,
			...this._ends.at(nowMs),
			laggards: this._laggards(worker, pace ?? 1, nowMs),
		};
	}

	/** Runs that would end sooner if they were started anew elsewhere, by the worker's pace or by its leaving. */
	private _laggards(worker: WorkerAnnouncement, pace: number, nowMs: number): readonly TaskRunRef[] {
		const leavesInMs = worker.isLeaving
			? (worker.remainingMs ?? Infinity) - (nowMs - this._announcedMs)
			: Infinity;
		if (pace > 0.8 && leavesInMs === Infinity) {
			return [];
		}
		return this._runs.all
			.filter(({ phase, percent, estimateMs }) => {
				const remainingMs = ((1 - percent / 100) * estimateMs) / Math.max(pace, 0.01);
				return phase === 'running' && (remainingMs > 1.2 * estimateMs || remainingMs > leavesInMs);
			})
			.map(({ jobId, taskIndex, run }) => ({ jobId, taskIndex, run }));
	}

	private _nowMs(): number {
		return this._options.clock.nowMs();
	}
}
