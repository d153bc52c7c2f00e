/** The routing document in force, as a process that follows the cluster has heard of it. */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { ClusterClient } from '../../cluster/node/clusterClient.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { RoutingDocument } from '../common/routingDocument.js';
import { decodeDocument } from './routingCodec.js';

/** Decodes each document once. */
export class RoutingFollower extends Disposable {
	private readonly _onDidChange = this._register(new Emitter<RoutingDocument>());
	/** Fires with each newer document. */
	readonly onDidChange = this._onDidChange.event;

	private _document: RoutingDocument | undefined;

	constructor(
		private readonly _cluster: ClusterClient,
		private readonly _log: ILogService,
	) {
		super();
		this._register(
			_cluster.onDidChangeRouting(() => {
				this._take();
			}),
		);
	}

	/** The document in force; `undefined` before the first. */
	get document(): RoutingDocument | undefined {
		return this._document;
	}

	private _take(): void {
		const { routing } = this._cluster;
		if (routing === undefined) {
			return;
		}
		const previousVersion = this._document?.version;
		try {
			this._document = decodeDocument(routing.document);
		} catch (error) {
			const message = describeError(error);
			this._log.error('routing.unreadable', { version: routing.version, message });
			return;
		}
		const { version, routes } = this._document;
		this._log.info('routing.inForce', { version, previousVersion, routes: routes.length });
		this._onDidChange.fire(this._document);
	}
}
