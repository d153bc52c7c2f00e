/** Accepts connections from other processes of the system on a TCP address. */

import { createServer, type Server, type Socket } from 'node:net';
import { Disposable, toDisposable } from '../../../base/common/disposable.js';
import { Emitter } from '../../../base/common/event.js';
import type { IConnection, IListener } from '../common/transport.js';
import { FrameConnection, type ConnectionOptions } from './frameConnection.js';
import { listenOn } from './listen.js';

/** Accepts connections, and publishes each one whose peer has proven the shared secret. */
export class FrameListener extends Disposable implements IListener {
	private readonly _onDidConnect = this._register(new Emitter<IConnection>());
	readonly onDidConnect = this._onDidConnect.event;

	private readonly _onDidRefuse = this._register(new Emitter<string>());
	/** Fires with the reason when a connection closes before its handshake has succeeded. */
	readonly onDidRefuse = this._onDidRefuse.event;

	private readonly _connections = new Set<FrameConnection>();

	private constructor(
		server: Server,
		readonly address: string,
		private readonly _options: ConnectionOptions,
	) {
		super();
		server.on('connection', (socket) => {
			this._accept(socket);
		});
		this._register(
			toDisposable(() => {
				server.close();
				for (const connection of [...this._connections]) {
					connection.dispose();
				}
			}),
		);
	}

	/**
	 * Starts listening.
	 *
	 * @param address IP number and port, such as `127.0.0.1:7000`; with port 0, the system chooses a free one
	 * @throws TransportError when the address isn't valid or can't be bound
	 * @example
	 * const listener = await FrameListener.listen('127.0.0.1:0', options);
	 */
	static async listen(address: string, options: ConnectionOptions): Promise<FrameListener> {
		const server = createServer({ noDelay: true });
		return new FrameListener(server, await listenOn(server, address), options);
	}

	private _accept(socket: Socket): void {
		const connection = new FrameConnection(socket, 'server', this._options);
		this._connections.add(connection);
		let hasOpened = false;
		connection.onDidOpen(() => {
			hasOpened = true;
			this._onDidConnect.fire(connection);
		});
		connection.onDidClose((reason) => {
			this._connections.delete(connection);
			if (!hasOpened) {
				this._onDidRefuse.fire(reason);
			}
		});
	}
}
