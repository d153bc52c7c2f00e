/** Runs a keeper: its replicated log, subscribers, reports from other keepers and the operators' interface. */

import { monotonicClock, type IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import { MemberRegistry } from '../../control/common/memberRegistry.js';
import type { IStateSource } from '../../control/common/stateSource.js';
import { SubscriptionService, type KeeperOnlyMessage } from '../../control/node/subscriptionService.js';
import type { IDaemon } from '../../services/daemon/node/daemon.js';
import type { ILogService } from '../../services/log/common/log.js';
import { nullMetricsService } from '../../services/metrics/common/metrics.js';
import {
	defaultConnectionLimits,
	type ConnectionLimits,
	type IConnection,
	type PeerIdentity,
} from '../../services/transport/common/transport.js';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import type { MemberStatus } from '../../protocol/common/keeperMessages.js';
import type { SystemStatus } from '../../protocol/common/operatorApi.js';
import type { IReplicatedLog } from '../../replication/common/replicatedLog.js';
import { KeeperMetrics } from '../common/keeperMetrics.js';
import type { KeeperSettings } from '../common/keeperSettings.js';
import { KeeperStateMachine } from '../common/keeperStateMachine.js';
import { createSystemStatus } from '../common/systemStatus.js';
import { ClaimBatcher } from './claimBatcher.js';
import { LeaderDuties } from './leaderDuties.js';
import { OperatorServer } from './operatorServer.js';
import { RelayReportReceiver } from './relayReportReceiver.js';
import { ReportExchange } from './reportExchange.js';

/** A replicated log that also accepts connections from the other keepers. */
export interface IKeeperLog extends IReplicatedLog {
	/** Accepts a connection from another keeper's log. */
	acceptPeer(connection: IConnection): void;
}

/** Opens the log for a state machine. Called once the keeper's peer address is bound. */
export type OpenKeeperLog = (stateMachine: KeeperStateMachine, peerAddress: string) => Promise<IKeeperLog>;

/** Options of {@link KeeperDaemon.start}. */
export interface KeeperOptions {
	readonly settings: KeeperSettings;
	readonly identity: PeerIdentity;
	/** The log of the process, as opposed to the replicated log. */
	readonly logService: ILogService;
	readonly openLog: OpenKeeperLog;
	/** Receives the keeper's metrics; without it, none are sent. */
	readonly metrics?: KeeperMetrics;
	readonly limits?: ConnectionLimits;
	readonly clock?: IClock;
}

/** Time limit for transferring leadership during a drain. */
const leadershipTransferTimeoutMs = 1000;

/** Time that subscribers have to move to another keeper during a drain. */
const subscriberMoveTimeoutMs = 1500;

/** Interval at which the keeper renews its own process record, with its revision in force. */
const ownRecordIntervalMs = 200;

/** Interval at which gauges are sent. */
const gaugeIntervalMs = 1000;

/** A running keeper process. */
export class KeeperDaemon extends Disposable implements IDaemon {
	private readonly _onDidStop = this._register(new Emitter<undefined>());
	/** Fires when the log has stopped for good, such as after a failed write. The process must then exit. */
	readonly onDidStop = this._onDidStop.event;

	private readonly _registry = new MemberRegistry();
	private readonly _startedAtMs: number;
	private readonly _startedWithoutState: boolean;
	private readonly _clock: IClock;
	private readonly _metrics: KeeperMetrics;
	private readonly _claimBatcher: ClaimBatcher;
	private readonly _subscriptions: SubscriptionService;
	private readonly _relayReportReceiver: RelayReportReceiver;
	private readonly _reportExchange: ReportExchange;
	private _operatorServer: OperatorServer | undefined;
	private _ownStatus: MemberStatus;

	private constructor(
		private readonly _options: KeeperOptions,
		private readonly _stateMachine: KeeperStateMachine,
		private readonly _listener: FrameListener,
		private readonly _replicatedLog: IKeeperLog,
		limits: ConnectionLimits,
	) {
		super();
		const { settings, identity, logService } = _options;
		const clock = _options.clock ?? monotonicClock;
		this._metrics = _options.metrics ?? new KeeperMetrics(nullMetricsService);
		this._clock = clock;
		this._startedAtMs = clock.nowMs();
		this._startedWithoutState = _stateMachine.historyId === '';
		this._ownStatus = createInitialStatus(settings);
		this._register(_listener);
		this._register(_replicatedLog);
		this._claimBatcher = this._register(new ClaimBatcher(_replicatedLog, logService, this._metrics));
		this._relayReportReceiver = this._register(
			new RelayReportReceiver(settings.processId, this._registry, clock),
		);
		this._subscriptions = this._register(
			new SubscriptionService({
				ownId: settings.processId,
				source: createStateSource(_stateMachine),
				registry: this._registry,
				clock,
				log: logService,
				getMaxStateAgeMs: () => _replicatedLog.getMaxStateAgeMs(),
				maxSubscribers: Infinity,
				handleKeeperMessage: (connection, message) => this._handleKeeperMessage(connection, message),
			}),
		);
		this._reportExchange = this._register(
			new ReportExchange({
				keeperId: settings.processId,
				replicatedLog: _replicatedLog,
				registry: this._registry,
				clock,
				connection: { identity: { ...identity, role: 'reporter' }, secret: settings.sharedSecret, limits },
			}),
		);
		this._registerListeners();
	}

	/**
	 * Starts a keeper and resolves once both of its addresses are listening.
	 *
	 * @throws TransportError if an address can't be bound, and any error from `openLog`, such as for unusable files
	 * @example
	 * const keeper = await KeeperDaemon.start({ settings, identity, events, openLog });
	 */
	static async start(options: KeeperOptions): Promise<KeeperDaemon> {
		const { settings, identity } = options;
		const limits = options.limits ?? defaultConnectionLimits;
		const stateMachine = new KeeperStateMachine();
		const listener = await FrameListener.listen(settings.peerAddress, {
			identity,
			secret: settings.sharedSecret,
			limits,
		});
		// Messages can't be handled before the log is open. Peers whose connection is closed here will reconnect.
		const earlyConnectionListener = listener.onDidConnect((connection) => {
			connection.dispose();
		});
		let daemon: KeeperDaemon;
		try {
			const log = await options.openLog(stateMachine, listener.address);
			earlyConnectionListener.dispose();
			daemon = new KeeperDaemon(options, stateMachine, listener, log, limits);
		} catch (error) {
			listener.dispose();
			throw error;
		}
		try {
			await daemon._startOperatorServer();
		} catch (error) {
			daemon.dispose();
			throw error;
		}
		return daemon;
	}

	/** Address that keepers, entries and agents connect to. */
	get peerAddress(): string {
		return this._listener.address;
	}

	/** Address of the operators' interface; empty before it listens. */
	get operatorAddress(): string {
		return this._operatorServer?.address ?? '';
	}

	/** Transfers leadership, lets subscribers move to other keepers, and answers the claims in flight. */
	async drain(): Promise<void> {
		this._ownStatus = { ...this._ownStatus, isDraining: true };
		this._updateOwnRecord();
		await this._operatorServer?.drain();
		await this._replicatedLog.transferLeadership(leadershipTransferTimeoutMs);
		this._subscriptions.askSubscribersToMove();
		const moveDeadlineMs = this._clock.nowMs() + subscriberMoveTimeoutMs;
		while (this._subscriptions.size > 0 && this._hasOtherKeepers() && this._clock.nowMs() < moveDeadlineMs) {
			await new Promise<void>((resolve) => setTimeout(resolve, 10));
		}
		await this._claimBatcher.flush();
	}

	/** Returns the status of the system, as this keeper knows it. */
	status(): SystemStatus {
		const nowMs = this._clock.nowMs();
		return createSystemStatus({
			keeperId: this._options.settings.processId,
			replica: this._replicatedLog.status,
			stateMachine: this._stateMachine,
			ageMs: this._getBoundedAgeMs(),
			processes: this._registry.listProcesses(nowMs, this._options.settings.memberLeaseMs),
			silentKeepers: this._reportExchange.silentKeepers(),
			uptimeMs: nowMs - this._startedAtMs,
			startedWithoutState: this._startedWithoutState,
			nowMs,
		});
	}

	/** Connects the parts of the keeper by their events, and starts the timers. */
	private _registerListeners(): void {
		const { settings, logService } = this._options;
		const leaderDuties = this._register(
			new LeaderDuties({
				replicatedLog: this._replicatedLog,
				stateMachine: this._stateMachine,
				registry: this._registry,
				clock: this._clock,
				logService,
				memberLeaseMs: settings.memberLeaseMs,
				claimRetentionMs: settings.claimRetentionMs,
			}),
		);
		this._register(
			this._listener.onDidConnect((connection) => {
				this._acceptConnection(connection);
			}),
		);
		this._register(
			this._listener.onDidRefuse((reason) => {
				logService.warn('connection.refused', { reason });
			}),
		);
		this._register(
			this._subscriptions.onDidChangeMembers(() => {
				this._reportExchange.scheduleReport();
				leaderDuties.tick();
			}),
		);
		this._register(
			this._relayReportReceiver.onDidReceive(() => {
				this._reportExchange.scheduleReport();
			}),
		);
		this._register(
			this._reportExchange.onDidReceive(() => {
				leaderDuties.tick();
			}),
		);
		this._register(
			this._replicatedLog.onDidApply(() => {
				this._publishState();
			}),
		);
		this._register(
			this._replicatedLog.onDidChangeStatus(({ role, term, leaderId }) => {
				this._metrics.countLeaderChange({ leaderId });
				logService.info('keeper.roleChanged', { replicaRole: role, term, leaderId });
				if (role === 'stopped') {
					this._onDidStop.fire(undefined);
				}
			}),
		);
		const ownRecordTimer = setInterval(() => {
			this._updateOwnRecord();
		}, ownRecordIntervalMs);
		// The leader may have become known while the log was being opened.
		this._metrics.countLeaderChange(this._replicatedLog.status);
		const gaugeTimer = setInterval(() => {
			this._sendGauges();
		}, gaugeIntervalMs);
		this._register({
			dispose: () => {
				clearInterval(ownRecordTimer);
				clearInterval(gaugeTimer);
			},
		});
		this._updateOwnRecord();
	}

	/** Passes a new connection on by the role of its peer. */
	private _acceptConnection(connection: IConnection): void {
		if (connection.peer.role === 'keeper') {
			this._replicatedLog.acceptPeer(connection);
			return;
		}
		if (connection.peer.role === 'reporter') {
			this._reportExchange.accept(connection);
			return;
		}
		this._subscriptions.accept(connection);
	}

	/**
	 * Handles messages that only keepers serve: claims, releases, and entries' reports about their agents. Returns
	 * false if the sender may not send the message.
	 */
	private _handleKeeperMessage(connection: IConnection, message: KeeperOnlyMessage): boolean {
		if (message.kind === 'claim') {
			this._claimBatcher.claim(connection, message.claims);
			return true;
		}
		if (message.kind === 'releaseClaims') {
			this._claimBatcher.release(connection, message.claims);
			return true;
		}
		return this._relayReportReceiver.receive(connection, message);
	}

	/** Sends the current state to the subscribers, and reports the keeper's own revision if it has changed. */
	private _publishState(): void {
		this._subscriptions.publish();
		if (this._ownStatus.revisionInForce !== this._stateMachine.tableStore.tables.revision) {
			this._updateOwnRecord();
			this._reportExchange.scheduleReport();
		}
	}

	/**
	 * Updates the keeper's own record in the registry of processes. A keeper is one of the processes that must have a
	 * revision in force.
	 */
	private _updateOwnRecord(): void {
		const revision = this._stateMachine.tableStore.tables.revision;
		const previousRevision = this._ownStatus.revisionInForce;
		if (previousRevision !== revision) {
			this._options.logService.info('tables.inForce', { revision, previousRevision });
			this._ownStatus = { ...this._ownStatus, revisionInForce: revision };
		}
		const { processId, incarnation } = this._options.identity;
		this._registry.put({
			processId,
			role: 'keeper',
			incarnation,
			keeperId: processId,
			subscribedAtMs: this._startedAtMs,
			heardAtMs: this._clock.nowMs(),
			hasLeft: false,
			ageMs: this._getBoundedAgeMs(),
			status: this._ownStatus,
		});
	}

	private _sendGauges(): void {
		this._metrics.sendGauges({
			replica: this._replicatedLog.status,
			revision: this._stateMachine.tableStore.tables.revision,
			epoch: this._stateMachine.directory.epoch,
			ageMs: this._getBoundedAgeMs(),
			subscriberCount: this._subscriptions.size,
			storedClaimCount: this._stateMachine.claimCount,
			queuedClaimCount: this._claimBatcher.queueLength,
		});
	}

	private _hasOtherKeepers(): boolean {
		return this._replicatedLog.status.members.length > 1;
	}

	/** Returns the maximum possible age of the state, or undefined if no quorum has confirmed it. */
	private _getBoundedAgeMs(): number | undefined {
		const ageMs = this._replicatedLog.getMaxStateAgeMs();
		return Number.isFinite(ageMs) ? ageMs : undefined;
	}

	private async _startOperatorServer(): Promise<void> {
		const { settings, logService } = this._options;
		const operatorServer = await OperatorServer.listen(settings.operatorAddress, {
			token: settings.operatorToken,
			replicatedLog: this._replicatedLog,
			stateMachine: this._stateMachine,
			logService,
			getStatus: () => this.status(),
			getShortestDrain: () => this._registry.findShortestDrain(),
			getBoundedAgeMs: () => this._getBoundedAgeMs(),
		});
		this._operatorServer = this._register(operatorServer);
	}
}

/** Returns the keeper's status before its state has been read from disk. */
function createInitialStatus({ dataCentre, rack }: KeeperSettings): MemberStatus {
	return { dataCentre, rack, isDraining: false, revisionInForce: 0 };
}

/** Returns the view of the replicated state that subscribers are served from. */
function createStateSource(stateMachine: KeeperStateMachine): IStateSource {
	return {
		get historyId() {
			return stateMachine.historyId;
		},
		get tables() {
			return stateMachine.tableStore.tables;
		},
		get directory() {
			return stateMachine.directory;
		},
		deltasSince: (revision, maxDeltas) => stateMachine.tableStore.deltasSince(revision, maxDeltas),
	};
}
