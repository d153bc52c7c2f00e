/** Connections to the other keepers. */

import { Disposable, DisposableStore, type IDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';

/** A message and the keeper it came from. */
export interface PeerMessage {
	readonly from: string;
	readonly message: Message;
}

/** A keeper to connect to. */
export interface PeerAddress {
	readonly processId: string;
	readonly address: string;
}

interface Outgoing {
	readonly address: string;
	readonly connector: FrameConnector;
}

/** Keeps a connection to each other keeper, and takes theirs. */
export class PeerLinks extends Disposable {
	private readonly _onDidReceive = this._register(new Emitter<PeerMessage>());
	readonly onDidReceive = this._onDidReceive.event;

	private readonly _onDidConnect = this._register(new Emitter<string>());
	/** Fires with the processId of a keeper to which a connection was opened. */
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _onDidDisconnect = this._register(new Emitter<string>());
	/** Fires with the processId of a keeper when a connection with it is lost. */
	readonly onDidDisconnect = this._onDidDisconnect.event;

	private readonly _outgoing = new Map<string, Outgoing>();
	private readonly _incoming = new Map<string, IConnection>();
	private readonly _connections = this._register(new DisposableStore());

	constructor(
		private readonly _processId: string,
		private readonly _options: ConnectionOptions,
	) {
		super();
	}

	/** Connects to keepers that are new in the list and leaves those that are gone from it. */
	setPeers(peers: readonly PeerAddress[]): void {
		const wanted = new Map(peers.map((peer) => [peer.processId, peer.address]));
		wanted.delete(this._processId);
		for (const [processId, { address, connector }] of this._outgoing) {
			if (wanted.get(processId) !== address) {
				this._outgoing.delete(processId);
				this._connections.delete(connector);
			}
		}
		for (const [processId, address] of wanted) {
			if (!this._outgoing.has(processId)) {
				this._connect(processId, address);
			}
		}
	}

	/** Takes a connection that another keeper opened. */
	accept(connection: IConnection): void {
		const { processId } = connection.peer;
		this._incoming.set(processId, connection);
		this._listen(processId, connection);
		connection.onDidClose(() => {
			if (this._incoming.get(processId) === connection) {
				this._incoming.delete(processId);
			}
			this._onDidDisconnect.fire(processId);
		});
	}

	/** Sends on the own connection, or on the peer's when there is no own one. Returns whether there was any. */
	send(to: string, message: Message): boolean {
		const own = this._outgoing.get(to)?.connector.connection;
		return (own ?? this._incoming.get(to))?.send(message) ?? false;
	}

	private _connect(processId: string, address: string): void {
		const connector = this._connections.add(new FrameConnector(address, this._options));
		this._outgoing.set(processId, { address, connector });
		connector.onDidConnect((connection) => {
			// Another process may have taken the address; its messages would be taken for the member's.
			if (connection.peer.processId !== processId || connection.peer.role !== 'keeper') {
				connection.dispose();
				return;
			}
			this._listen(processId, connection);
			connection.onDidClose(() => {
				this._onDidDisconnect.fire(processId);
			});
			this._onDidConnect.fire(processId);
		});
	}

	private _listen(processId: string, connection: IConnection): IDisposable {
		return connection.onDidReceive((message) => {
			this._onDidReceive.fire({ from: processId, message });
		});
	}
}
