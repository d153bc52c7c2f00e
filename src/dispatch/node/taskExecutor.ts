/**
 * Executor of an agent: holds the lease of its worker, starts and stops runs there, and reports their ends to entries.
 *
 * Every run belongs to the entry that requested it. When that entry can't be reached, its runs are stopped, so that a
 * caller who retries at another entry never causes a second concurrent run.
 */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import {
	describeRun,
	toStartRef,
	getTaskKey,
	isSameStart,
	type JobStart,
	type RefusalReason,
	type StartTasksMessage,
	type StopTasksMessage,
	type TaskStartRef,
	type WorkerState,
	type WorkerTime,
} from '../common/dispatchMessages.js';
import { logAnnouncement } from '../common/announcementLog.js';
import { AnnouncementVerifier, type AcceptedAnnouncement } from './announcementVerifier.js';
import { createHeldRun, type HeldRun, type HeldRuns } from '../common/heldRuns.js';
import { KnownWorker } from '../common/knownWorker.js';
import {
	toRefusalReason,
	type EndedTask,
	type OrderContext,
	type OrderRefusalReason,
	type RunningTask,
	type TaskWorker,
	type WorkerAnnouncement,
} from '../common/taskWorker.js';
import { findRefusalReason } from '../common/startRefusal.js';
import { WorkerLease } from '../common/workerLease.js';
import { EntryReporter } from './entryReporter.js';
import { WorkerPoller, type RunLists, type PollState, type IWorkerPollerHost } from './workerPoller.js';
import { createWorkerState } from '../common/workerStateReport.js';
import { CrashReporter } from './crashReporter.js';
import type { ExecutorOptions, IExecutorHost } from './executorOptions.js';
import { LostEntryMonitor } from './lostEntryMonitor.js';
import { RunOrderSender } from './runOrderSender.js';
import { RefusedStarts } from './refusedStarts.js';
import { RestartResolver } from './restartResolver.js';
import { RunRecords } from './runRecords.js';
import { RunStopper } from './runStopper.js';

/** Time since the start after which no run of an earlier incarnation of this agent can remain. */
const earlierRunsExpiryMs = 1300;

/** Runs tasks on one worker. */
export class TaskExecutor extends Disposable implements IWorkerPollerHost {
	private readonly _records: RunRecords;
	private readonly _runs: HeldRuns;
	private readonly _crashes: CrashReporter;
	private readonly _reporter: EntryReporter;
	private readonly _lease: WorkerLease;
	private readonly _orderSender: RunOrderSender;
	private readonly _stopper: RunStopper;
	private readonly _restartResolver: RestartResolver;
	private readonly _refusedStarts: RefusedStarts;
	private readonly _poller: WorkerPoller;
	private readonly _verifier: AnnouncementVerifier;
	private readonly _lostEntries = this._register(new LostEntryMonitor());
	private readonly _executorStartedMs: number;
	private readonly _worker = new KnownWorker();
	private _acknowledgedEnd = 0;
	private _areEarlierRunsGone = false;
	/** Whether the worker lists runs that this agent does not hold; it stops them. */
	private _hasUnknownRuns = false;
	private _isDraining = false;

	constructor(
		_host: IExecutorHost,
		_taskWorker: TaskWorker,
		private readonly _options: ExecutorOptions,
	) {
		super();
		this._executorStartedMs = _options.clock.nowMs();
		this._lease = new WorkerLease(_options.fencingToken);
		this._orderSender = new RunOrderSender({
			taskWorker: _taskWorker,
			lease: this._lease,
			getContext: () => this.getOrderContext(),
			clock: _options.clock,
			log: _options.log,
		});
		this._reporter = this._register(
			new EntryReporter(
				{
					getWorkerState: () => this._getWorkerState(),
					getHeldRuns: (entryKey) => this._records.getStartsOfEntry(entryKey),
					send: _host.send.bind(_host),
				},
				_options.clock,
			),
		);
		this._register(
			this._lostEntries.onDidExpire((entryKey) => {
				this._stopOrphanedRuns(entryKey);
			}),
		);
		this._records = new RunRecords(this._reporter, _options.clock);
		this._runs = this._records.runs;
		this._crashes = new CrashReporter({
			..._options,
			worker: this._worker,
			runs: this._runs,
			reporter: this._reporter,
		});
		this._stopper = new RunStopper({
			orderSender: this._orderSender,
			createCurrentCheck: this._createCurrentCheck.bind(this),
			handleOtherWorker: this.handleWorkerReplaced.bind(this),
			clock: _options.clock,
			log: _options.log,
		});
		this._restartResolver = new RestartResolver(this._records, this._stopper, _options.log);
		this._refusedStarts = new RefusedStarts(this._records, this._stopper, _options.log);
		this._poller = this._register(
			new WorkerPoller(this, { ..._options, taskWorker: _taskWorker, lease: this._lease }),
		);
		this._verifier = this._register(
			new AnnouncementVerifier({
				..._options,
				worker: this._worker,
				taskWorker: _taskWorker,
				getContext: () => this.getOrderContext(),
				raiseToken: () => {
					this._orderSender.raiseToken();
				},
			}),
		);
		this._register(
			this._verifier.onDidAccept((accepted) => {
				this._acceptAnnouncement(accepted);
			}),
		);
		if (_options.presumedWorker !== undefined) {
			this._worker.setPresumedAnnouncement(_options.presumedWorker, this._executorStartedMs);
		}
		this._poller.start();
	}

	getPollState(): PollState {
		const { incarnation } = this._worker;
		return { hasRuns: this._runs.size > 0, incarnation, acknowledgedEnd: this._acknowledgedEnd };
	}

	/** Number of runs that are held at present. */
	get runCount(): number {
		return this._runs.size;
	}

	/** Returns the current values of the metrics; a pace of -1 means unknown. */
	metrics(): Readonly<Record<string, number>> {
		const nowMs = this._nowMs();
		return {
			runs: this._runs.size,
			workerCrashes: this._crashes.count,
			speed: this._records.paceMeter.speed,
			pace: this._records.paceMeter.getPace(nowMs) ?? -1,
			...this._records.endCounts.getCounts(nowMs),
		};
	}

	/** Handles an announcement that the worker, or someone else, has sent. */
	handleAnnouncement(announcement: WorkerAnnouncement): void {
		this._verifier.handle(announcement);
	}

	private _acceptAnnouncement({ announcement, isNewLife }: AcceptedAnnouncement): void {
		if (isNewLife) {
			this._forgetWorker('reborn');
		}
		logAnnouncement(this._options.log, this._worker, announcement, this._runs.size);
		this._worker.setAnnouncement(announcement, this._nowMs());
		this._scheduleStateReports();
	}

	/**
	 * Handles the final message of a worker that leaves. Its runs have ended once it refuses connections, or once its lease has
	 * lapsed: an answer may be lost while it still runs.
	 */
	handleWorkerLeft(workerId: string): void {
		if (this._worker.announcement?.workerId !== workerId) {
			return;
		}
		this._options.log.info('worker.left', { workerId, runs: this._runs.size });
		this._worker.markLeft();
		this._scheduleStateReports();
	}

	/** Handles a new connection to an entry. Stops the runs of earlier incarnations of the entry. */
	handleEntryConnected(connectionId: number, entryId: string, incarnation: string): void {
		const entryKey = `${entryId}/${incarnation}`;
		for (const run of this._runs.all) {
			if (run.entryKey !== entryKey && run.entryKey.startsWith(`${entryId}/`)) {
				this._stopper.stop(run, 'entryRestarted');
			}
		}
		this._lostEntries.handleConnected(entryKey);
		const nowMs = this._nowMs();
		const missedEnds = this._runs.getRecentEnds(entryKey, nowMs);
		this._reporter.addConnection(connectionId, entryKey, missedEnds, this._crashes.getAll());
	}

	/**
	 * Handles the loss of a connection to an entry.
	 *
	 * @param silenceMs time since the last byte from the entry
	 */
	handleEntryLost(connectionId: number, silenceMs: number): void {
		const entryKey = this._reporter.removeConnection(connectionId);
		if (entryKey !== undefined) {
			this._lostEntries.handleLost(entryKey, silenceMs);
		}
	}

	/** Starts the tasks that fit, and refuses the others. */
	handleStartTasks(connectionId: number, message: StartTasksMessage): void {
		const entryKey = this._reporter.getEntryKey(connectionId);
		if (entryKey === undefined) {
			return;
		}
		this._reporter.recordHandledSequence(connectionId, message.sequence);
		for (const job of message.jobs) {
			for (const task of job.tasks) {
				this._handleStart(entryKey, job, { jobId: job.jobId, ...task }, message.sentAt);
			}
		}
		this._scheduleStateReports();
	}

	/** Stops the given runs that belong to the entry of the connection. */
	handleStopTasks(connectionId: number, message: StopTasksMessage): void {
		const entryKey = this._reporter.getEntryKey(connectionId);
		for (const task of message.tasks) {
			const run = this._runs.get(task);
			if (run !== undefined && run.entryKey === entryKey && isSameStart(run, task)) {
				this._stopper.stop(run, 'asked');
			}
		}
	}

	/** Stops accepting tasks, and resolves once no run is held and the ends are sent. */
	async drain(): Promise<void> {
		this._isDraining = true;
		this._scheduleStateReports();
		while (this._runs.size > 0) {
			await new Promise((resolve) => setTimeout(resolve, 10));
		}
		this._reporter.flush();
	}

	private _stopOrphanedRuns(entryKey: string): void {
		const orphans = this._runs.getRunsOfEntry(entryKey);
		if (orphans.length > 0) {
			this._options.log.warn('runs.orphaned', { entryKey, runs: orphans.length });
		}
		for (const run of orphans) {
			this._stopper.stop(run, 'entryLost');
		}
	}

	private _handleStart(
		entryKey: string,
		job: JobStart,
		task: TaskStartRef,
		sentAt: WorkerTime | undefined,
	): void {
		const refusal = this._findRefusalReason(job, task, sentAt);
		if (refusal !== undefined) {
			this._refusedStarts.refuse(entryKey, task, refusal);
			return;
		}
		const run = createHeldRun(task, job, { entryKey, sentAt }, this._nowMs());
		this._runs.add(run, this._nowMs());
		this._sendStart(run).catch((error: unknown) => {
			this._options.log.error('run.startFailed', { jobId: run.jobId, message: describeError(error) });
		});
	}

	private _findRefusalReason(
		job: JobStart,
		task: TaskStartRef,
		sentAt: WorkerTime | undefined,
	): RefusalReason | undefined {
		return findRefusalReason(job, task, {
			worker: this._worker.announcement,
			isAccepting: this._isAccepting(),
			isExpired: this._lease.isStartExpired(sentAt, this._nowMs()),
			runs: this._runs,
			isCapacityKnown: !this._hasUnknownRuns && this._worker.isCapacityKnown(this._nowMs()),
		});
	}

	private async _sendStart(run: HeldRun): Promise<void> {
		const result = await this._orderSender.start(run, this._createCurrentCheck(run));
		switch (result.kind) {
			case 'started':
				this._records.markRunning(run);
				return;
			case 'unanswered':
				if (result.isConnectionRefused === true) {
					this._handleRefusedStart(run, 'undelivered');
					return;
				}
				// If the worker already lists the run, it has started and only the answer was lost.
				if (run.phase === 'starting') {
					const { jobId, taskIndex } = run;
					this._options.log.warn('run.startUnanswered', { jobId, taskIndex, message: result.message });
					this._stopper.stop(run, 'startUnanswered');
				}
				return;
			case 'refused':
				this._handleRefusedStart(run, result.reason);
				return;
			case 'void':
				return;
		}
	}

	/** Creates a function that returns whether a run is still held at the present incarnation of the worker. */
	private _createCurrentCheck(run: HeldRun): () => boolean {
		const { incarnation } = this._worker;
		return () => !this._isDisposed && incarnation === this._worker.incarnation && this._runs.get(run) === run;
	}

	private _handleRefusedStart(run: HeldRun, reason: OrderRefusalReason): void {
		const { jobId, taskIndex } = run;
		this._options.log.info('run.refused', { jobId, taskIndex, reason });
		if (reason === 'unhealthy') {
			this._records.endCounts.recordFailure(jobId, this._nowMs());
		}
		if (reason === 'olderRun') {
			this._records.removeRun(run);
		} else {
			this._records.removeRefusedRun(run);
		}
		this._records.reportRefusal(run.entryKey, toStartRef(run), toRefusalReason(reason));
		if (reason === 'otherWorker') {
			this._forgetWorker('otherWorker');
		}
	}

	handleRunLists(lists: RunLists, sentMs: number): void {
		const { bornAtMs, clockMs, ended, areEndsComplete, running } = lists;
		if (this._worker.detectRestart(bornAtMs)) {
			this._forgetWorker('reborn');
			this._worker.detectRestart(bornAtMs);
		}
		if (this._lease.updateClockOffset(clockMs, this._nowMs())) {
			this._worker.expireCapacity();
		}
		for (const end of ended) {
			this._handleEnd(end);
		}
		this._crashes.handleLists(lists);
		this._restartResolver.handleLists(lists, sentMs);
		this._handleRunning(running, sentMs, areEndsComplete);
	}

	handleWorkerReplaced(): void {
		this._forgetWorker('otherWorker');
	}

	handleTokenRefused(): void {
		this._orderSender.raiseToken();
	}

	handleLeaseLapsed(isConnectionRefused: boolean): void {
		const nowMs = this._nowMs();
		this._crashes.handleLists({ running: [], ended: [] });
		const haveAllEnded = isConnectionRefused || this._lease.hasLapsedAtAnyLife(nowMs);
		this._records.endLostRuns(haveAllEnded ? 'all' : 'listed');
		if (this._worker.hasLeft && this._runs.size === 0) {
			this._forgetWorker('left');
		}
		this._areEarlierRunsGone ||= nowMs - this._executorStartedMs > earlierRunsExpiryMs;
	}

	handleRespondingChanged(isResponding: boolean, message: string): void {
		const fields = { workerId: this._worker.announcement?.workerId, message, runs: this._runs.size };
		const event = isResponding ? 'worker.responding' : 'worker.silent';
		this._options.log[isResponding ? 'info' : 'warn'](event, fields);
		this._scheduleStateReports();
	}

	handleUnansweredPoll(sinceMs: number, isConnectionRefused: boolean): void {
		if (!isConnectionRefused) {
			return;
		}
		if (this._worker.hasLeft) {
			this._forgetWorker('left');
			this._records.endLostRuns('all');
			return;
		}
		this._crashes.handleConnectionRefused(sinceMs);
	}

	private _handleEnd(end: EndedTask): void {
		if (end.number <= this._acknowledgedEnd) {
			return;
		}
		this._acknowledgedEnd = end.number;
		const run = this._runs.get(end);
		if (run?.run !== end.run) {
			return;
		}
		this._records.recordEnd(run, end);
	}

	private _handleRunning(running: readonly RunningTask[], sentMs: number, areEndsComplete: boolean): void {
		const listedKeys = new Set<string>();
		let unknownRunCount = 0;
		for (const task of running) {
			// No run of a task ends as missing while another one of it is at work.
			listedKeys.add(getTaskKey(task));
			const run = this._runs.get(task);
			if (run?.run !== task.run) {
				unknownRunCount += 1;
				this._orderSender.stopUnknownRun(task);
				continue;
			}
			this._records.recordProgress(run, task);
		}
		this._hasUnknownRuns = unknownRunCount > 0;
		this._areEarlierRunsGone ||= unknownRunCount === 0;
		if (areEndsComplete) {
			this._records.endMissingRuns(listedKeys, sentMs);
		}
		this._scheduleStateReports();
	}

	/**
	 * Forgets the worker until it announces itself again. Its runs are kept until the next lists, since its new life may have taken
	 * some of them already.
	 */
	private _forgetWorker(cause: 'left' | 'otherWorker' | 'reborn'): void {
		const nowMs = this._nowMs();
		const { announcement, key } = this._worker;
		if (cause !== 'left') {
			this._crashes.handleRestart(cause, this._poller.unansweredSinceMs ?? nowMs);
		}
		const runs = this._runs.all.map((run) => `${describeRun(run)} ${run.phase}`);
		this._options.log.warn('worker.lost', {
			...{ workerId: announcement?.workerId, workerKey: key, cause, runCount: runs.length, runs },
		});
		this._worker.discard();
		this._acknowledgedEnd = 0;
		this._hasUnknownRuns = false;
		this._restartResolver.handleRestart();
		this._lease.reset(nowMs);
		this._records.resetMeasurements();
		this._scheduleStateReports();
	}

	getOrderContext(): OrderContext {
		return {
			address: this._options.workerAddress,
			workerId: this._worker.workerId,
			fencingToken: this._lease.fencingToken,
		};
	}

	private _isAccepting(): boolean {
		return (
			this._worker.isReady(this._nowMs()) &&
			!this._isDraining &&
			this._areEarlierRunsGone &&
			this._poller.isResponding &&
			this._lease.isClockKnown
		);
	}

	private _scheduleStateReports(): void {
		this._reporter.scheduleStateReports();
	}

	private _getWorkerState(): WorkerState | undefined {
		if (!this._areEarlierRunsGone) {
			return undefined;
		}
		const nowMs = this._nowMs();
		return createWorkerState({
			worker: this._worker,
			runs: this._runs,
			paceMeter: this._records.paceMeter,
			endCounts: this._records.endCounts,
			isAccepting: this._isAccepting(),
			workerTime: this._lease.getWorkerTime(nowMs),
			nowMs,
		});
	}

	private _nowMs(): number {
		return this._options.clock.nowMs();
	}
}
