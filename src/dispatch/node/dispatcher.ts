/** Dispatching of one entry: its agents' connections, the clock, and the core that decides. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { ILogService, LogFields } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import { DispatchCore } from '../common/dispatchCore.js';
import type { IDispatchHost } from '../common/dispatchHost.js';
import type {
	AgentReportMessage,
	CancelJobMessage,
	StartTasksMessage,
	StopTasksMessage,
} from '../common/dispatchMessages.js';
import type { JobOutcome, JobRequest, JobState } from '../common/jobs.js';
import { JobTimes } from './jobTimes.js';
import { orphanGraceMs } from './orphanWatch.js';

/** Time between looks at deadlines and workers while jobs are held. */
const tickMs = 15;
/** Time for a stop to reach a worker and end the run, with a margin for late timers. */
const stopMs = 250;

/** What a dispatcher is started with. */
export interface DispatcherOptions {
	/** Silence after which both ends of a connection give it up. */
	readonly silenceTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	/** Other entries that place on the same workers. */
	readonly otherEntries: () => number;
	/** Sends a message to every other entry. */
	readonly tellEntries: (message: Message) => void;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Takes jobs and has their tasks run. */
export class Dispatcher extends Disposable implements IDispatchHost {
	private readonly _core: DispatchCore;
	private readonly _connections = new Map<number, IConnection>();
	private readonly _times = new JobTimes();
	private _nextLinkId = 1;
	private _isScheduled = false;

	constructor(private readonly _options: DispatcherOptions) {
		super();
		const { silenceTimeoutMs, heartbeatIntervalMs } = _options;
		// The agent notices the loss at the latest after its own silence, waits for the entry, and stops the runs.
		const orphanLifetimeMs = silenceTimeoutMs + heartbeatIntervalMs + orphanGraceMs + stopMs;
		this._core = new DispatchCore(this, { orphanLifetimeMs }, this._nowMs());
		const timer = setInterval(() => {
			if (this._core.jobCount > 0) {
				this._schedule();
			}
		}, tickMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Jobs that are not ended. */
	get jobCount(): number {
		return this._core.jobCount;
	}

	/** Workers that are connected and take tasks. */
	get workerCount(): number {
		return this._core.workerCount;
	}

	/** What has happened since the start, and the times of answered jobs. */
	get counters(): Readonly<Record<string, number>> {
		return { ...this._core.counters, ...this._times.levels() };
	}

	/** Takes a job; see {@link DispatchCore.submit}. */
	submit(request: JobRequest, listener: (outcome: JobOutcome) => void): () => void {
		const arrivedMs = this._nowMs();
		const answer = (outcome: JobOutcome): void => {
			if (outcome.kind === 'completed' || outcome.kind === 'failed') {
				this._times.note(this._nowMs() - arrivedMs);
			}
			listener(outcome);
		};
		const leave = this._core.submit(request, answer, arrivedMs);
		this._scheduleSoon();
		return () => {
			leave();
			this._scheduleSoon();
		};
	}

	/** Ends a job here and at the other entries. Returns whether it was held here. */
	cancel(jobId: string): boolean {
		const isHeld = this._core.cancel(jobId, 'asked', this._nowMs());
		const message: CancelJobMessage = { kind: 'cancelJob', jobId };
		this._options.tellEntries(message);
		this._scheduleSoon();
		return isHeld;
	}

	/** Gives up every job, so that each caller gets an answer before the process ends. */
	abandonAll(): void {
		this._core.abandonAll(this._nowMs());
	}

	/** Where a job stands; `undefined` when it is unknown here. */
	stateOf(jobId: string): JobState | undefined {
		return this._core.stateOf(jobId);
	}

	/** Jobs of a route of which no task has started. */
	countQueued(route: string): number {
		return this._core.countQueued(route);
	}

	/** Serves a connection of an agent, or of another entry. */
	accept(connection: IConnection): void {
		if (connection.peer.role === 'entry') {
			connection.onDidReceive((message) => {
				if (message.kind === 'cancelJob') {
					this._core.cancel((message as CancelJobMessage).jobId, 'asked', this._nowMs());
				}
			});
			return;
		}
		const linkId = this._nextLinkId;
		this._nextLinkId += 1;
		const { processId, incarnation } = connection.peer;
		this._connections.set(linkId, connection);
		this._core.agentConnected(linkId, processId, incarnation, this._nowMs());
		connection.onDidReceive((message) => {
			const isReport = message.kind === 'agentReport';
			if (isReport && this._core.takeReport(linkId, message as AgentReportMessage, this._nowMs())) {
				this._scheduleSoon();
			}
		});
		connection.onDidClose((reason) => {
			this._connections.delete(linkId);
			this._core.agentLost(linkId, reason, this._nowMs());
			this._scheduleSoon();
		});
	}

	send(linkId: number, message: StartTasksMessage | StopTasksMessage): void {
		this._connections.get(linkId)?.send(message);
	}

	log(level: 'info' | 'warn', event: string, fields: LogFields): void {
		this._options.log[level](event, fields);
	}

	entryCount(): number {
		return this._options.otherEntries() + 1;
	}

	random(): number {
		return Math.random();
	}

	private _scheduleSoon(): void {
		if (this._isScheduled) {
			return;
		}
		this._isScheduled = true;
		setImmediate(() => {
			this._isScheduled = false;
			this._schedule();
		});
	}

	private _schedule(): void {
		if (!this._isDisposed) {
			this._core.schedule(this._nowMs());
		}
	}

	private _nowMs(): number {
		return this._options.clock.nowMs();
	}
}
