/** Authenticated connections between the system's own processes, as services see them. */

import type { IDisposable } from '../../../base/common/disposable.js';
import type { Event } from '../../../base/common/event.js';

/**
 * What a process is. A keeper that connects to another to tell of its subscribers does so as `reporter`, and an agent
 * that subscribes to an entry, beside its connection for tasks, as `subscriber`.
 */
export type ProcessRole = 'entry' | 'agent' | 'keeper' | 'reporter' | 'subscriber' | 'operator' | 'probe';

/** Who a process says it is when it connects; proven by the shared secret. */
export interface PeerIdentity {
	readonly role: ProcessRole;
	/** Name from the settings; unique in the system. */
	readonly processId: string;
	/** Differs in each run of the process. */
	readonly incarnation: string;
}

/** Limits of a connection. */
export interface ConnectionLimits {
	/** Largest frame that is sent or taken. */
	readonly maxFrameBytes: number;
	/** Bytes that may wait unsent before the connection is given up; a peer that stopped reading must not fill memory. */
	readonly maxUnsentBytes: number;
	/** Time between signs of life when there is nothing else to send. */
	readonly heartbeatIntervalMs: number;
	/** Silence after which the peer counts as lost. */
	readonly silenceTimeoutMs: number;
	/** Time for connecting and for the handshake. */
	readonly handshakeTimeoutMs: number;
}

/** Limits that suit one region. */
export const defaultConnectionLimits: ConnectionLimits = {
	maxFrameBytes: 16 * 1024 * 1024,
	maxUnsentBytes: 64 * 1024 * 1024,
	heartbeatIntervalMs: 250,
	silenceTimeoutMs: 1500,
	handshakeTimeoutMs: 2000,
};

/** A message has a kind; the unions in `protocol` list the kinds of each pair of roles. */
export interface Message {
	readonly kind: string;
}

/** An authenticated connection that is open. Messages arrive whole, in the order they were sent, or not at all. */
export interface IConnection extends IDisposable {
	readonly peer: PeerIdentity;
	/** Fires for each message from the peer. */
	readonly onDidReceive: Event<Message>;
	/** Fires once when the connection is gone, with the reason. Unanswered messages may or may not have arrived. */
	readonly onDidClose: Event<string>;
	readonly isOpen: boolean;
	/** Queues a message; returns false when the connection is closed, and the message was surely not sent. */
	send(message: Message): boolean;
	/** Closes the connection after what is queued has been handed to the network. */
	end(): void;
}

/** Takes connections from peers. */
export interface IListener extends IDisposable {
	/** `address:port` that peers connect to. */
	readonly address: string;
	/** Fires for each peer that proved the shared secret. */
	readonly onDidConnect: Event<IConnection>;
}

/** Keeps one connection to an address, and connects again with backoff when it is lost. */
export interface IConnector extends IDisposable {
	/** The connection that is open now. */
	readonly connection: IConnection | undefined;
	/** Fires each time a connection opens. */
	readonly onDidConnect: Event<IConnection>;
}

/** The transport's own error. */
export class TransportError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'TransportError';
	}
}
