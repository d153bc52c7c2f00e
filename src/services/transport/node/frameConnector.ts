/** Keeps a connection to an address open, and reconnects with jittered backoff. */

import { connect, type Socket } from 'node:net';
import { backoffMs, type BackoffOptions } from '../../../base/common/async.js';
import { Disposable, toDisposable } from '../../../base/common/disposable.js';
import { Emitter } from '../../../base/common/event.js';
import { TransportError, type IConnection, type IConnector } from '../common/transport.js';
import { parseAddress, type HostAndPort } from './address.js';
import { FrameConnection, type ConnectionOptions } from './frameConnection.js';

const reconnectBackoff: BackoffOptions = { firstMs: 50, maxMs: 500 };
/** Far longer than a round trip, but shorter than the 1 s after which the kernel first retransmits an unanswered SYN. */
const connectTimeoutMs = 250;

/**
 * Connects to an address, and reconnects whenever the connection is lost, until disposed.
 *
 * @example
 * const connector = store.add(new FrameConnector('127.0.0.1:7000', options));
 * connector.onDidConnect((connection) => connection.send({ kind: 'subscribe' }));
 */
export class FrameConnector extends Disposable implements IConnector {
	private readonly _onDidConnect = this._register(new Emitter<IConnection>());
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _onDidFail = this._register(new Emitter<string>());
	/** Fires with the reason after each failed attempt and each lost connection. */
	readonly onDidFail = this._onDidFail.event;

	private _current: FrameConnection | undefined;
	private _failedAttempts = 0;
	private _retryTimer: NodeJS.Timeout | undefined;

	constructor(
		readonly address: string,
		private readonly _options: ConnectionOptions,
		private readonly _dial: (address: HostAndPort) => Socket = connect,
	) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._retryTimer);
				this._current?.dispose();
			}),
		);
		this._connect();
	}

	get connection(): IConnection | undefined {
		return this._current?.isOpen === true ? this._current : undefined;
	}

	private _connect(): void {
		const socket = this._dial(parseAddress(this.address));
		const timer = setTimeout(() => {
			// After a pause of this process, the event of a connection that was made in time must be handled first.
			setImmediate(() => {
				if (socket.pending) {
					const message = `Connecting to ${this.address} timed out after ${connectTimeoutMs} ms.`;
					socket.destroy(new TransportError(message));
				}
			});
		}, connectTimeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
		});
		const connection = new FrameConnection(socket, 'client', this._options);
		this._current = connection;
		connection.onDidOpen(() => {
			this._failedAttempts = 0;
			this._onDidConnect.fire(connection);
		});
		connection.onDidClose((reason) => {
			clearTimeout(timer);
			this._onDidFail.fire(reason);
			this._scheduleRetry();
		});
	}

	private _scheduleRetry(): void {
		if (this._isDisposed) {
			return;
		}
		const waitMs = backoffMs(reconnectBackoff, this._failedAttempts, Math.random);
		this._failedAttempts += 1;
		this._retryTimer = setTimeout(() => {
			this._connect();
		}, waitMs);
	}
}
