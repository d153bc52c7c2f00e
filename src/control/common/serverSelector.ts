/** Selects the keeper or entry that a process subscribes to. Performs no I/O. */

import { rendezvousOrder } from '../../base/common/rendezvous.js';
import type { EntryDirectory } from '../../protocol/common/keeperMessages.js';
import type { KeeperEndpoint } from './keeperEndpoint.js';

/** Kinds of server that a process subscribes to: always a keeper, or an entry as long as one is available. */
export const controlPaths = ['keepers', 'entries'] as const;

/** Kind of server that a process subscribes to. */
export type ControlPath = (typeof controlPaths)[number];

/** A process that serves subscriptions. */
export interface ControlServer extends KeeperEndpoint {
	readonly kind: 'keeper' | 'entry';
}

/** Options of a {@link ServerSelector}. */
export interface ServerSelectorOptions {
	readonly processId: string;
	readonly dataCentre: string;
	readonly keepers: readonly KeeperEndpoint[];
	readonly path: ControlPath;
}

/** Circumstances of a failover. */
export interface FailoverCause {
	/** Whether the server is silent or stale, but is not known to have stopped. */
	readonly isStale: boolean;
	/** Number of earlier failovers since a server last proved to be fresh. */
	readonly failoversSinceFresh: number;
}

/** Selects one server after another, in an order that differs by process id to spread the load. */
export class ServerSelector {
	private readonly _keepers: readonly ControlServer[];
	private _keeperIndex = 0;

	constructor(private readonly _options: ServerSelectorOptions) {
		this._keepers = orderKeepers(_options.processId, _options.keepers);
	}

	/** Returns the first server. It is a keeper, because entries are known only from the directory. */
	getFirst(): ControlServer {
		return this._getKeeper(0);
	}

	/**
	 * Returns the server to use after one was lost or is stale. Subscribers of an entry that stopped go to other entries,
	 * so that they don't all connect to the keepers at once. When the state is already stale, they go to a keeper,
	 * because there is no time to try an entry that may be affected by the same fault. An entry is tried again after all
	 * keepers have failed.
	 */
	getNext(current: ControlServer, directory: EntryDirectory, cause: FailoverCause): ControlServer {
		const rounds = cause.failoversSinceFresh / (this._keepers.length + 1);
		const isEntryTurn = Number.isInteger(rounds) && !(cause.isStale && rounds === 0);
		const entries = this._listEntries(directory).filter(({ processId }) => processId !== current.processId);
		const entry = isEntryTurn ? entries[rounds % entries.length] : undefined;
		if (entry !== undefined) {
			return entry;
		}
		if (current.kind === 'keeper') {
			this._keeperIndex = (this._keeperIndex + 1) % this._keepers.length;
		}
		return this._getKeeper(this._keeperIndex);
	}

	/**
	 * Returns the preferred server, or undefined when it is the current one or no entry is available.
	 *
	 * @example
	 * selector.findBetter(selector.getFirst(), client.state.directory); // an entry, with the path "entries"
	 */
	findBetter(current: ControlServer, directory: EntryDirectory): ControlServer | undefined {
		const [best] = this._listEntries(directory);
		return best === undefined || isSameServer(best, current) ? undefined : best;
	}

	/** Returns the entries in order of preference: own data centre first, each group in an order that depends on the process. */
	private _listEntries({ entries }: EntryDirectory): ControlServer[] {
		const { path, processId, dataCentre } = this._options;
		if (path === 'keepers') {
			return [];
		}
		const serving = entries.filter((entry) => !entry.isDraining);
		const order = rendezvousOrder(
			processId,
			serving.map((entry) => entry.processId),
		);
		const sorted = order.flatMap((name) => serving.filter((entry) => entry.processId === name));
		const inSameDataCentre = sorted.filter((entry) => entry.dataCentre === dataCentre);
		const inOtherDataCentres = sorted.filter((entry) => entry.dataCentre !== dataCentre);
		return [...inSameDataCentre, ...inOtherDataCentres].map((entry) => ({
			kind: 'entry',
			processId: entry.processId,
			address: entry.peerAddress,
		}));
	}

	private _getKeeper(index: number): ControlServer {
		const keeper = this._keepers[index];
		if (keeper === undefined) {
			throw new RangeError('A process needs at least one keeper in its settings.');
		}
		return keeper;
	}
}

function isSameServer(a: ControlServer, b: ControlServer): boolean {
	return a.kind === b.kind && a.processId === b.processId && a.address === b.address;
}

function orderKeepers(processId: string, keepers: readonly KeeperEndpoint[]): readonly ControlServer[] {
	const order = rendezvousOrder(
		processId,
		keepers.map((keeper) => keeper.processId),
	);
	return keepers
		.map((keeper): ControlServer => ({ kind: 'keeper', ...keeper }))
		.sort((a, b) => order.indexOf(a.processId) - order.indexOf(b.processId));
}
