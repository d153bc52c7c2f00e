/** Connections to agents, which dial this entry, and to the other entries. */

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

const agentKinds: ReadonlySet<string> = new Set<AgentToEntryMessage['kind']>([
	'agentState',
	'taskOutcomes',
	'knownSubmissions',
]);
const entryKinds: ReadonlySet<string> = new Set<EntryToEntryMessage['kind']>([
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

/** Turns connections and messages into input for the core, and its frames into messages. */
export class PeerHub extends Disposable {
	private readonly _sessions = new Map<number, IConnection>();
	private readonly _dialled = new Map<string, DialledEntry>();
	private readonly _connectors = this._register(new DisposableStore());
	private _serveSubscriber: ((connection: IConnection) => void) | undefined;
	private _lastSessionId = 0;
	private _refusedFrames = 0;

	private constructor(
		private readonly _listener: FrameListener,
		private readonly _options: ConnectionOptions,
		private readonly _log: ILogService,
		private readonly _push: (input: EntryInput) => void,
	) {
		super();
		this._register(_listener);
		this._register(
			_listener.onDidConnect((connection) => {
				this._open(connection);
			}),
		);
		this._register(
			_listener.onDidRefuse((reason) => {
				_log.warn('peer.refused', { reason });
			}),
		);
	}

	/**
	 * Starts to listen for agents and other entries.
	 *
	 * @throws TransportError when the address can't be bound
	 */
	static async listen(
		address: string,
		options: ConnectionOptions,
		log: ILogService,
		push: (input: EntryInput) => void,
	): Promise<PeerHub> {
		return new PeerHub(await FrameListener.listen(address, options), options, log, push);
	}

	/** Address that peers connect to. */
	get address(): string {
		return this._listener.address;
	}

	/** Sends what a tick put out. Frames for sessions that are gone are dropped: the core hears of their end. */
	send(frames: readonly OutgoingFrame[]): void {
		for (const { sessionId, message } of frames) {
			this._sessions.get(sessionId)?.send(message);
		}
	}

	/** Sets who takes agents that subscribe to the control state. Those that come earlier connect again. */
	serveSubscribers(serve: (connection: IConnection) => void): void {
		this._serveSubscriber = serve;
	}

	/** Connects to the entries of the directory. Of two entries, the one with the lesser name dials. */
	follow(entries: readonly EntryMember[]): void {
		const { processId } = this._options.identity;
		const wanted = new Map(
			entries.filter((entry) => entry.processId > processId).map((entry) => [entry.processId, entry]),
		);
		for (const [name, dialled] of this._dialled) {
			const entry = wanted.get(name);
			if (entry?.peerAddress === dialled.address && entry.incarnation === dialled.incarnation) {
				wanted.delete(name);
				continue;
			}
			this._connectors.delete(dialled.connector);
			this._dialled.delete(name);
		}
		for (const entry of wanted.values()) {
			this._dial(entry);
		}
	}

	private _dial(entry: EntryMember): void {
		const connector = this._connectors.add(new FrameConnector(entry.peerAddress, this._options));
		connector.onDidConnect((connection) => {
			this._open(connection);
		});
		this._dialled.set(entry.processId, {
			address: entry.peerAddress,
			incarnation: entry.incarnation,
			connector,
		});
	}

	private _open(connection: IConnection): void {
		const { peer } = connection;
		if (peer.role === 'subscriber' && this._serveSubscriber !== undefined) {
			this._serveSubscriber(connection);
			return;
		}
		if (peer.role !== 'agent' && peer.role !== 'entry') {
			this._log.warn('peer.refused', { reason: `The role "${peer.role}" has no business with an entry.` });
			connection.dispose();
			return;
		}
		this._lastSessionId += 1;
		const sessionId = this._lastSessionId;
		this._sessions.set(sessionId, connection);
		this._push({ kind: 'peerOpened', sessionId, peer });
		connection.onDidReceive((message) => {
			this._receive(sessionId, peer, connection, message);
		});
		connection.onDidClose((reason) => {
			this._sessions.delete(sessionId);
			this._push({ kind: 'peerClosed', sessionId });
			this._log.debug('peer.closed', { peer: peer.processId, reason });
		});
	}

	private _receive(sessionId: number, peer: PeerIdentity, connection: IConnection, message: Message): void {
		if (peer.role === 'agent' && agentKinds.has(message.kind)) {
			this._push({ kind: 'agentMessage', sessionId, message: message as AgentToEntryMessage });
			return;
		}
		if (peer.role === 'entry' && entryKinds.has(message.kind)) {
			this._push({ kind: 'entryMessage', sessionId, message: message as EntryToEntryMessage });
			return;
		}
		this._refusedFrames += 1;
		this._log.warn('peer.frameRefused', {
			peer: peer.processId,
			kind: message.kind,
			refusedFrames: this._refusedFrames,
		});
		connection.dispose();
	}
}
