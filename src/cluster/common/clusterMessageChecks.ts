/** Checks received membership and routing messages before anything of them is kept. */

import type { Message } from '../../services/transport/common/transport.js';
import { addressSchema } from '../../services/settings/common/settingsSchema.js';
import type {
	ClusterView,
	KnownEntry,
	KnownKeeper,
	RoutingMessage,
	RoutingVersionMessage,
} from './clusterMessages.js';

/** Result of {@link readView}. */
export interface ReadView {
	readonly view: ClusterView;
	/** Number of members that were left out, since they can't be read. */
	readonly unreadableCount: number;
}

type Unchecked<T> = { readonly [Field in keyof T]?: unknown };

/**
 * Returns the members of a view that can be read. An unreadable member is left out without an effect on the others.
 *
 * @example
 * const { view, unreadableCount } = readView({ keepers: [{ address: '10.0.0.1:99999', silentMs: 0 }], entries: [] });
 */
export function readView(received: Unchecked<ClusterView>): ReadView {
	const keepers = toArray(received.keepers);
	const entries = toArray(received.entries);
	const view = { keepers: keepers.filter(isKnownKeeper), entries: entries.filter(isKnownEntry) };
	const readCount = view.keepers.length + view.entries.length;
	return { view, unreadableCount: keepers.length + entries.length - readCount };
}

/** Returns whether a value is an address that a process can connect to. */
export function isAddress(value: unknown): value is string {
	return addressSchema.safeParse(value).success;
}

/** Returns whether a message is a readable announcement of a routing version. */
export function isRoutingVersionMessage(message: Message): message is RoutingVersionMessage {
	const { kind, version } = message as Unchecked<RoutingVersionMessage>;
	return kind === 'routingVersion' && isVersion(version);
}

/** Returns whether a message is a readable routing document. */
export function isRoutingMessage(message: Message): message is RoutingMessage {
	const { kind, version, document } = message as Unchecked<RoutingMessage>;
	return kind === 'routing' && isVersion(version) && document instanceof Uint8Array;
}

function isVersion(value: unknown): value is number {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}

function toArray(value: unknown): readonly unknown[] {
	return Array.isArray(value) ? value : [];
}

function isKnownKeeper(value: unknown): value is KnownKeeper {
	if (typeof value !== 'object' || value === null) {
		return false;
	}
	const { address, silentMs } = value as Unchecked<KnownKeeper>;
	return isAddress(address) && Number.isFinite(silentMs) && Number(silentMs) >= 0;
}

function isKnownEntry(value: unknown): value is KnownEntry {
	return isKnownKeeper(value) && typeof (value as Unchecked<KnownEntry>).processId === 'string';
}
