/** Connections between this keeper and the other keepers. */

import { Disposable, DisposableStore, type IDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';

/** A message and the processId of the keeper that sent it. */
export interface PeerMessage {
	readonly from: string;
	readonly message: Message;
}

/** A keeper to connect to. */
export interface PeerAddress {
	readonly processId: string;
	readonly address: string;
}

interface OutgoingConnection {
	readonly address: string;
	readonly connector: FrameConnector;
}

/** Keeps an outgoing connection to each other keeper and accepts the connections that they open. */
export class PeerConnections extends Disposable {
	private readonly _onDidReceive = this._register(new Emitter<PeerMessage>());
	readonly onDidReceive = this._onDidReceive.event;

	private readonly _onDidConnect = this._register(new Emitter<string>());
	/** Fires with the processId of a keeper when an outgoing connection to it opens. */
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _onDidDisconnect = this._register(new Emitter<string>());
	/** Fires with the processId of a keeper when a connection with it closes, whichever side opened it. */
	readonly onDidDisconnect = this._onDidDisconnect.event;

	private readonly _outgoing = new Map<string, OutgoingConnection>();
	private readonly _incoming = new Map<string, IConnection>();
	private readonly _connectors = this._register(new DisposableStore());

	constructor(
		private readonly _processId: string,
		private readonly _options: ConnectionOptions,
	) {
		super();
	}

	/** Opens connections to keepers that are new in the list and closes those to keepers that are no longer in it. */
	setPeers(peers: readonly PeerAddress[]): void {
		const addresses = new Map(peers.map((peer) => [peer.processId, peer.address]));
		addresses.delete(this._processId);
		for (const [processId, { address, connector }] of this._outgoing) {
			if (addresses.get(processId) !== address) {
				this._outgoing.delete(processId);
				this._connectors.delete(connector);
			}
		}
		for (const [processId, address] of addresses) {
			if (!this._outgoing.has(processId)) {
				this._connect(processId, address);
			}
		}
	}

	/** Accepts a connection that another keeper opened. */
	accept(connection: IConnection): void {
		const { processId } = connection.peer;
		this._incoming.set(processId, connection);
		this._receiveFrom(processId, connection);
		connection.onDidClose(() => {
			if (this._incoming.get(processId) === connection) {
				this._incoming.delete(processId);
			}
			this._onDidDisconnect.fire(processId);
		});
	}

	/**
	 * Sends on the outgoing connection or, without one, on the connection that the peer opened. Returns whether the
	 * message was sent.
	 */
	send(to: string, message: Message): boolean {
		const outgoing = this._outgoing.get(to)?.connector.connection;
		return (outgoing ?? this._incoming.get(to))?.send(message) ?? false;
	}

	private _connect(processId: string, address: string): void {
		const connector = this._connectors.add(new FrameConnector(address, this._options));
		this._outgoing.set(processId, { address, connector });
		connector.onDidConnect((connection) => {
			// Another process may now listen on the address; its messages must not count as the member's.
			if (connection.peer.processId !== processId || connection.peer.role !== 'keeper') {
				connection.dispose();
				return;
			}
			this._receiveFrom(processId, connection);
			connection.onDidClose(() => {
				this._onDidDisconnect.fire(processId);
			});
			this._onDidConnect.fire(processId);
		});
	}

	private _receiveFrom(processId: string, connection: IConnection): IDisposable {
		return connection.onDidReceive((message) => {
			this._onDidReceive.fire({ from: processId, message });
		});
	}
}
