/** Interfaces of the authenticated connections between the processes of the system. */

import type { IDisposable } from '../../../base/common/disposable.js';
import type { Event } from '../../../base/common/event.js';

/**
 * Role in which a process connects. A keeper that reports its subscribers to another keeper connects as `reporter`. An
 * agent that subscribes to an entry does so over a second connection, as `subscriber`, beside the one for tasks.
 */
export type ProcessRole = 'entry' | 'agent' | 'keeper' | 'reporter' | 'subscriber' | 'operator' | 'probe';

/** Identity that a process states when it connects; authenticated by the shared secret. */
export interface PeerIdentity {
	readonly role: ProcessRole;
	/** Name from the settings; unique in the system. */
	readonly processId: string;
	/** Identifier of the run of the process; differs after each restart. */
	readonly incarnation: string;
}

/** Limits of a connection. */
export interface ConnectionLimits {
	/** Largest frame that is sent or accepted. */
	readonly maxFrameBytes: number;
	/** Unsent bytes above which the connection is closed, so that a peer that stopped reading can't exhaust the memory. */
	readonly maxUnsentBytes: number;
	/** Interval between heartbeats when nothing else is sent. */
	readonly heartbeatIntervalMs: number;
	/** Silence after which the peer counts as lost. */
	readonly silenceTimeoutMs: number;
	/** Time within which the connection must be established and the handshake must succeed. */
	readonly handshakeTimeoutMs: number;
}

/** Default limits, for processes in one region. */
export const defaultConnectionLimits: ConnectionLimits = {
	maxFrameBytes: 16 * 1024 * 1024,
	maxUnsentBytes: 64 * 1024 * 1024,
	heartbeatIntervalMs: 250,
	silenceTimeoutMs: 1500,
	handshakeTimeoutMs: 2000,
};

/** A message with its kind; the unions in `protocol` list the kinds for each pair of roles. */
export interface Message {
	readonly kind: string;
}

/** An authenticated connection. Messages arrive complete and in the order in which they were sent, or not at all. */
export interface IConnection extends IDisposable {
	readonly peer: PeerIdentity;
	/** Fires for each message from the peer. */
	readonly onDidReceive: Event<Message>;
	/** Fires once, with the reason, when the connection is closed. Unanswered messages may or may not have arrived. */
	readonly onDidClose: Event<string>;
	readonly isOpen: boolean;
	/** Time since the last byte was received from the peer, also after the connection has closed. */
	readonly silenceMs: number;
	/** Queues a message; returns false when the connection is closed and the message was certainly not sent. */
	send(message: Message): boolean;
	/** Closes the connection after the queued messages have been handed to the network. */
	end(): void;
}

/** Accepts connections from peers. */
export interface IListener extends IDisposable {
	/** `address:port` that peers connect to. */
	readonly address: string;
	/** Fires for each connection whose peer has proven the shared secret. */
	readonly onDidConnect: Event<IConnection>;
}

/** Keeps a connection to an address open, and reconnects with backoff when it is lost. */
export interface IConnector extends IDisposable {
	/** The open connection; `undefined` while there is none. */
	readonly connection: IConnection | undefined;
	/** Fires each time a connection opens. */
	readonly onDidConnect: Event<IConnection>;
}

/** Thrown for invalid addresses and failures of connections. */
export class TransportError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'TransportError';
	}
}
