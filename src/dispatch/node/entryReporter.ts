/** Reports to each entry the state of the worker when it changes, and the ends of the entry's runs immediately. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { WorkerCrash } from '../common/workerCrash.js';
import type {
	AgentReportMessage,
	TaskEndReport,
	TaskStartRef,
	WorkerState,
} from '../common/dispatchMessages.js';
import { isSignificantStateChange } from '../common/significantStateChange.js';

/**
 * Minimum delay of a report that contains only a state change, to combine it with further ones. A refused start that is
 * caused by an outdated state costs about as much time.
 */
const minStateDelayMs = 6;
/** Delay per connected entry, so that the message rate of an agent grows little with the number of entries. */
const stateDelayPerEntryMs = 2;
/** Maximum time between reports to an entry while the state changes, even if no change is significant. */
const maxReportIntervalMs = 240;

/** Provides the content of reports, and sends them to entries. */
export interface IEntryReporterHost {
	/** Returns the state of the worker; `undefined` while no worker can be used. */
	getWorkerState(): WorkerState | undefined;
	/** Returns the runs that are held for an entry. */
	getHeldRuns(entryKey: string): readonly TaskStartRef[];
	send(connectionId: number, message: AgentReportMessage): void;
}

interface EntryConnection {
	readonly connectionId: number;
	readonly entryKey: string;
	/** Highest sequence of a start message that was handled. */
	handledSequence: number;
	/** Ends that were not sent yet. */
	pendingEnds: TaskEndReport[];
	/** Crashes that were not sent yet. */
	pendingCrashes: WorkerCrash[];
	lastSentState: WorkerState | undefined;
	lastSentMs: number;
	/** Whether the first report, which lists the held runs, was sent. */
	isFirstReportSent: boolean;
}

/** Collects the content of reports and sends them. */
export class EntryReporter extends Disposable {
	private readonly _connections = new Map<number, EntryConnection>();
	private _timer: NodeJS.Timeout | undefined;
	private _isSendQueued = false;

	constructor(
		private readonly _source: IEntryReporterHost,
		private readonly _clock: IClock,
	) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
	}

	/** Starts reporting on a connection. The first report contains the ends and crashes that the entry may have missed. */
	addConnection(
		connectionId: number,
		entryKey: string,
		missedEnds: readonly TaskEndReport[],
		missedCrashes: readonly WorkerCrash[] = [],
	): void {
		this._connections.set(connectionId, {
			connectionId,
			entryKey,
			handledSequence: 0,
			pendingEnds: [...missedEnds],
			pendingCrashes: [...missedCrashes],
			lastSentState: undefined,
			lastSentMs: -Infinity,
			isFirstReportSent: false,
		});
		this._queueUrgentReports();
	}

	/** Removes a connection. Returns the key of its entry if no other connection to that entry is open. */
	removeConnection(connectionId: number): string | undefined {
		const connection = this._connections.get(connectionId);
		this._connections.delete(connectionId);
		return connection === undefined || this._findConnection(connection.entryKey) !== undefined
			? undefined
			: connection.entryKey;
	}

	/** Returns the key of the entry at the other end of a connection: its id and incarnation. */
	getEntryKey(connectionId: number): string | undefined {
		return this._connections.get(connectionId)?.entryKey;
	}

	/** Records that a start message was handled, so that the next reports include its effect. */
	recordHandledSequence(connectionId: number, sequence: number): void {
		const connection = this._connections.get(connectionId);
		if (connection !== undefined) {
			connection.handledSequence = Math.max(connection.handledSequence, sequence);
		}
	}

	/** Reports an end immediately if the entry is connected; otherwise it is passed to {@link addConnection} later. */
	reportEnd(entryKey: string, report: TaskEndReport): void {
		const connection = this._findConnection(entryKey);
		if (connection !== undefined) {
			connection.pendingEnds.push(report);
			this._queueUrgentReports();
		}
	}

	/** Reports a crash of the worker to all connected entries immediately. */
	reportCrash(crash: WorkerCrash): void {
		for (const connection of this._connections.values()) {
			connection.pendingCrashes.push(crash);
		}
		this._queueUrgentReports();
	}

	/** Schedules reports of the worker state to the entries for which the change is significant. */
	scheduleStateReports(): void {
		this._timer ??= setTimeout(
			() => {
				this._timer = undefined;
				this.flush();
			},
			Math.max(minStateDelayMs, stateDelayPerEntryMs * this._connections.size),
		);
	}

	/** Sends all reports that are due: first reports, ends, significant state changes, and overdue reports. */
	flush(): void {
		const intervalStartMs = this._clock.nowMs() - maxReportIntervalMs;
		this._sendWhere(
			(connection, state) =>
				isReportUrgent(connection) ||
				connection.lastSentMs <= intervalStartMs ||
				isSignificantStateChange(connection.lastSentState, state),
		);
	}

	private _queueUrgentReports(): void {
		if (this._isSendQueued) {
			return;
		}
		this._isSendQueued = true;
		setImmediate(() => {
			this._isSendQueued = false;
			this._sendWhere(isReportUrgent);
		});
	}

	private _sendWhere(
		shouldSend: (connection: EntryConnection, state: WorkerState | undefined) => boolean,
	): void {
		if (this._connections.size === 0) {
			return;
		}
		const state = this._source.getWorkerState();
		for (const connection of this._connections.values()) {
			if (shouldSend(connection, state)) {
				this._sendTo(connection, state);
			}
		}
	}

	private _sendTo(connection: EntryConnection, state: WorkerState | undefined): void {
		const { connectionId, handledSequence, entryKey, isFirstReportSent } = connection;
		const { pendingEnds: ends, pendingCrashes: crashes } = connection;
		connection.isFirstReportSent = true;
		connection.lastSentState = state;
		connection.lastSentMs = this._clock.nowMs();
		connection.pendingEnds = [];
		connection.pendingCrashes = [];
		this._source.send(connectionId, {
			kind: 'agentReport',
			handledSequence,
			ends,
			...(state === undefined ? {} : { state }),
			...(crashes.length === 0 ? {} : { crashes }),
			...(isFirstReportSent ? {} : { heldRuns: this._source.getHeldRuns(entryKey) }),
		});
	}

	private _findConnection(entryKey: string): EntryConnection | undefined {
		for (const connection of this._connections.values()) {
			if (connection.entryKey === entryKey) {
				return connection;
			}
		}
		return undefined;
	}
}

/** Returns whether the first report, an end or a crash has to be sent on a connection. */
function isReportUrgent({ isFirstReportSent, pendingEnds, pendingCrashes }: EntryConnection): boolean {
	return !isFirstReportSent || pendingEnds.length > 0 || pendingCrashes.length > 0;
}
