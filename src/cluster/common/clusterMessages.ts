/** Messages for membership discovery and for distributing the routing document. */

import type { Message } from '../../services/transport/common/transport.js';

/** Process id and address of an entry that agents connect to. */
export interface EntryAddress {
	readonly processId: string;
	readonly address: string;
}

/** A keeper in the membership view of the sender. */
export interface KnownKeeper {
	readonly address: string;
	/** Time since any process last had contact with the keeper, to the knowledge of the sender. */
	readonly silentMs: number;
}

/** An entry in the membership view of the sender. */
export interface KnownEntry extends EntryAddress {
	/** Time since any process last had contact with the entry, to the knowledge of the sender. */
	readonly silentMs: number;
}

/** Membership view of one process. */
export interface ClusterView {
	readonly keepers: readonly KnownKeeper[];
	readonly entries: readonly KnownEntry[];
}

/** First message that a subscriber sends on a connection. */
export interface SubscribeMessage extends Message {
	readonly kind: 'subscribeView';
	/** Address at which agents reach the subscriber; absent for processes that do not listen. */
	readonly address?: string | undefined;
}

/** Membership view of the sender, sent when a member is added or removed and at an interval to renew the contact times. */
export interface ViewMessage extends Message, ClusterView {
	readonly kind: 'clusterView';
}

/** Announces the routing version in force at the sender. */
export interface RoutingVersionMessage extends Message {
	readonly kind: 'routingVersion';
	readonly version: number;
}

/** Requests the routing document in force. */
export interface FetchRoutingMessage extends Message {
	readonly kind: 'fetchRouting';
}

/** Encoded routing document in force at the sender. */
export interface RoutingMessage extends Message {
	readonly kind: 'routing';
	readonly version: number;
	readonly document: Uint8Array;
}

/** Messages that a subscriber sends. */
export type FromSubscriberMessage = SubscribeMessage | FetchRoutingMessage;
