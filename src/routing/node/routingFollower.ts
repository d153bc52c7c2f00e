/** The routing document in force, as a process that follows the cluster has heard of it. */

import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { ClusterClient } from '../../cluster/node/clusterClient.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { RoutingDocument } from '../common/routingDocument.js';
import { decodeDocument } from './routingCodec.js';

/**
 * Time after the start in which the first document may still come: after a loss of all power keepers elect a leader in
 * about 0.3 s, and requests of that time can still be served.
 */
const settlingMs = 400;

/** Decodes each document once. */
export class RoutingFollower extends Disposable {
	private readonly _onDidChange = this._register(new Emitter<RoutingDocument>());
	/** Fires with each newer document. */
	readonly onDidChange = this._onDidChange.event;

	private readonly _settled = new Deferred<undefined>();
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
		const timer = setTimeout(() => {
			this._settled.resolve(undefined);
		}, settlingMs);
		this._register(
			toDisposable(() => {
				clearTimeout(timer);
				this._settled.resolve(undefined);
			}),
		);
	}

	/** Resolves once a document is in force, or none came in time after the start. */
	get settled(): Promise<undefined> {
		return this._settled.promise;
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
		this._settled.resolve(undefined);
	}
}
