/**
 * An agent's work: holds the lease of its worker, starts and stops runs there, and tells entries how they ended.
 *
 * Every run belongs to the entry that asked for it. When that entry can't be reached, its runs are stopped, so that a
 * caller who comes back to another entry never meets a second run.
 */

import type { IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ILogService } from '../../services/log/common/log.js';
import {
	countFitting,
	addNeeds,
	runRefOf,
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
import { findLaggards } from '../common/laggards.js';
import { createHeldRun, HeldRuns, judgeMissing, type HeldRun } from '../common/heldRuns.js';
import { KnownWorker } from '../common/knownWorker.js';
import { PaceMeter } from '../common/paceMeter.js';
import {
	toRefusalReason,
	type EndedTask,
	type OrderContext,
	type OrderRefusal,
	type RunningTask,
	type TaskWorker,
	type WorkerAnnouncement,
} from '../common/taskWorker.js';
import { WorkerLease } from '../common/workerLease.js';
import { EntryReports } from './entryReports.js';
import { HoldLoop, type HeldLists, type HoldState, type IHoldHost } from './holdLoop.js';
import { OrphanWatch } from './orphanWatch.js';
import { RunOrders } from './runOrders.js';

/** Time after which nothing of an earlier life of this agent can run any more. */
const earlierLifeMs = 1300;
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
	/** What to expect of the worker until it announces itself; nothing when absent. */
	readonly presumed?: WorkerAnnouncement | undefined;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Runs tasks at one worker. */
export class TaskExecutor extends Disposable implements IHoldHost {
	private readonly _runs = new HeldRuns();
	private readonly _pace = new PaceMeter();
	private readonly _ends = new EndCounts();
	private readonly _reports: EntryReports;
	private readonly _lease: WorkerLease;
	private readonly _orders: RunOrders;
	private readonly _holds: HoldLoop;
	private readonly _orphans = this._register(new OrphanWatch());
	private readonly _startedAtMs: number;
	private readonly _worker = new KnownWorker();
	private _acknowledgedEnd = 0;
	private _isClean = false;
	private _isDraining = false;

	constructor(
		_host: IExecutorHost,
		_taskWorker: TaskWorker,
		private readonly _options: ExecutorOptions,
	) {
		super();
		this._startedAtMs = _options.clock.nowMs();
		this._lease = new WorkerLease(_options.fencingToken);
		this._orders = new RunOrders({
			taskWorker: _taskWorker,
			lease: this._lease,
			context: () => this.orderContext(),
			clock: _options.clock,
			log: _options.log,
		});
		this._reports = this._register(
			new EntryReports(
				{
					state: () => this._state(),
					heldRunsOf: (entryKey) => this._runs.runsOf(entryKey).map(runRefOf),
					send: _host.send.bind(_host),
				},
				_options.clock,
			),
		);
		this._register(
			this._orphans.onDidGiveUp((entryKey) => {
				this._stopOrphans(entryKey);
			}),
		);
		this._holds = this._register(
			new HoldLoop(this, { ..._options, taskWorker: _taskWorker, lease: this._lease }),
		);
		if (_options.presumed !== undefined) {
			this._worker.presume(_options.presumed, this._startedAtMs);
		}
		this._holds.start();
	}

	holdState(): HoldState {
		const { life } = this._worker;
		return { isBusy: this._runs.size > 0, life, acknowledgedEnd: this._acknowledgedEnd };
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
			speed: this._pace.speed,
			pace: this._pace.paceAt(nowMs) ?? -1,
			...this._ends.at(nowMs),
		};
	}

	/** Takes what the worker says of itself. */
	takeAnnouncement(announcement: WorkerAnnouncement): void {
		const news = this._worker.judge(announcement);
		if (news === 'late') {
			return;
		}
		if (news === 'newLife') {
			this._loseWorker('reborn');
		}
		this._logAnnouncement(announcement);
		this._worker.take(announcement, this._nowMs());
		this._stateChanged();
	}

	private _logAnnouncement(announcement: WorkerAnnouncement): void {
		const { workerId, pool, address, bornAtMs, capacity, labels, isLeaving, remainingMs } = announcement;
		const known = this._worker.announcement;
		if (this._worker.workerId === undefined) {
			const { cpuMillis } = capacity;
			this._options.log.info('worker.announced', { workerId, pool, address, bornAtMs, cpuMillis, labels });
		}
		if (isLeaving && known?.isLeaving !== true) {
			this._options.log.info('worker.leaving', { workerId, remainingMs, runs: this._runs.size });
		}
	}

	/** Takes the worker's last word. Nothing runs there any more. */
	takeLeave(workerId: string): void {
		if (this._worker.announcement?.workerId !== workerId) {
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
		this._orphans.returned(entryKey);
		this._reports.open(linkId, entryKey, this._runs.toldTo(entryKey, this._nowMs()));
	}

	/** Takes the loss of a connection to an entry. */
	entryLost(linkId: number): void {
		const entryKey = this._reports.close(linkId);
		if (entryKey !== undefined) {
			this._orphans.lost(entryKey);
		}
	}

	/** Starts what fits, and refuses the rest. */
	takeStarts(linkId: number, message: StartTasksMessage): void {
		const entryKey = this._reports.entryKeyOf(linkId);
		if (entryKey === undefined) {
			return;
		}
		this._reports.noteHandled(linkId, message.sequence);
		for (const job of message.jobs) {
			for (const { taskIndex, run } of job.tasks) {
				this._takeStart(entryKey, job, { jobId: job.jobId, taskIndex, run });
			}
		}
		this._stateChanged();
	}

	/** Stops runs. */
	takeStops(linkId: number, message: StopTasksMessage): void {
		const entryKey = this._reports.entryKeyOf(linkId);
		for (const task of message.tasks) {
			const run = this._runs.get(task);
			if (run?.run === task.run && run.entryKey === entryKey) {
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
		this._reports.flush();
	}

	private _stopOrphans(entryKey: string): void {
		const orphans = this._runs.runsOf(entryKey);
		if (orphans.length > 0) {
			this._options.log.warn('runs.orphaned', { entryKey, runs: orphans.length });
		}
		for (const run of orphans) {
			this._stopRun(run, 'entryLost');
		}
	}

	private _takeStart(entryKey: string, job: JobStart, task: TaskRunRef): void {
		const refusal = this._refusalOf(job, task);
		if (refusal !== undefined) {
			this._tell(entryKey, {
				...task,
				end: 'refused',
				reason: refusal,
				knownRun: this._runs.lastRunOf(task),
			});
			return;
		}
		const run = createHeldRun(task, job, entryKey, this._nowMs());
		this._runs.add(run, this._nowMs());
		this._start(run).catch((error: unknown) => {
			this._options.log.error('run.startFailed', { jobId: run.jobId, message: describeError(error) });
		});
	}

	private _refusalOf(job: JobStart, task: TaskRunRef): RefusalReason | undefined {
		const worker = this._worker.announcement;
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
		const result = await this._orders.start(run, run.payload, this._isCurrent(run));
		switch (result.kind) {
			case 'started':
				this._noteRunning(run);
				return;
			case 'unanswered':
				// A run that the worker lists already has started, and only the answer was lost.
				if (run.phase === 'starting') {
					const { jobId, taskIndex } = run;
					this._options.log.warn('run.startUnanswered', { jobId, taskIndex, message: result.message });
					this._stopRun(run, 'startUnanswered');
				}
				return;
			case 'refused':
				this._refuse(run, result.reason);
				return;
			case 'void':
				return;
		}
	}

	/** Tells whether a run is still held, at the same life of the worker. */
	private _isCurrent(run: HeldRun): () => boolean {
		const { life } = this._worker;
		return () => !this._isDisposed && life === this._worker.life && this._runs.get(run) === run;
	}

	private _noteRunning(run: HeldRun): void {
		if (run.phase === 'starting') {
			run.phase = 'running';
			run.startedMs = this._nowMs();
		}
	}

	private _refuse(run: HeldRun, reason: OrderRefusal): void {
		const { jobId, taskIndex } = run;
		this._options.log.info('run.refused', { jobId, taskIndex, reason });
		if (reason === 'unhealthy') {
			this._ends.noteFailed(jobId, this._nowMs());
		}
		this._remove(run);
		this._tell(run.entryKey, {
			...runRefOf(run),
			end: 'refused',
			reason: toRefusalReason(reason),
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
		this._options.log.info('run.stopping', { ...runRefOf(run), cause, wasStarting });
		this._stop(run).catch((error: unknown) => {
			this._options.log.error('run.stopFailed', { ...runRefOf(run), message: describeError(error) });
		});
	}

	private async _stop(run: HeldRun): Promise<void> {
		const result = await this._orders.stop(run, this._isCurrent(run));
		if (result === 'confirmed') {
			run.stopConfirmedMs = this._nowMs();
		}
		if (result === 'otherWorker') {
			this._loseWorker('otherWorker');
		}
	}

	/** Takes what the worker lists. */
	takeLists({ bornAtMs, clockMs, ended, areEndsWhole, running }: HeldLists, sentMs: number): void {
		if (this._worker.isOtherLife(bornAtMs)) {
			this._loseWorker('reborn');
			return;
		}
		this._lease.noteClock(clockMs, this._nowMs());
		for (const end of ended) {
			this._takeEnd(end);
		}
		this._takeRunning(running, sentMs, areEndsWhole);
	}

	workerReplaced(): void {
		this._loseWorker('otherWorker');
	}

	tokenRefused(): void {
		this._orders.raiseToken();
	}

	leaseLapsed(): void {
		this._endAll('lost');
		this._isClean ||= this._nowMs() - this._startedAtMs > earlierLifeMs;
	}

	respondingChanged(isResponding: boolean, message: string): void {
		const fields = { workerId: this._worker.announcement?.workerId, message, runs: this._runs.size };
		const event = isResponding ? 'worker.responding' : 'worker.silent';
		this._options.log[isResponding ? 'info' : 'warn'](event, fields);
		this._stateChanged();
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
				this._orders.stopStranger(task);
				continue;
			}
			listed.add(taskKeyOf(run));
			run.missingSinceMs = undefined;
			this._noteRunning(run);
			run.percent = task.percent;
			this._pace.observe(taskKeyOf(run), task.percent, run.estimateMs, nowMs);
		}
		this._isClean ||= strangers === 0;
		for (const run of this._runs.all) {
			if (!listed.has(taskKeyOf(run)) && areEndsWhole) {
				const end = judgeMissing(run, sentMs, nowMs);
				if (end !== undefined) {
					this._endRun(run, end);
				}
			}
		}
		this._stateChanged();
	}

	private _endRun(run: HeldRun, end: RunEnd): void {
		this._remove(run);
		this._tell(run.entryKey, { ...runRefOf(run), end });
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

	/** Forgets the worker; it must announce itself again. Its runs ended with it. */
	private _loseWorker(cause: 'left' | 'otherWorker' | 'reborn'): void {
		const workerId = this._worker.announcement?.workerId;
		this._options.log.warn('worker.lost', { workerId, cause, runs: this._runs.size });
		this._worker.lose();
		this._acknowledgedEnd = 0;
		this._lease.reset();
		this._pace.clear();
		this._ends.clear();
		this._endAll('lost');
		this._stateChanged();
	}

	orderContext(): OrderContext {
		return {
			address: this._worker.announcement?.address ?? this._options.workerAddress,
			workerId: this._worker.workerId,
			fencingToken: this._lease.fencingToken,
		};
	}

	private _isAccepting(): boolean {
		return (
			this._worker.isReady(this._nowMs()) &&
			!this._isDraining &&
			this._isClean &&
			this._holds.isResponding &&
			this._lease.isClockKnown
		);
	}

	private _tell(entryKey: string, report: TaskEndReport): void {
		this._runs.noteTold(entryKey, report, this._nowMs());
		this._reports.tell(entryKey, report);
	}

	private _stateChanged(): void {
		this._reports.stateChanged();
	}

	private _state(): WorkerState | undefined {
		const worker = this._worker.announcement;
		if (worker === undefined || !this._isClean) {
			return undefined;
		}
		const nowMs = this._nowMs();
		const pace = this._pace.paceAt(nowMs);
		const { workerId, dataCentre, pool, labels, capacity } = worker;
		return {
			...{ workerId, dataCentre, pool, labels, capacity },
			...this._ends.at(nowMs),
			isCapacityGuessed: this._worker.workerId === undefined,
			used: this._runs.used,
			isAccepting: this._isAccepting(),
			speed: this._pace.speed,
			pace,
			laggards: findLaggards(this._runs.all, pace ?? 1, this._worker.leavesInMs(nowMs)),
		};
	}

	private _nowMs(): number {
		return this._options.clock.nowMs();
	}
}
