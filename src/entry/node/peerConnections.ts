/** Connections of an entry to its peers: agents, which connect to the entry, and other entries. */

import { Disposable, DisposableStore } from '../../base/common/disposable.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection, Message, PeerIdentity } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import type { AgentToEntryMessage } from '../../protocol/common/agentMessages.js';
import type { EntryToEntryMessage } from '../../protocol/common/entryMessages.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import type { EntryInput, OutgoingFrame } from '../common/tickTypes.js';

const agentMessageKinds: ReadonlySet<string> = new Set<AgentToEntryMessage['kind']>([
	'agentState',
	'taskOutcomes',
	'knownSubmissions',
]);
const entryMessageKinds: ReadonlySet<string> = new Set<EntryToEntryMessage['kind']>([
	'relayJobs',
	'relayAnswers',
	'relayCancel',
	'cancelJobs',
	'handOver',
	'handOverTaken',
	'quotaDemand',
	'quotaGrant',
	'quotaHandOver',
]);

interface DialledEntry {
	readonly address: string;
	readonly incarnation: string;
	readonly connector: FrameConnector;
}

/** Passes the peers' connections and messages to the core as inputs, and sends the core's frames. */
export class PeerConnections extends Disposable {
	private readonly _sessions = new Map<number, IConnection>();
	private readonly _dialledEntries = new Map<string, DialledEntry>();
	private readonly _connectors = this._register(new DisposableStore());
	private _handleSubscriber: ((connection: IConnection) => void) | undefined;
	private _lastSessionId = 0;
	private _refusedFrameCount = 0;

	private constructor(
		private readonly _listener: FrameListener,
		private readonly _options: ConnectionOptions,
		private readonly _log: ILogService,
		private readonly _pushInput: (input: EntryInput) => void,
	) {
		super();
		this._register(_listener);
		this._register(
			_listener.onDidConnect((connection) => {
				this._handleConnection(connection);
			}),
		);
		this._register(
			_listener.onDidRefuse((reason) => {
				_log.warn('peer.refused', { reason });
			}),
		);
	}

	/**
	 * Starts listening for agents and other entries.
	 *
	 * @throws TransportError when the address can't be bound
	 */
	static async listen(
		address: string,
		options: ConnectionOptions,
		log: ILogService,
		pushInput: (input: EntryInput) => void,
	): Promise<PeerConnections> {
		return new PeerConnections(await FrameListener.listen(address, options), options, log, pushInput);
	}

	/** Address that peers connect to. */
	get address(): string {
		return this._listener.address;
	}

	/** Sends the frames of a tick. Drops frames for closed sessions; the core is notified when a session closes. */
	send(frames: readonly OutgoingFrame[]): void {
		for (const { sessionId, message } of frames) {
			this._sessions.get(sessionId)?.send(message);
		}
	}

	/**
	 * Sets the handler of connections on which agents subscribe to the control state. Earlier connections are refused,
	 * and the agents connect again.
	 */
	setSubscriberHandler(handleSubscriber: (connection: IConnection) => void): void {
		this._handleSubscriber = handleSubscriber;
	}

	/**
	 * Connects to the entries of the directory, and disconnects from those that have left, moved or restarted. Of two
	 * entries, the one with the lesser process id connects to the other.
	 */
	connectToEntries(entries: readonly EntryMember[]): void {
		const { processId } = this._options.identity;
		const entriesToConnect = new Map(
			entries.filter((entry) => entry.processId > processId).map((entry) => [entry.processId, entry]),
		);
		for (const [entryId, dialled] of this._dialledEntries) {
			const entry = entriesToConnect.get(entryId);
			if (entry?.peerAddress === dialled.address && entry.incarnation === dialled.incarnation) {
				entriesToConnect.delete(entryId);
				continue;
			}
			this._connectors.delete(dialled.connector);
			this._dialledEntries.delete(entryId);
		}
		for (const entry of entriesToConnect.values()) {
			this._connectToEntry(entry);
		}
	}

	private _connectToEntry(entry: EntryMember): void {
		const connector = this._connectors.add(new FrameConnector(entry.peerAddress, this._options));
		connector.onDidConnect((connection) => {
			this._handleConnection(connection);
		});
		this._dialledEntries.set(entry.processId, {
			address: entry.peerAddress,
			incarnation: entry.incarnation,
			connector,
		});
	}

	private _handleConnection(connection: IConnection): void {
		const { peer } = connection;
		if (peer.role === 'subscriber' && this._handleSubscriber !== undefined) {
			this._handleSubscriber(connection);
			return;
		}
		if (peer.role !== 'agent' && peer.role !== 'entry') {
			this._log.warn('peer.refused', {
				reason: `An entry accepts no connections of the role "${peer.role}".`,
			});
			connection.dispose();
			return;
		}
		this._lastSessionId += 1;
		const sessionId = this._lastSessionId;
		this._sessions.set(sessionId, connection);
		this._pushInput({ kind: 'peerOpened', sessionId, peer });
		connection.onDidReceive((message) => {
			this._handleMessage(sessionId, peer, connection, message);
		});
		connection.onDidClose((reason) => {
			this._sessions.delete(sessionId);
			this._pushInput({ kind: 'peerClosed', sessionId });
			this._log.debug('peer.closed', { peer: peer.processId, reason });
		});
	}

	private _handleMessage(
		sessionId: number,
		peer: PeerIdentity,
		connection: IConnection,
		message: Message,
	): void {
		if (peer.role === 'agent' && agentMessageKinds.has(message.kind)) {
			this._pushInput({ kind: 'agentMessage', sessionId, message: message as AgentToEntryMessage });
			return;
		}
		if (peer.role === 'entry' && entryMessageKinds.has(message.kind)) {
			this._pushInput({ kind: 'entryMessage', sessionId, message: message as EntryToEntryMessage });
			return;
		}
		this._refusedFrameCount += 1;
		this._log.warn('peer.frameRefused', {
			peer: peer.processId,
			kind: message.kind,
			refusedFrames: this._refusedFrameCount,
		});
		connection.dispose();
	}
}
