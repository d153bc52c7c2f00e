/** Routing document in force, decoded from the documents that the cluster client receives. */

import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { ClusterClient } from '../../cluster/node/clusterClient.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { RoutingDocument } from '../common/routingDocument.js';
import { decodeRoutingDocument } from './routingCodec.js';

/**
 * Time after the start for which requests wait for the first document. After a power loss of the whole system, the
 * keepers elect a leader in about 0.3 s, and requests that arrive in this time can still be served.
 */
const firstDocumentTimeoutMs = 400;

/** Decodes each newer routing document once and keeps the latest. */
export class RoutingFollower extends Disposable {
	private readonly _onDidChange = this._register(new Emitter<RoutingDocument>());
	/** Fires with each newer document. */
	readonly onDidChange = this._onDidChange.event;

	private readonly _firstDocumentOrTimeout = new Deferred<undefined>();
	private _document: RoutingDocument | undefined;

	constructor(
		private readonly _cluster: ClusterClient,
		private readonly _log: ILogService,
	) {
		super();
		this._register(
			_cluster.onDidChangeRouting(() => {
				this._applyRouting();
			}),
		);
		const timer = setTimeout(() => {
			this._firstDocumentOrTimeout.resolve(undefined);
		}, firstDocumentTimeoutMs);
		this._register(
			toDisposable(() => {
				clearTimeout(timer);
				this._firstDocumentOrTimeout.resolve(undefined);
			}),
		);
	}

	/** Resolves once a document is in force, or once {@link firstDocumentTimeoutMs} has passed since the start. */
	get firstDocumentOrTimeout(): Promise<undefined> {
		return this._firstDocumentOrTimeout.promise;
	}

	/** Document in force; `undefined` before the first one. */
	get document(): RoutingDocument | undefined {
		return this._document;
	}

	private _applyRouting(): void {
		const { routing } = this._cluster;
		if (routing === undefined) {
			return;
		}
		const previousVersion = this._document?.version;
		try {
			this._document = decodeRoutingDocument(routing.document);
		} catch (error) {
			const message = describeError(error);
			this._log.error('routing.unreadable', { version: routing.version, message });
			return;
		}
		const { version, routes } = this._document;
		this._log.info('routing.inForce', { version, previousVersion, routes: routes.length });
		this._onDidChange.fire(this._document);
		this._firstDocumentOrTimeout.resolve(undefined);
	}
}
