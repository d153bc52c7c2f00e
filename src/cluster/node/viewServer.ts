/** Tells subscribers which processes there are and which routing is in force. Runs on keepers and entries. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { Event } from '../../base/common/event.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ClusterView, EntryAddress, FromSubscriberMessage } from '../common/clusterMessages.js';
import { forgetAfterMs } from '../common/memberTable.js';

/** Time between views that only tell who is still there; three may be lost before a process is forgotten. */
const viewIntervalMs = forgetAfterMs / 4;

/** Where a server gets what it tells. */
export interface IViewSource {
	readonly onDidChangeView: Event<undefined>;
	readonly onDidChangeRouting: Event<undefined>;
	view(): ClusterView;
	/** The document in force, encoded; `undefined` before the first. */
	routing(): { readonly version: number; readonly document: Uint8Array } | undefined;
}

interface Subscriber {
	readonly connection: IConnection;
	entry: EntryAddress | undefined;
	/** Addresses that it was told of. */
	toldAddresses: string;
}

/** Serves every connection that it is given until the connection closes. */
export class ViewServer extends Disposable {
	private readonly _onDidChangeEntries = this._register(new Emitter<undefined>());
	/** Fires when an entry has subscribed or gone. */
	readonly onDidChangeEntries = this._onDidChangeEntries.event;

	private readonly _subscribers = new Set<Subscriber>();

	constructor(private readonly _source: IViewSource) {
		super();
		this._register(
			_source.onDidChangeView(() => {
				this._tellViews();
			}),
		);
		this._register(
			_source.onDidChangeRouting(() => {
				this._tellVersions();
			}),
		);
		const timer = setInterval(() => {
			const view = this._source.view();
			for (const { connection } of this._subscribers) {
				connection.send({ kind: 'clusterView', ...view });
			}
		}, viewIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				this._subscribers.clear();
			}),
		);
	}

	/** Entries that subscribe here now. */
	get entries(): readonly EntryAddress[] {
		return [...this._subscribers].flatMap(({ entry }) => (entry === undefined ? [] : [entry]));
	}

	/** Serves a connection. */
	accept(connection: IConnection): void {
		const subscriber: Subscriber = { connection, entry: undefined, toldAddresses: '' };
		this._subscribers.add(subscriber);
		connection.onDidReceive((message) => {
			this._receive(subscriber, message);
		});
		connection.onDidClose(() => {
			this._subscribers.delete(subscriber);
			if (subscriber.entry !== undefined) {
				this._onDidChangeEntries.fire(undefined);
			}
		});
		this._tellView(subscriber, this._source.view());
		this._tellVersion(subscriber);
	}

	private _receive(subscriber: Subscriber, received: Message): void {
		const message = received as FromSubscriberMessage;
		if (message.kind === 'subscribeView') {
			const { processId, role } = subscriber.connection.peer;
			if (role === 'entry' && typeof message.address === 'string') {
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

	private _tellViews(): void {
		const view = this._source.view();
		for (const subscriber of this._subscribers) {
			this._tellView(subscriber, view);
		}
	}

	private _tellView(subscriber: Subscriber, view: ClusterView): void {
		const addresses = JSON.stringify([view.keepers, view.entries].map((members) => members.map(addressOf)));
		if (subscriber.toldAddresses === addresses) {
			return;
		}
		subscriber.toldAddresses = addresses;
		subscriber.connection.send({ kind: 'clusterView', ...view });
	}

	private _tellVersions(): void {
		for (const subscriber of this._subscribers) {
			this._tellVersion(subscriber);
		}
	}

	private _tellVersion({ connection }: Subscriber): void {
		const version = this._source.routing()?.version;
		if (version !== undefined && connection.peer.role === 'entry') {
			connection.send({ kind: 'routingVersion', version } as Message);
		}
	}
}

function addressOf({ address }: { readonly address: string }): string {
	return address;
}
