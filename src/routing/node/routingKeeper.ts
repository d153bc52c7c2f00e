/** Keeper of the routing: runs the replicated log, maintains the group size, and serves the routing to subscribers. */

import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { ClusterView } from '../../cluster/common/clusterMessages.js';
import { ViewServer, type IViewSource } from '../../cluster/node/viewServer.js';
import { planGroupChange, type GroupRules } from '../../replication/common/groupPlan.js';
import { ProposeError } from '../../replication/common/replicatedLog.js';
import { ReplicatedLog } from '../../replication/node/replicatedLog.js';
import type { InitialMember } from '../../replication/node/replicatedLogOptions.js';
import type { IDaemon } from '../../services/daemon/node/daemon.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import {
	decodeRoutingResult,
	encodeRoutingCommand,
	RoutingStateMachine,
	type PublishedRouting,
	type RoutingResult,
} from '../common/routingStateMachine.js';

/** Interval at which the group membership is checked against the {@link GroupRules}. */
const groupCheckIntervalMs = 200;
/** Time limit of a membership change. */
const memberChangeTimeoutMs = 1000;
/** Time limit of the leadership transfer in a drain. */
const leadershipTransferTimeoutMs = 1000;
/** Time limit for another keeper to take this one's vote in a drain. */
const leaveTimeoutMs = 2500;
/** Log size at which a snapshot is taken. Four snapshots of this size fit on a disk of 128 MB beside the log. */
const snapshotAfterBytes = 8 * 1024 * 1024;
/** Log entries that are kept after a snapshot; the number is low because documents may be large. */
const trailingEntries = 64;

/** Options of a {@link RoutingKeeper}. */
export interface RoutingKeeperOptions {
	readonly processId: string;
	/** Listening address for the other processes. */
	readonly address: string;
	readonly dataFolder: string;
	/** Members of the group at its first start. */
	readonly initialMembers: readonly InitialMember[];
	/** Whether the keeper may form a new group; true only when the whole system starts for the first time. */
	readonly mayForm: boolean;
	readonly group: GroupRules;
	readonly electionTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	readonly connection: ConnectionOptions;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Publishes and reads the routing through any keeper of the group. */
export interface IRoutingKeeper {
	/** Puts a document in force, unless the same or a higher version is in force. */
	publish(published: PublishedRouting, timeoutMs: number): Promise<Result<RoutingResult, ProposeError>>;
	/** Reads the document that was in force at some time during the call; `undefined` before the first document. */
	readLatest(timeoutMs: number): Promise<Result<PublishedRouting | undefined, ProposeError>>;
}

/** Running keeper of the routing. */
export class RoutingKeeper extends Disposable implements IRoutingKeeper, IDaemon, IViewSource {
	private readonly _onDidChangeView = this._register(new Emitter<undefined>());
	readonly onDidChangeView = this._onDidChangeView.event;

	private readonly _onDidChangeRouting = this._register(new Emitter<undefined>());
	readonly onDidChangeRouting = this._onDidChangeRouting.event;

	private readonly _onDidStop = this._register(new Emitter<undefined>());
	/** Fires when the replicated log has stopped, for example after a failed write. The process must then end. */
	readonly onDidStop = this._onDidStop.event;

	private readonly _viewServer: ViewServer;
	private _isChangingGroup = false;

	private constructor(
		private readonly _options: RoutingKeeperOptions,
		private readonly _stateMachine: RoutingStateMachine,
		private readonly _replicatedLog: ReplicatedLog,
		listener: FrameListener,
	) {
		super();
		this._register(listener);
		this._register(_replicatedLog);
		this._viewServer = this._register(new ViewServer(this));
		this._registerListeners(listener);
	}

	/**
	 * Starts a keeper and resolves once it accepts connections.
	 *
	 * @throws TransportError when the address can't be bound, StorageError when the files can't be used
	 * @example
	 * const keeper = await RoutingKeeper.start(options);
	 */
	static async start(options: RoutingKeeperOptions): Promise<RoutingKeeper> {
		const stateMachine = new RoutingStateMachine();
		const listener = await FrameListener.listen(options.address, options.connection);
		// Messages can't be handled before the log is open. Earlier connections are closed, and the peers reconnect.
		const earlyConnectionListener = listener.onDidConnect((connection) => {
			connection.dispose();
		});
		const replicatedLog = await ReplicatedLog.open({
			...options,
			address: listener.address,
			stateMachine,
			random: Math.random,
			locksFolder: false,
			snapshotAfterBytes,
			trailingEntries,
		});
		earlyConnectionListener.dispose();
		return new RoutingKeeper(options, stateMachine, replicatedLog, listener);
	}

	view(): ClusterView {
		const { members } = this._replicatedLog.status;
		const knownMembers = members.length > 0 ? members : this._options.initialMembers;
		return {
			keepers: knownMembers.map(({ address }) => ({ address, silentMs: 0 })),
			entries: this._viewServer.entries.map((entry) => ({ ...entry, silentMs: 0 })),
		};
	}

	routing(): { readonly version: number; readonly document: Uint8Array } | undefined {
		const { published } = this._stateMachine;
		return published === undefined ? undefined : { version: published.version, document: published.document };
	}

	async publish(
		published: PublishedRouting,
		timeoutMs: number,
	): Promise<Result<RoutingResult, ProposeError>> {
		const command = encodeRoutingCommand({ kind: 'publish', published });
		const answer = await this._replicatedLog.propose(command, timeoutMs);
		return answer.isOk() ? Ok(decodeRoutingResult(answer.value)) : Err(answer.error);
	}

	async readLatest(timeoutMs: number): Promise<Result<PublishedRouting | undefined, ProposeError>> {
		const deadlineMs = this._options.clock.nowMs() + timeoutMs;
		const answer = await this._replicatedLog.propose(encodeRoutingCommand({ kind: 'read' }), timeoutMs);
		if (answer.isErr()) {
			return Err(answer.error);
		}
		const { version } = decodeRoutingResult(answer.value);
		// If the leader is another keeper, it applies the read before this keeper does.
		while ((this._stateMachine.published?.version ?? 0) < version) {
			if (this._options.clock.nowMs() >= deadlineMs) {
				return Err(
					new ProposeError(
						'noLeader',
						'This keeper has not applied the latest document yet. Retry the request.',
					),
				);
			}
			await new Promise((resolve) => setTimeout(resolve, 5));
		}
		return Ok(this._stateMachine.published);
	}

	/** Returns the current values of the metrics. */
	metrics(): Readonly<Record<string, number>> {
		const { role, term, commitIndex, members } = this._replicatedLog.status;
		const ageMs = this._replicatedLog.getMaxStateAgeMs();
		return {
			isLeader: role === 'leader' ? 1 : 0,
			term,
			commitIndex,
			members: members.length,
			version: this._stateMachine.published?.version ?? 0,
			entries: this._viewServer.entries.length,
			// An unbounded age is infinite, which is not reported.
			...(Number.isFinite(ageMs) ? { ageMs } : {}),
		};
	}

	async drain(): Promise<void> {
		await this._replicatedLog.transferLeadership(leadershipTransferTimeoutMs);
		const { members } = this._replicatedLog.status;
		if (members.length > this._options.group.targetVoters) {
			const hasLeft = await this._replicatedLog.leave(leaveTimeoutMs);
			this._options.log.info('group.left', { hasLeft, members: members.length });
		}
	}

	private _registerListeners(listener: FrameListener): void {
		const { log } = this._options;
		this._register(
			listener.onDidConnect((connection) => {
				this._acceptConnection(connection);
			}),
		);
		this._register(
			this._viewServer.onDidChangeEntries(() => {
				this._onDidChangeView.fire(undefined);
			}),
		);
		let lastVersion = this.routing()?.version;
		this._register(
			this._replicatedLog.onDidApply(() => {
				const version = this.routing()?.version;
				if (version !== lastVersion) {
					log.info('routing.inForce', { version, previousVersion: lastVersion });
					lastVersion = version;
					this._onDidChangeRouting.fire(undefined);
				}
			}),
		);
		this._register(
			this._replicatedLog.onDidChangeStatus(({ role }) => {
				if (role === 'stopped') {
					this._onDidStop.fire(undefined);
					return;
				}
				this._onDidChangeView.fire(undefined);
			}),
		);
		const timer = setInterval(() => {
			this._adjustGroup().catch((error: unknown) => {
				log.error('group.changeFailed', { message: describeError(error) });
			});
		}, groupCheckIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	private _acceptConnection(connection: IConnection): void {
		if (connection.peer.role === 'keeper') {
			this._replicatedLog.acceptPeer(connection);
			return;
		}
		this._viewServer.accept(connection);
	}

	private async _adjustGroup(): Promise<void> {
		const health = this._replicatedLog.groupHealth;
		if (health === undefined || this._isChangingGroup) {
			return;
		}
		const change = planGroupChange(health, this._options.group);
		if (change === undefined) {
			return;
		}
		this._isChangingGroup = true;
		try {
			const result = await this._replicatedLog.changeMember(change, memberChangeTimeoutMs);
			const processId = change.action === 'addLearner' ? change.member.processId : change.processId;
			const outcome = result.isOk() ? 'done' : result.error.message;
			this._options.log.info('group.changed', { action: change.action, processId, outcome });
		} finally {
			this._isChangingGroup = false;
		}
	}
}
