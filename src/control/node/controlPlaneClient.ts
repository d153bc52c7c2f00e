/** Subscribes a process to one keeper or entry at a time and fails over when that server is lost, silent or stale. */

import { match } from 'ts-pattern';
import { backoffMs, type BackoffOptions } from '../../base/common/async.js';
import { monotonicClock, type IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import {
	defaultConnectionLimits,
	type ConnectionLimits,
	type PeerIdentity,
} from '../../services/transport/common/transport.js';
import type {
	ClaimOutcome,
	ClaimRequest,
	KeeperToSubscriberMessage,
	MemberStatus,
	SubscriberToKeeperMessage,
} from '../../protocol/common/keeperMessages.js';
import type { ControlState, IControlPlane } from '../common/controlPlane.js';
import { ControlStateStore, type StateMessage } from '../common/controlStateStore.js';
import type { KeeperEndpoint } from '../common/keeperEndpoint.js';
import type { MemberRecord } from '../common/memberRegistry.js';
import { ProbeTracker } from '../common/probeTracker.js';
import { ServerSelector, type ControlPath, type ControlServer } from '../common/serverSelector.js';
import { StalenessDetector } from '../common/stalenessDetector.js';
import type { IStateSource } from '../common/stateSource.js';
import { isSameScope } from '../common/tableScope.js';
import { ClaimSender } from './claimSender.js';
import { ControlLink } from './controlLink.js';
import { ReportSender } from './reportSender.js';
import { FailbackConnector } from './failbackConnector.js';

/** Time between renewals of the lease. */
const renewIntervalMs = 250;

/** Interval between checks of whether the server is stale. */
const serverCheckIntervalMs = 50;

/** Delay before connecting to the next server. */
const failoverBackoff: BackoffOptions = { firstMs: 20, maxMs: 1000 };

/** Time limit for handing the `leave` message to the network. */
const leaveTimeoutMs = 100;

/** Options of a {@link ControlPlaneClient}. */
export interface ControlPlaneOptions {
	readonly keepers: readonly KeeperEndpoint[];
	readonly identity: PeerIdentity;
	readonly secret: string;
	readonly log: ILogService;
	/** Kind of server that the process subscribes to; `keepers` by default. */
	readonly path?: ControlPath;
	/** Whether the process needs only the rows of the pool in its status and its own drain. */
	readonly isScoped?: boolean;
	/** Data centre of the process. Entries in the same data centre are preferred. */
	readonly dataCentre?: string;
	readonly limits?: ConnectionLimits;
	readonly clock?: IClock;
	/** Returns a number in [0, 1), used to spread the retries of many processes. */
	readonly random?: () => number;
}

/** Holds the subscription of one process. It connects when {@link setStatus} is first called. */
export class ControlPlaneClient extends Disposable implements IControlPlane {
	private readonly _onDidChangeState = this._register(new Emitter<ControlState>());
	readonly onDidChangeState = this._onDidChangeState.event;

	private readonly _stateStore = new ControlStateStore();
	private readonly _probes = new ProbeTracker();
	private readonly _clock: IClock;
	private readonly _random: () => number;
	private readonly _selector: ServerSelector;
	private readonly _staleness = new StalenessDetector();
	private readonly _claims: ClaimSender;
	private readonly _reports: ReportSender;
	private readonly _failback: FailbackConnector;

	private _status: MemberStatus | undefined;
	private _sentStatus: MemberStatus | undefined;
	private _server: ControlServer;
	private _link: ControlLink | undefined;
	private _lastProbeAtMs = -Infinity;
	private _failoverTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ControlPlaneOptions) {
		super();
		const { identity, keepers, path, dataCentre } = _options;
		this._clock = _options.clock ?? monotonicClock;
		this._random = _options.random ?? Math.random;
		this._selector = new ServerSelector({
			processId: identity.processId,
			dataCentre: dataCentre ?? '',
			keepers,
			path: path ?? 'keepers',
		});
		this._server = this._selector.getFirst();
		const keeperLink = {
			isOpen: () => this._server.kind === 'keeper' && this._link?.isOpen === true,
			send: (message: SubscriberToKeeperMessage) => {
				this._send(message);
			},
		};
		this._claims = this._register(new ClaimSender(keeperLink));
		this._reports = this._register(new ReportSender(keeperLink, this._clock));
		this._failback = this._register(
			new FailbackConnector(this._random, (server) => this._createLink(server)),
		);
		this._failback.onDidOpen((link) => {
			this._failBack(link);
		});
		const timer = setInterval(() => {
			this._checkServer();
		}, serverCheckIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				clearTimeout(this._failoverTimer);
				this._disposeLink();
			}),
		);
	}

	get state(): ControlState {
		return this._stateStore.state;
	}

	get source(): IStateSource {
		return this._stateStore;
	}

	/** Process id of the keeper or entry that the process is subscribed or connecting to. */
	get keeperId(): string {
		return this._server.processId;
	}

	getMaxStateAgeMs(): number {
		return this._clock.nowMs() - this._stateStore.confirmedAtMs;
	}

	setStatus(status: MemberStatus): void {
		this._status = status;
		const isOtherScope = this._updateScope(status);
		if (this._link === undefined && this._failoverTimer === undefined) {
			this._connect(this._server);
			return;
		}
		if (isOtherScope && this._link?.isOpen === true) {
			this._subscribe();
			return;
		}
		this._sendStatus();
	}

	claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome> {
		return this._claims.claim(request, timeoutMs);
	}

	releaseClaim(request: ClaimRequest): void {
		this._claims.release(request);
	}

	startReports(records: () => Iterable<MemberRecord>): void {
		this._reports.setRecordSource(records);
	}

	scheduleReport(): void {
		this._reports.scheduleReport();
	}

	/** Tells the keepers that this process stops, so that they do not wait for its lease to expire. */
	async leave(): Promise<void> {
		this._send({ kind: 'leave' });
		this._status = undefined;
		await this._link?.closeGracefully(leaveTimeoutMs);
	}

	/** Requests the rows of the offered pool. Returns whether the requested scope has changed. */
	private _updateScope({ offer }: MemberStatus): boolean {
		if (this._options.isScoped !== true) {
			return false;
		}
		const previousScope = this._stateStore.requestedScope;
		// Keeps the last pool while no upstream is announced, because an upstream usually returns to the same pool.
		const pool = offer?.pool ?? previousScope?.pool;
		const scope = { pool, processId: this._options.identity.processId };
		if (isSameScope(previousScope, scope)) {
			return false;
		}
		this._stateStore.requestScope(scope);
		return true;
	}

	private _createLink(server: ControlServer): ControlLink {
		const { identity, secret, limits } = this._options;
		return new ControlLink(server, { identity, secret, limits: limits ?? defaultConnectionLimits });
	}

	private _connect(server: ControlServer): void {
		const link = this._createLink(server);
		this._attachLink(link);
		link.onDidOpen(() => {
			this._handleOpen();
		});
	}

	private _attachLink(link: ControlLink): void {
		this._link = link;
		this._server = link.server;
		this._staleness.startServer(link.server.kind, this._clock.nowMs());
		link.onDidReceive((message) => {
			if (this._link === link) {
				this._handleMessage(message);
			}
		});
		link.onDidFail((reason) => {
			if (this._link === link) {
				this._failOver(reason);
			}
		});
	}

	private _handleOpen(): void {
		this._reports.resetReported();
		this._subscribe();
		this._reports.sendReport();
	}

	/** Disconnects from the current server and connects to the next one after a short random delay. */
	private _failOver(reason: string, isStale = false): void {
		if (this._isDisposed || this._failoverTimer !== undefined) {
			return;
		}
		const previous = this._server;
		const failoversSinceFresh = this._staleness.countFailover();
		this._disposeLink();
		this._failback.abort(this._clock.nowMs());
		this._claims.markAllUnsent();
		this._server = this._selector.getNext(previous, this._stateStore.directory, {
			isStale,
			failoversSinceFresh,
		});
		if (failoversSinceFresh === 0) {
			this._logServerChange(previous, reason);
		}
		const waitMs = backoffMs(failoverBackoff, failoversSinceFresh, this._random);
		this._failoverTimer = setTimeout(() => {
			this._failoverTimer = undefined;
			if (this._status !== undefined) {
				this._connect(this._server);
			}
		}, waitMs);
	}

	private _disposeLink(): void {
		const link = this._link;
		// Cleared before the link is disposed; otherwise its closing would be handled as a failure.
		this._link = undefined;
		link?.dispose();
	}

	/** Switches to the preferred server, whose connection is already open. */
	private _failBack(link: ControlLink): void {
		const previous = this._server;
		this._disposeLink();
		this._claims.markAllUnsent();
		this._attachLink(link);
		this._logServerChange(previous, 'The preferred server is available again.');
		this._handleOpen();
	}

	private _logServerChange(previous: ControlServer, reason: string): void {
		this._options.log.info('control.moved', {
			from: previous.processId,
			to: this._server.processId,
			reason,
		});
	}

	private _subscribe(): void {
		if (this._status === undefined) {
			return;
		}
		const { tables, directory, historyId, holdsRequestedScope, requestedScope: scope } = this._stateStore;
		this._sentStatus = this._status;
		this._claims.markAllUnsent();
		this._send({
			kind: 'subscribe',
			revision: tables.revision,
			epoch: directory.epoch,
			// Without a history id the server sends a full snapshot.
			historyId: holdsRequestedScope ? historyId : undefined,
			scope,
			status: this._status,
			probe: this._startProbe(),
		});
		this._claims.sendUnsent();
	}

	private _checkServer(): void {
		const nowMs = this._clock.nowMs();
		if (nowMs - this._lastProbeAtMs >= renewIntervalMs) {
			this._renewLease();
		}
		if (this._link !== undefined && this._staleness.isStale(nowMs)) {
			// If this process was itself suspended, messages that have already arrived are read before the server is
			// declared stale.
			setImmediate(() => {
				if (this._link !== undefined && this._staleness.isStale(this._clock.nowMs())) {
					this._failOver('The server is silent or its state is stale.', true);
				}
			});
			return;
		}
		if (this._link?.isOpen === true && this._staleness.hasProvenFresh) {
			this._failback.update(this._selector.findBetter(this._server, this._stateStore.directory), nowMs);
		}
	}

	private _renewLease(): void {
		if (this._link?.isOpen !== true || this._status === undefined) {
			return;
		}
		const { revisionInForce } = this._status;
		const ageMs = this.getMaxStateAgeMs();
		const bounded = Number.isFinite(ageMs) ? { ageMs: Math.ceil(ageMs) } : {};
		this._send({ kind: 'renewLease', probe: this._startProbe(), revisionInForce, ...bounded });
		this._reports.sendReport();
	}

	private _sendStatus(): void {
		const status = this._status;
		if (status === undefined || this._link?.isOpen !== true) {
			return;
		}
		const isOnlyRevision = this._sentStatus !== undefined && differsOnlyInRevision(this._sentStatus, status);
		this._sentStatus = status;
		if (isOnlyRevision) {
			this._renewLease();
			return;
		}
		this._send({ kind: 'memberStatus', status, probe: this._startProbe() });
	}

	private _startProbe(): number {
		const nowMs = this._clock.nowMs();
		this._lastProbeAtMs = nowMs;
		return this._probes.startProbe(nowMs);
	}

	private _handleMessage(message: KeeperToSubscriberMessage): void {
		match(message)
			.with({ kind: 'controlSnapshot' }, { kind: 'controlDelta' }, { kind: 'controlFreshness' }, (state) => {
				this._applyState(state);
			})
			.with({ kind: 'claimAnswers' }, (answers) => {
				this._claims.handleAnswers(answers);
			})
			.with({ kind: 'keeperLeaving' }, () => {
				this._failOver('The server is stopping or has reached its subscriber limit.');
			})
			.exhaustive();
	}

	private _applyState(message: StateMessage): void {
		const previousConfirmedAtMs = this._stateStore.confirmedAtMs;
		const result = this._stateStore.apply(message, this._probes.getSentAtMs(message.probe));
		if (result === 'gap') {
			this._subscribe();
			return;
		}
		if (result === 'otherScope') {
			return;
		}
		if (result === 'otherHistory') {
			this._handleOtherHistory(message);
			return;
		}
		if (this._stateStore.confirmedAtMs > previousConfirmedAtMs) {
			this._staleness.recordFreshness(this._stateStore.confirmedAtMs, this._clock.nowMs());
		}
		if (result === 'changed') {
			this._onDidChangeState.fire(this._stateStore.state);
		}
	}

	private _handleOtherHistory(message: StateMessage): void {
		if (message.kind !== 'controlSnapshot') {
			this._subscribe();
			return;
		}
		this._options.log.error('control.otherHistory', {
			keeperId: this._server.processId,
			keeperRevision: message.tables.revision,
			ownRevision: this._stateStore.state.tables.revision,
			remedy:
				'The keepers lost their history. Once it is restored or its loss is accepted, restart this process.',
		});
		this._failOver('The server has a different history.');
	}

	private _send(message: SubscriberToKeeperMessage): void {
		this._link?.send(message);
	}
}

function differsOnlyInRevision(a: MemberStatus, b: MemberStatus): boolean {
	const { revisionInForce } = b;
	return JSON.stringify({ ...a, revisionInForce }) === JSON.stringify(b);
}
