/** Connections of an agent to the entries in the directory of the keepers. */

import { Disposable, DisposableStore, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type { EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import { isEntryToAgentMessage } from '../common/entryMessageValidation.js';

/**
 * Time for which the connection to an entry is kept after the entry has left the directory: it may be alive but cut
 * off from the keepers, and its readers may still wait for outcomes.
 */
const removalDelayMs = 30_000;

/** Connection to an entry that has opened. */
export interface EntryConnectEvent {
	readonly connectionId: number;
	readonly entryId: string;
	readonly incarnation: string;
}

/** Message that was received from an entry. */
export interface EntryMessageEvent {
	readonly connectionId: number;
	readonly message: EntryToAgentMessage;
}

/** Connector to one entry of the directory. */
interface EntryConnector {
	readonly address: string;
	/** Holds the connector; disposing it closes the connection. */
	readonly store: DisposableStore;
	/** Timer that removes the connector; set while the entry is missing from the directory. */
	removalTimer: NodeJS.Timeout | undefined;
}

/** Keeps one connection open to each entry, and gives each connection an identifier. */
export class EntryConnections extends Disposable {
	private readonly _onDidConnect = this._register(new Emitter<EntryConnectEvent>());
	/** Fires when a connection has opened. */
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _onDidClose = this._register(new Emitter<number>());
	/** Fires with the identifier of a connection that has closed. */
	readonly onDidClose = this._onDidClose.event;

	private readonly _onDidReceive = this._register(new Emitter<EntryMessageEvent>());
	/** Fires with each valid message of an entry. */
	readonly onDidReceive = this._onDidReceive.event;

	/** Connectors by the process identifier of the entry. */
	private readonly _connectors = new Map<string, EntryConnector>();
	/** Open connections by identifier. */
	private readonly _connections = new Map<number, IConnection>();
	private _nextConnectionId = 1;

	constructor(
		private readonly _options: ConnectionOptions,
		private readonly _log: ILogService,
	) {
		super();
		this._register(
			toDisposable(() => {
				for (const entryId of [...this._connectors.keys()]) {
					this._removeConnector(entryId);
				}
			}),
		);
	}

	/** Connects to new entries, and schedules the disconnection of those that are no longer in the directory. */
	updateEntries(entries: readonly EntryMember[]): void {
		const currentEntryIds = new Set<string>();
		for (const entry of entries) {
			currentEntryIds.add(entry.processId);
			this._ensureConnector(entry);
		}
		for (const [entryId, connector] of this._connectors) {
			if (!currentEntryIds.has(entryId)) {
				connector.removalTimer ??= setTimeout(() => {
					this._removeConnector(entryId);
				}, removalDelayMs);
			}
		}
	}

	/** Sends a message on a connection; returns false when the connection is closed. */
	send(connectionId: number, message: Message): boolean {
		return this._connections.get(connectionId)?.send(message) ?? false;
	}

	/** Closes each connection after all sent messages have been passed to the network. */
	endAll(): void {
		for (const connection of this._connections.values()) {
			connection.end();
		}
	}

	/** Connects to an entry unless it is connected to at this address already, and cancels its removal. */
	private _ensureConnector(entry: EntryMember): void {
		const existing = this._connectors.get(entry.processId);
		if (existing?.address === entry.peerAddress) {
			clearTimeout(existing.removalTimer);
			existing.removalTimer = undefined;
			return;
		}
		this._removeConnector(entry.processId);
		const store = new DisposableStore();
		const frameConnector = store.add(new FrameConnector(entry.peerAddress, this._options));
		store.add(
			frameConnector.onDidConnect((connection) => {
				this._handleConnection(connection);
			}),
		);
		this._connectors.set(entry.processId, { address: entry.peerAddress, store, removalTimer: undefined });
	}

	private _removeConnector(entryId: string): void {
		const connector = this._connectors.get(entryId);
		if (connector === undefined) {
			return;
		}
		this._connectors.delete(entryId);
		clearTimeout(connector.removalTimer);
		connector.store.dispose();
	}

	private _handleConnection(connection: IConnection): void {
		const connectionId = this._nextConnectionId;
		this._nextConnectionId += 1;
		this._connections.set(connectionId, connection);
		const { processId: entryId, incarnation } = connection.peer;
		connection.onDidReceive((message) => {
			if (isEntryToAgentMessage(message)) {
				this._onDidReceive.fire({ connectionId, message });
				return;
			}
			this._log.warn('entry.malformedMessage', { entryId, kind: message.kind });
			connection.dispose();
		});
		connection.onDidClose((reason) => {
			this._connections.delete(connectionId);
			this._log.info('entry.disconnected', { entryId, reason });
			this._onDidClose.fire(connectionId);
		});
		this._log.info('entry.connected', { entryId, incarnation });
		this._onDidConnect.fire({ connectionId, entryId, incarnation });
	}
}
