/** Keeps one connection from an agent to each entry in the cluster view. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type { ViewMessage } from '../common/clusterMessages.js';
import type { ClusterClient } from './clusterClient.js';

/** Connects to entries that are added to the cluster view, and disconnects from entries that are removed. */
export class EntryConnector extends Disposable {
	private readonly _onDidConnect = this._register(new Emitter<IConnection>());
	/** Fires with each new connection to an entry. */
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _connectors = new Map<string, FrameConnector>();

	constructor(
		private readonly _cluster: ClusterClient,
		private readonly _options: ConnectionOptions,
		private readonly _log: ILogService,
	) {
		super();
		this._register(
			_cluster.onDidChangeView(() => {
				this._updateConnectors();
			}),
		);
		this._register(
			toDisposable(() => {
				for (const connector of this._connectors.values()) {
					connector.dispose();
				}
			}),
		);
		this._updateConnectors();
	}

	private _updateConnectors(): void {
		const wantedAddresses = new Set(this._cluster.entries.map(({ address }) => address));
		for (const [address, connector] of this._connectors) {
			if (!wantedAddresses.has(address)) {
				connector.dispose();
				this._connectors.delete(address);
			}
		}
		for (const address of wantedAddresses) {
			if (!this._connectors.has(address)) {
				this._connectors.set(address, this._createConnector(address));
			}
		}
	}

	private _createConnector(address: string): FrameConnector {
		const connector = new FrameConnector(address, this._options);
		connector.onDidConnect((connection) => {
			this._log.info('entry.connected', { address, entryId: connection.peer.processId });
			connection.onDidReceive((message) => {
				if (message.kind === 'clusterView') {
					this._cluster.mergeView(message as ViewMessage);
				}
			});
			connection.onDidClose((reason) => {
				this._log.warn('entry.lost', { address, reason });
			});
			this._onDidConnect.fire(connection);
		});
		return connector;
	}
}
