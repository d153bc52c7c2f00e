/** Follows the cluster membership and the routing document in force, starting from seed addresses. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import { isRoutingMessage, isRoutingVersionMessage, readView } from '../common/clusterMessageChecks.js';
import type { ClusterView, EntryAddress, ViewMessage } from '../common/clusterMessages.js';
import { MemberTable } from '../common/memberTable.js';

/** Interval at which expired members are removed and unanswered routing fetches are repeated. */
const maintenanceIntervalMs = 250;
/** Time without an answer to a routing fetch after which another server may be asked. */
const routingFetchTimeoutMs = 400;

/** Options of a {@link ClusterClient}. */
export interface ClusterClientOptions {
	readonly connection: ConnectionOptions;
	/** Address at which other processes reach this one; absent for processes that do not listen. */
	readonly ownAddress?: string | undefined;
	/** Whether this process fetches routing documents; if so, it connects to entries too, since they also serve them. */
	readonly followsRouting: boolean;
	readonly clock: IClock;
	readonly log: ILogService;
}

interface Server {
	readonly address: string;
	readonly connector: FrameConnector;
	/** Routing version in force at the server; 0 while unknown. */
	routingVersion: number;
	routingFetchSentMs: number;
}

/** Keeps a connection to each known view server: every keeper, and every entry if the routing is followed. */
export class ClusterClient extends Disposable {
	private readonly _onDidChangeView = this._register(new Emitter<undefined>());
	readonly onDidChangeView = this._onDidChangeView.event;

	private readonly _onDidChangeRouting = this._register(new Emitter<undefined>());
	readonly onDidChangeRouting = this._onDidChangeRouting.event;

	private readonly _onDidConnectToEntry = this._register(new Emitter<IConnection>());
	/** Fires for each new connection to another entry. */
	readonly onDidConnectToEntry = this._onDidConnectToEntry.event;

	private readonly _servers = new Map<string, Server>();
	private readonly _members = new MemberTable();
	private _seeds: readonly string[] = [];
	private _routing: { readonly version: number; readonly document: Uint8Array } | undefined;

	constructor(private readonly _options: ClusterClientOptions) {
		super();
		const timer = setInterval(() => {
			this._runMaintenance();
		}, maintenanceIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				for (const server of this._servers.values()) {
					server.connector.dispose();
				}
			}),
		);
	}

	/** Newest encoded routing document that this process has received. The version never decreases. */
	get routing(): { readonly version: number; readonly document: Uint8Array } | undefined {
		return this._routing;
	}

	/** Addresses of keepers: the seeds and the keepers in received views. */
	get keepers(): readonly string[] {
		return [...new Set([...this._seeds, ...this._members.keepers])];
	}

	/** Known entries with recent contact, excluding this process. */
	get entries(): readonly EntryAddress[] {
		return this._members.entries;
	}

	/** Creates the membership view of this process. */
	createView(): ClusterView {
		return this._members.createView(this._options.clock.nowMs());
	}

	/** Sends a message to every connected entry. */
	broadcastToEntries(message: Message): void {
		for (const connection of this._getEntryConnections()) {
			connection.send(message);
		}
	}

	/** Number of connected entries. */
	get connectedEntryCount(): number {
		return this._getEntryConnections().length;
	}

	private _getEntryConnections(): readonly IConnection[] {
		return [...this._servers.values()].flatMap(({ connector: { connection } }) =>
			connection?.peer.role === 'entry' ? [connection] : [],
		);
	}

	/** Replaces the seed addresses. */
	setSeeds(seeds: readonly string[]): void {
		this._seeds = seeds;
		// Treats the seeds as contacted just now, so that they do not expire at once.
		this.mergeView({ keepers: seeds.map((address) => ({ address, silentMs: 0 })), entries: [] });
	}

	/** Merges the membership view of another process and updates the connections. Ignores members that can't be read. */
	mergeView(received: ClusterView): void {
		const {
			view: { keepers, entries },
			unreadableCount,
		} = readView(received);
		if (unreadableCount > 0) {
			this._options.log.warn('cluster.membersIgnored', { unreadable: unreadableCount });
		}
		const others = entries.filter(({ address }) => address !== this._options.ownAddress);
		const hasNewMember = this._members.merge({ keepers, entries: others }, this._options.clock.nowMs());
		this._updateConnections();
		if (hasNewMember) {
			this._onDidChangeView.fire(undefined);
		}
	}

	private _updateConnections(): void {
		if (this._isDisposed) {
			return;
		}
		const wantedAddresses = new Set(this.keepers);
		if (this._options.followsRouting) {
			for (const { address } of this.entries) {
				wantedAddresses.add(address);
			}
		}
		for (const address of wantedAddresses) {
			if (address !== this._options.ownAddress && !this._servers.has(address)) {
				this._servers.set(address, this._connectTo(address));
			}
		}
		for (const [address, server] of this._servers) {
			if (!wantedAddresses.has(address)) {
				server.connector.dispose();
				this._servers.delete(address);
			}
		}
	}

	private _connectTo(address: string): Server {
		const { connection: options, log, ownAddress } = this._options;
		const connector = new FrameConnector(address, options);
		const server: Server = { address, connector, routingVersion: 0, routingFetchSentMs: -Infinity };
		connector.onDidConnect((connection) => {
			log.info('cluster.serverConnected', { address, role: connection.peer.role });
			connection.onDidReceive((message) => {
				this._handleMessage(server, connection, message);
			});
			connection.onDidClose((reason) => {
				server.routingVersion = 0;
				log.warn('cluster.serverLost', { address, reason });
			});
			connection.send({ kind: 'subscribeView', address: ownAddress } as Message);
			if (connection.peer.role === 'entry') {
				this._onDidConnectToEntry.fire(connection);
			}
		});
		return server;
	}

	private _handleMessage(server: Server, connection: IConnection, message: Message): void {
		if (message.kind === 'clusterView') {
			this.mergeView(message as ViewMessage);
			return;
		}
		if (isRoutingVersionMessage(message)) {
			server.routingVersion = message.version;
			this._fetchRoutingIfBehind(server, connection);
			return;
		}
		if (isRoutingMessage(message)) {
			server.routingFetchSentMs = -Infinity;
			this._storeRoutingIfNewer(message.version, message.document);
			return;
		}
		this._options.log.warn('cluster.messageIgnored', { address: server.address, kind: message.kind });
	}

	private _fetchRoutingIfBehind(server: Server, connection: IConnection): void {
		const isBehind = server.routingVersion > (this._routing?.version ?? 0);
		if (!this._options.followsRouting || !isBehind) {
			return;
		}
		const nowMs = this._options.clock.nowMs();
		const isFetchPending = [...this._servers.values()].some(
			(other) =>
				nowMs - other.routingFetchSentMs < routingFetchTimeoutMs &&
				other.routingVersion >= server.routingVersion,
		);
		if (!isFetchPending) {
			server.routingFetchSentMs = nowMs;
			connection.send({ kind: 'fetchRouting' });
		}
	}

	private _storeRoutingIfNewer(version: number, document: Uint8Array): void {
		const previousVersion = this._routing?.version ?? 0;
		if (version <= previousVersion) {
			return;
		}
		this._routing = { version, document: new Uint8Array(document) };
		this._onDidChangeRouting.fire(undefined);
	}

	/** Repeats unanswered routing fetches, and removes expired members. */
	private _runMaintenance(): void {
		const nowMs = this._options.clock.nowMs();
		for (const server of this._servers.values()) {
			const { connection } = server.connector;
			if (connection !== undefined) {
				this._members.recordContact(server.address, nowMs);
				this._fetchRoutingIfBehind(server, connection);
			}
		}
		if (this._members.removeExpired(nowMs)) {
			this._updateConnections();
			this._onDidChangeView.fire(undefined);
		}
	}
}
