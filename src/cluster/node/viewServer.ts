/** Sends the membership view and the routing in force to subscribers. Runs on keepers and entries. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { Event } from '../../base/common/event.js';
import { Emitter } from '../../base/common/event.js';
import { TransportError, type IConnection, type Message } from '../../services/transport/common/transport.js';
import { isAddress } from '../common/clusterMessageChecks.js';
import type { ClusterView, EntryAddress, FromSubscriberMessage } from '../common/clusterMessages.js';
import { memberExpiryMs } from '../common/memberTable.js';

/** Interval of unchanged views, which renew the contact times; three may be lost before a member expires. */
const viewRefreshIntervalMs = memberExpiryMs / 4;

/** Source of the view and the routing that a {@link ViewServer} sends. */
export interface IViewSource {
	readonly onDidChangeView: Event<undefined>;
	readonly onDidChangeRouting: Event<undefined>;
	view(): ClusterView;
	/** Returns the encoded routing document in force; `undefined` before the first one. */
	routing(): { readonly version: number; readonly document: Uint8Array } | undefined;
}

interface Subscriber {
	readonly connection: IConnection;
	entry: EntryAddress | undefined;
	/** Addresses in the last view that was sent, as JSON. */
	sentAddresses: string;
}

/** Sends the view and the routing versions on accepted connections until they close. */
export class ViewServer extends Disposable {
	private readonly _onDidChangeEntries = this._register(new Emitter<undefined>());
	/** Fires when an entry has subscribed or disconnected. */
	readonly onDidChangeEntries = this._onDidChangeEntries.event;

	private readonly _subscribers = new Set<Subscriber>();

	constructor(private readonly _source: IViewSource) {
		super();
		this._register(
			_source.onDidChangeView(() => {
				this._sendChangedViews();
			}),
		);
		this._register(
			_source.onDidChangeRouting(() => {
				this._sendRoutingVersions();
			}),
		);
		const timer = setInterval(() => {
			const view = this._source.view();
			for (const { connection } of this._subscribers) {
				connection.send({ kind: 'clusterView', ...view });
			}
		}, viewRefreshIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				this._subscribers.clear();
			}),
		);
	}

	/** Entries that are subscribed at present. */
	get entries(): readonly EntryAddress[] {
		return [...this._subscribers].flatMap(({ entry }) => (entry === undefined ? [] : [entry]));
	}

	/** Registers a connection as a subscriber and sends it the view and, if it is an entry, the routing version. */
	accept(connection: IConnection): void {
		const subscriber: Subscriber = { connection, entry: undefined, sentAddresses: '' };
		this._subscribers.add(subscriber);
		connection.onDidReceive((message) => {
			this._handleMessage(subscriber, message);
		});
		connection.onDidClose(() => {
			this._subscribers.delete(subscriber);
			if (subscriber.entry !== undefined) {
				this._onDidChangeEntries.fire(undefined);
			}
		});
		this._sendViewIfChanged(subscriber, this._source.view());
		this._sendRoutingVersion(subscriber);
	}

	private _handleMessage(subscriber: Subscriber, received: Message): void {
		const message = received as FromSubscriberMessage;
		if (message.kind === 'subscribeView') {
			const { processId, role } = subscriber.connection.peer;
			if (message.address !== undefined && !isAddress(message.address)) {
				throw new TransportError(`The process "${processId}" listens at an address that can't be read.`);
			}
			if (role === 'entry' && message.address !== undefined) {
				subscriber.entry = { processId, address: message.address };
				this._onDidChangeEntries.fire(undefined);
			}
			return;
		}
		const routing = this._source.routing();
		if (received.kind === 'fetchRouting' && routing !== undefined) {
			subscriber.connection.send({ ...routing, kind: 'routing' });
		}
	}

	private _sendChangedViews(): void {
		const view = this._source.view();
		for (const subscriber of this._subscribers) {
			this._sendViewIfChanged(subscriber, view);
		}
	}

	private _sendViewIfChanged(subscriber: Subscriber, view: ClusterView): void {
		const addresses = JSON.stringify([view.keepers, view.entries].map((members) => members.map(getAddress)));
		if (subscriber.sentAddresses === addresses) {
			return;
		}
		subscriber.sentAddresses = addresses;
		subscriber.connection.send({ kind: 'clusterView', ...view });
	}

	private _sendRoutingVersions(): void {
		for (const subscriber of this._subscribers) {
			this._sendRoutingVersion(subscriber);
		}
	}

	private _sendRoutingVersion({ connection }: Subscriber): void {
		const version = this._source.routing()?.version;
		if (version !== undefined && connection.peer.role === 'entry') {
			connection.send({ kind: 'routingVersion', version } as Message);
		}
	}
}

function getAddress({ address }: { readonly address: string }): string {
	return address;
}
