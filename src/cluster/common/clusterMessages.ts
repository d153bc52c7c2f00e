/** Messages by which processes find each other and follow the routing. */

import type { Message } from '../../services/transport/common/transport.js';

/** An entry that agents connect to. */
export interface EntryAddress {
	readonly processId: string;
	readonly address: string;
}

/** A keeper that one process knows of. */
export interface KnownKeeper {
	readonly address: string;
	/** Time since anybody was last in touch with it, as far as the sender has heard. */
	readonly silentMs: number;
}

/** An entry that one process knows of. */
export interface KnownEntry extends EntryAddress {
	/** Time since anybody was last in touch with it, as far as the sender has heard. */
	readonly silentMs: number;
}

/** What one process knows of the others. */
export interface ClusterView {
	readonly keepers: readonly KnownKeeper[];
	readonly entries: readonly KnownEntry[];
}

/** First message of a subscriber. */
export interface SubscribeMessage extends Message {
	readonly kind: 'subscribeView';
	/** Address that agents reach the subscriber at; absent for processes that listen to nobody. */
	readonly address?: string | undefined;
}

/** The sender's view: whenever somebody is new or forgotten, and at times so that the others know who is still there. */
export interface ViewMessage extends Message, ClusterView {
	readonly kind: 'clusterView';
}

/** The version that is in force at the sender. */
export interface RoutingVersionMessage extends Message {
	readonly kind: 'routingVersion';
	readonly version: number;
}

/** Asks for the document in force. */
export interface FetchRoutingMessage extends Message {
	readonly kind: 'fetchRouting';
}

/** The document in force at the sender, encoded. */
export interface RoutingMessage extends Message {
	readonly kind: 'routing';
	readonly version: number;
	readonly document: Uint8Array;
}

/** Messages to a subscriber. */
export type ToSubscriberMessage = ViewMessage | RoutingVersionMessage | RoutingMessage;

/** Messages from a subscriber. */
export type FromSubscriberMessage = SubscribeMessage | FetchRoutingMessage;
