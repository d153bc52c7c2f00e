/** A keeper of the routing: its replicated log, the group's size, and the processes that follow the routing. */

import { Err, Ok, type Result } from 'ts-results-es';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { ClusterView } from '../../cluster/common/clusterMessages.js';
import { ViewServer, type IViewSource } from '../../cluster/node/viewServer.js';
import { planGroup, type GroupRules } from '../../replication/common/groupPlan.js';
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

/** Time between looks at whether the group has its size. */
const groupIntervalMs = 200;
/** Time that a change of the group may take. */
const memberChangeTimeoutMs = 1000;
/** Time that the hand-over of the lead may take in a drain. */
const transferTimeoutMs = 1000;
/** Log size at which a snapshot is taken: four of them fit beside the log on a disk of 128 MB. */
const snapshotAfterBytes = 8 * 1024 * 1024;
/** Entries kept behind a snapshot; documents may be large. */
const trailingEntries = 64;

/** What a keeper of the routing is started with. */
export interface RoutingKeeperOptions {
	readonly processId: string;
	/** Address that the other processes connect to. */
	readonly address: string;
	readonly dataFolder: string;
	/** The group at its first start. */
	readonly initialMembers: readonly InitialMember[];
	/** Whether the whole system starts for the first time, so that a group may be formed. */
	readonly mayForm: boolean;
	readonly group: GroupRules;
	readonly electionTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	readonly connection: ConnectionOptions;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Publishes and reads the routing, on any keeper of the group. */
export interface IRoutingKeeper {
	/** Puts a document in force, unless a higher version is. */
	publish(published: PublishedRouting, timeoutMs: number): Promise<Result<RoutingResult, ProposeError>>;
	/** The document that was in force at some moment of the call; `undefined` before the first. */
	readNewest(timeoutMs: number): Promise<Result<PublishedRouting | undefined, ProposeError>>;
}

/** A running keeper of the routing. */
export class RoutingKeeper extends Disposable implements IRoutingKeeper, IDaemon, IViewSource {
	private readonly _onDidChangeView = this._register(new Emitter<undefined>());
	readonly onDidChangeView = this._onDidChangeView.event;

	private readonly _onDidChangeRouting = this._register(new Emitter<undefined>());
	readonly onDidChangeRouting = this._onDidChangeRouting.event;

	private readonly _onDidStop = this._register(new Emitter<undefined>());
	/** Fires when the log can't go on, such as after a failed write; the process must end. */
	readonly onDidStop = this._onDidStop.event;

	private readonly _views: ViewServer;
	private _isChangingGroup = false;

	private constructor(
		private readonly _options: RoutingKeeperOptions,
		private readonly _machine: RoutingStateMachine,
		private readonly _replicatedLog: ReplicatedLog,
		listener: FrameListener,
	) {
		super();
		this._register(listener);
		this._register(_replicatedLog);
		this._views = this._register(new ViewServer(this));
		this._wire(listener);
	}

	/**
	 * Starts a keeper and resolves once it listens.
	 *
	 * @throws TransportError when the address can't be bound, StorageError when the files can't be used
	 * @example
	 * const keeper = await RoutingKeeper.start(options);
	 */
	static async start(options: RoutingKeeperOptions): Promise<RoutingKeeper> {
		const machine = new RoutingStateMachine();
		const listener = await FrameListener.listen(options.address, options.connection);
		// Nobody handles messages before the log is open; peers that come earlier connect again.
		const refusing = listener.onDidConnect((connection) => {
			connection.dispose();
		});
		const replicatedLog = await ReplicatedLog.open({
			...options,
			address: listener.address,
			stateMachine: machine,
			random: Math.random,
			locksFolder: false,
			snapshotAfterBytes,
			trailingEntries,
		});
		refusing.dispose();
		return new RoutingKeeper(options, machine, replicatedLog, listener);
	}

	view(): ClusterView {
		const { members } = this._replicatedLog.status;
		const listed = members.length > 0 ? members : this._options.initialMembers;
		return {
			keepers: listed.map(({ address }) => ({ address, silentMs: 0 })),
			entries: this._views.entries.map((entry) => ({ ...entry, silentMs: 0 })),
		};
	}

	routing(): { readonly version: number; readonly document: Uint8Array } | undefined {
		const { published } = this._machine;
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

	async readNewest(timeoutMs: number): Promise<Result<PublishedRouting | undefined, ProposeError>> {
		const untilMs = this._options.clock.nowMs() + timeoutMs;
		const answer = await this._replicatedLog.propose(encodeRoutingCommand({ kind: 'read' }), timeoutMs);
		if (answer.isErr()) {
			return Err(answer.error);
		}
		const { version } = decodeRoutingResult(answer.value);
		// A leader elsewhere applies the read before this keeper does.
		while ((this._machine.published?.version ?? 0) < version) {
			if (this._options.clock.nowMs() >= untilMs) {
				return Err(
					new ProposeError('noLeader', 'This keeper has not applied the newest document yet; ask again.'),
				);
			}
			await new Promise((resolve) => setTimeout(resolve, 5));
		}
		return Ok(this._machine.published);
	}

	/** Levels for metrics. */
	levels(): Readonly<Record<string, number>> {
		const { role, term, commitIndex, members } = this._replicatedLog.status;
		const ageMs = this._replicatedLog.ageMs();
		return {
			isLeader: role === 'leader' ? 1 : 0,
			term,
			commitIndex,
			members: members.length,
			version: this._machine.published?.version ?? 0,
			entries: this._views.entries.length,
			// An age without a bound has no number.
			...(Number.isFinite(ageMs) ? { ageMs } : {}),
		};
	}

	async drain(): Promise<void> {
		await this._replicatedLog.transferLeadership(transferTimeoutMs);
	}

	private _wire(listener: FrameListener): void {
		const { log } = this._options;
		this._register(
			listener.onDidConnect((connection) => {
				this._accept(connection);
			}),
		);
		this._register(
			this._views.onDidChangeEntries(() => {
				this._onDidChangeView.fire(undefined);
			}),
		);
		let toldVersion = this.routing()?.version;
		this._register(
			this._replicatedLog.onDidApply(() => {
				const version = this.routing()?.version;
				if (version !== toldVersion) {
					log.info('routing.inForce', { version, previousVersion: toldVersion });
					toldVersion = version;
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
			this._keepGroup().catch((error: unknown) => {
				log.error('group.changeFailed', { message: describeError(error) });
			});
		}, groupIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	private _accept(connection: IConnection): void {
		if (connection.peer.role === 'keeper') {
			this._replicatedLog.acceptPeer(connection);
			return;
		}
		this._views.accept(connection);
	}

	private async _keepGroup(): Promise<void> {
		const health = this._replicatedLog.groupHealth;
		if (health === undefined || this._isChangingGroup) {
			return;
		}
		const change = planGroup(health, this._options.group);
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
