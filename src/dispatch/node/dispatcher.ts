/** Dispatcher of one entry: connects the dispatch core to the agents' connections, timers and the clock. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { ILogService, LogFields } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import { DispatchCore } from '../common/dispatchCore.js';
import {
	isAgentReport,
	isCancelJob,
	isCancelledJobs,
	isWorkerCrashes,
	readMessage,
} from '../common/dispatchMessageChecks.js';
import type { IDispatchHost } from '../common/dispatchHost.js';
import type {
	CancelJobMessage,
	CancelledJobsMessage,
	StartTasksMessage,
	StopTasksMessage,
	WorkerCrashesMessage,
} from '../common/dispatchMessages.js';
import type { JobOutcome, JobRequest, JobState } from '../common/jobs.js';
import { RejoinHold } from '../common/rejoinHold.js';
import { JobTimeHistogram } from './jobTimeHistogram.js';
import { getLatestStopMs } from './lostEntryMonitor.js';

/** Interval at which pauses are noticed, and deadlines and workers are checked while jobs are held. */
const scheduleIntervalMs = 15;
/** Maximum time for a stop order to reach a worker and end the run, including a margin for late timers. */
const stopDurationMs = 250;

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
	/** Time without received data after which either end closes a connection. */
	readonly silenceTimeoutMs: number;
	/** Returns the number of other entries that place tasks on the same workers. */
	readonly countOtherEntries: () => number;
	/** Sends a message to every other entry. */
	readonly broadcastToEntries: (message: Message) => void;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Accepts jobs and has their tasks run by agents. */
export class Dispatcher extends Disposable implements IDispatchHost {
	private readonly _core: DispatchCore;
	private readonly _connections = new Map<number, IConnection>();
	private readonly _rejoinHold: RejoinHold;
	private readonly _jobTimes = new JobTimeHistogram();
	private _nextConnectionId = 1;
	private _isScheduleQueued = false;

	constructor(private readonly _options: DispatcherOptions) {
		super();
		const orphanLifetimeMs = getLatestStopMs(_options.silenceTimeoutMs) + stopDurationMs;
		this._core = new DispatchCore(this, { orphanLifetimeMs }, this._nowMs());
		this._rejoinHold = new RejoinHold(this._nowMs());
		const timer = setInterval(() => {
			this._rejoinHold.check(this._nowMs());
			if (this._core.jobCount > 0) {
				this._schedule();
			}
		}, scheduleIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Number of jobs that have not ended. */
	get jobCount(): number {
		return this._core.jobCount;
	}

	/** Number of connected workers that accept tasks. */
	get workerCount(): number {
		return this._core.workerCount;
	}

	/** Counters since the start and the times of answered jobs. */
	get counters(): Readonly<Record<string, number>> {
		const confinedRoutes = this._core.confinedRouteCount;
		return { ...this._core.counters, confinedRoutes, ...this._jobTimes.metrics() };
	}

	/** Submits a job. Returns a function that withdraws the caller; see {@link DispatchCore.submit}. */
	submit(request: JobRequest, listener: (outcome: JobOutcome) => void): () => void {
		const arrivedMs = this._nowMs();
		const handleOutcome = (outcome: JobOutcome): void => {
			if (outcome.kind === 'completed' || outcome.kind === 'failed') {
				this._jobTimes.record(this._nowMs() - arrivedMs);
			}
			listener(outcome);
		};
		const withdraw = this._core.submit(request, handleOutcome, arrivedMs);
		this._queueSchedule();
		return () => {
			withdraw();
			this._queueSchedule();
		};
	}

	/** Cancels a job at this entry and the other entries. Returns whether this entry held it. */
	cancel(jobId: string): boolean {
		const isHeld = this._core.cancel(jobId, 'asked', this._nowMs());
		const message: CancelJobMessage = { kind: 'cancelJob', jobId };
		this._options.broadcastToEntries(message);
		this._queueSchedule();
		return isHeld;
	}

	/** Abandons every job, so that each caller gets an answer before the process ends. */
	abandonAllJobs(): void {
		this._core.abandonAll(this._nowMs());
	}

	/** Returns the state of a job; `undefined` when this entry does not know it. */
	getJobState(jobId: string): JobState | undefined {
		return this._core.getJobState(jobId);
	}

	/** Counts the jobs of a route of which no task has started. */
	countQueuedJobs(route: string): number {
		return this._core.countQueuedJobs(route);
	}

	/** Accepts a connection from an agent or another entry, and handles its messages until it closes. */
	accept(connection: IConnection): void {
		const connectionId = this._nextConnectionId;
		this._nextConnectionId += 1;
		if (connection.peer.role === 'entry') {
			this._acceptEntry(connectionId, connection);
			return;
		}
		const { processId, incarnation } = connection.peer;
		if (this._connections.size === 0) {
			this._rejoinHold.begin(this._nowMs());
		}
		this._connections.set(connectionId, connection);
		this._core.handleAgentConnected(connectionId, processId, incarnation, this._nowMs());
		connection.onDidReceive((message) => {
			if (message.kind !== 'agentReport') {
				return;
			}
			const report = readMessage(message, isAgentReport);
			if (this._core.handleReport(connectionId, report, this._nowMs())) {
				this._queueSchedule();
			}
		});
		connection.onDidClose((reason) => {
			this._connections.delete(connectionId);
			this._core.handleAgentLost(connectionId, reason, this._nowMs());
			this._queueSchedule();
		});
	}

	/**
	 * Sends the remembered cancellings and crashes over a new connection to an entry. It may have been restarted or cut off, and
	 * what was sent over an earlier connection may have been lost.
	 */
	sendRemembered(connection: IConnection): void {
		const nowMs = this._nowMs();
		const cancelledJobs: CancelledJobsMessage = {
			kind: 'cancelledJobs',
			jobs: this._core.cancelledJobs.getAll(nowMs),
		};
		connection.send(cancelledJobs);
		const workerCrashes: WorkerCrashesMessage = {
			kind: 'workerCrashes',
			crashes: this._core.crashes.getAll(nowMs),
		};
		if (workerCrashes.crashes.length > 0) {
			connection.send(workerCrashes);
		}
	}

	send(connectionId: number, message: StartTasksMessage | StopTasksMessage): void {
		this._connections.get(connectionId)?.send(message);
	}

	log(level: 'info' | 'warn', event: string, fields: LogFields): void {
		this._options.log[level](event, fields);
	}

	entryCount(): number {
		return this._options.countOtherEntries() + 1;
	}

	random(): number {
		return Math.random();
	}

	private _acceptEntry(connectionId: number, connection: IConnection): void {
		const { processId } = connection.peer;
		connection.onDidReceive((message) => {
			if (message.kind === 'cancelJob') {
				this._core.cancel(readMessage(message, isCancelJob).jobId, 'asked', this._nowMs());
			}
			if (message.kind === 'cancelledJobs') {
				this._core.handleCancelledJobs(readMessage(message, isCancelledJobs).jobs, this._nowMs());
				this._rejoinHold.handlePeerCaughtUp(processId, connectionId);
			}
			if (message.kind === 'workerCrashes') {
				this._core.handleCrashes(readMessage(message, isWorkerCrashes).crashes, this._nowMs());
			}
		});
		connection.onDidClose(() => {
			this._rejoinHold.handlePeerLost(processId, connectionId, this._nowMs());
		});
	}

	private _queueSchedule(): void {
		if (this._isScheduleQueued) {
			return;
		}
		this._isScheduleQueued = true;
		setImmediate(() => {
			this._isScheduleQueued = false;
			this._schedule();
		});
	}

	private _schedule(): void {
		if (!this._isDisposed) {
			const nowMs = this._nowMs();
			this._rejoinHold.check(nowMs);
			this._core.schedule(nowMs, !this._rejoinHold.isActive(nowMs));
		}
	}

	private _nowMs(): number {
		return this._options.clock.nowMs();
	}
}
