/** Follows the cluster from a few seed addresses: who the other processes are, and which routing is in force. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type { ClusterView, EntryAddress, ToSubscriberMessage } from '../common/clusterMessages.js';
import { MemberTable } from '../common/memberTable.js';

/** Time between looks at what can be forgotten, and what must be fetched again. */
const sweepIntervalMs = 250;
/** Time that a fetch of the routing may take before another server is asked. */
const fetchTimeoutMs = 400;

/** What a client is started with. */
export interface ClusterClientOptions {
	readonly connection: ConnectionOptions;
	/** Address that others reach this process at; absent for processes that listen to nobody. */
	readonly ownAddress?: string | undefined;
	/** Whether the routing is followed, and entries are asked for it as well as keepers. */
	readonly followsRouting: boolean;
	readonly clock: IClock;
	readonly log: ILogService;
}

interface Server {
	readonly address: string;
	readonly connector: FrameConnector;
	/** Version that is in force at the server; 0 while unknown. */
	version: number;
	fetchSentMs: number;
}

/** Keeps a connection to each known server of views. */
export class ClusterClient extends Disposable {
	private readonly _onDidChangeView = this._register(new Emitter<undefined>());
	readonly onDidChangeView = this._onDidChangeView.event;

	private readonly _onDidChangeRouting = this._register(new Emitter<undefined>());
	readonly onDidChangeRouting = this._onDidChangeRouting.event;

	private readonly _servers = new Map<string, Server>();
	private readonly _members = new MemberTable();
	private _seeds: readonly string[] = [];
	private _routing: { readonly version: number; readonly document: Uint8Array } | undefined;

	constructor(private readonly _options: ClusterClientOptions) {
		super();
		const timer = setInterval(() => {
			this._sweep();
		}, sweepIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				for (const server of this._servers.values()) {
					server.connector.dispose();
				}
			}),
		);
	}

	/** The routing in force, as far as this process has heard. It never goes back to an older version. */
	get routing(): { readonly version: number; readonly document: Uint8Array } | undefined {
		return this._routing;
	}

	/** Addresses of keepers: the seeds, and what servers tell. */
	get keepers(): readonly string[] {
		return [...new Set([...this._seeds, ...this._members.keepers])];
	}

	/** Entries that somebody was in touch with lately, without this process. */
	get entries(): readonly EntryAddress[] {
		return this._members.entries;
	}

	/** What this process knows of the others. */
	view(): ClusterView {
		return this._members.view(this._options.clock.nowMs());
	}

	/** Sends a message to every entry that is connected. */
	tellEntries(message: Message): void {
		for (const connection of this._entryConnections()) {
			connection.send(message);
		}
	}

	/** Entries that are connected. */
	get connectedEntries(): number {
		return this._entryConnections().length;
	}

	private _entryConnections(): readonly IConnection[] {
		return [...this._servers.values()].flatMap(({ connector: { connection } }) =>
			connection?.peer.role === 'entry' ? [connection] : [],
		);
	}

	/** Replaces the seed addresses. */
	setSeeds(seeds: readonly string[]): void {
		this._seeds = seeds;
		// Whoever set the seeds knows of these keepers now.
		this.takeView({ keepers: seeds.map((address) => ({ address, silentMs: 0 })), entries: [] });
	}

	/** Takes the view of another process. */
	takeView({ keepers, entries }: ClusterView): void {
		const others = entries.filter(({ address }) => address !== this._options.ownAddress);
		const isNew = this._members.take({ keepers, entries: others }, this._options.clock.nowMs());
		this._connect();
		if (isNew) {
			this._onDidChangeView.fire(undefined);
		}
	}

	private _connect(): void {
		if (this._isDisposed) {
			return;
		}
		const wanted = new Set(this.keepers);
		if (this._options.followsRouting) {
			for (const { address } of this.entries) {
				wanted.add(address);
			}
		}
		for (const address of wanted) {
			if (address !== this._options.ownAddress && !this._servers.has(address)) {
				this._servers.set(address, this._open(address));
			}
		}
		for (const [address, server] of this._servers) {
			if (!wanted.has(address)) {
				server.connector.dispose();
				this._servers.delete(address);
			}
		}
	}

	private _open(address: string): Server {
		const { connection: options, log, ownAddress } = this._options;
		const connector = new FrameConnector(address, options);
		const server: Server = { address, connector, version: 0, fetchSentMs: -Infinity };
		connector.onDidConnect((connection) => {
			log.info('cluster.serverConnected', { address, role: connection.peer.role });
			connection.onDidReceive((message) => {
				this._receive(server, connection, message);
			});
			connection.onDidClose((reason) => {
				server.version = 0;
				log.warn('cluster.serverLost', { address, reason });
			});
			connection.send({ kind: 'subscribeView', address: ownAddress } as Message);
		});
		return server;
	}

	private _receive(server: Server, connection: IConnection, received: Message): void {
		const message = received as ToSubscriberMessage;
		switch (message.kind) {
			case 'clusterView':
				this.takeView(message);
				return;
			case 'routingVersion':
				server.version = message.version;
				this._fetchWhenBehind(server, connection);
				return;
			case 'routing':
				server.fetchSentMs = -Infinity;
				this._takeRouting(message.version, message.document);
		}
	}

	private _fetchWhenBehind(server: Server, connection: IConnection): void {
		const isBehind = server.version > (this._routing?.version ?? 0);
		if (!this._options.followsRouting || !isBehind) {
			return;
		}
		const nowMs = this._options.clock.nowMs();
		const isAsked = [...this._servers.values()].some(
			(other) => nowMs - other.fetchSentMs < fetchTimeoutMs && other.version >= server.version,
		);
		if (!isAsked) {
			server.fetchSentMs = nowMs;
			connection.send({ kind: 'fetchRouting' });
		}
	}

	private _takeRouting(version: number, document: Uint8Array): void {
		const previousVersion = this._routing?.version ?? 0;
		if (version <= previousVersion) {
			return;
		}
		this._routing = { version, document: new Uint8Array(document) };
		this._onDidChangeRouting.fire(undefined);
	}

	/** Fetches again what was not answered, and forgets processes that nobody was in touch with for long. */
	private _sweep(): void {
		const nowMs = this._options.clock.nowMs();
		for (const server of this._servers.values()) {
			const { connection } = server.connector;
			if (connection !== undefined) {
				this._members.touch(server.address, nowMs);
				this._fetchWhenBehind(server, connection);
			}
		}
		if (this._members.forget(nowMs)) {
			this._connect();
			this._onDidChangeView.fire(undefined);
		}
	}
}
