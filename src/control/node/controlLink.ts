/** A connection to the keeper or entry that serves a process's subscription. */

import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import type {
	KeeperToSubscriberMessage,
	SubscriberToKeeperMessage,
} from '../../protocol/common/keeperMessages.js';
import { keeperToSubscriberSchema } from '../../protocol/common/keeperMessageSchemas.js';
import { describeValidationErrors } from '../common/validationErrors.js';
import type { ControlServer } from '../common/serverSelector.js';

/** Connects to one server and validates the messages that it sends. */
export class ControlLink extends Disposable {
	private readonly _onDidOpen = this._register(new Emitter<undefined>());
	readonly onDidOpen = this._onDidOpen.event;

	private readonly _onDidReceive = this._register(new Emitter<KeeperToSubscriberMessage>());
	readonly onDidReceive = this._onDidReceive.event;

	private readonly _onDidFail = this._register(new Emitter<string>());
	/** Fires with the reason when the server can't be used. The owner must then dispose the link. */
	readonly onDidFail = this._onDidFail.event;

	private readonly _connector: FrameConnector;

	constructor(
		readonly server: ControlServer,
		options: ConnectionOptions,
	) {
		super();
		// An agent's connection for tasks has its own role, so that an entry can tell the two apart.
		const role = server.kind === 'entry' ? 'subscriber' : options.identity.role;
		const identity = { ...options.identity, role };
		this._connector = this._register(new FrameConnector(server.address, { ...options, identity }));
		this._connector.onDidConnect((connection) => {
			connection.onDidReceive((message) => {
				this._receive(message);
			});
			this._onDidOpen.fire(undefined);
		});
		this._connector.onDidFail((reason) => {
			this._onDidFail.fire(reason);
		});
	}

	get isOpen(): boolean {
		return this._connector.connection !== undefined;
	}

	/** Sends a message, or drops it when the link is not open. */
	send(message: SubscriberToKeeperMessage): void {
		this._connector.connection?.send(message);
	}

	/** Closes the link after the sent messages were handed to the network. Waits at most `timeoutMs`. */
	async closeGracefully(timeoutMs: number): Promise<void> {
		const connection = this._connector.connection;
		if (connection === undefined) {
			return;
		}
		const closed = new Promise<void>((resolve) => {
			connection.onDidClose(() => {
				resolve();
			});
			setTimeout(resolve, timeoutMs);
		});
		connection.end();
		await closed;
	}

	private _receive(message: Message): void {
		if (this._isDisposed) {
			return;
		}
		const parsed = keeperToSubscriberSchema.safeParse(message);
		if (parsed.success) {
			this._onDidReceive.fire(parsed.data);
			return;
		}
		this._onDidFail.fire(
			`The server sent a malformed "${message.kind}": ${describeValidationErrors(parsed.error)}`,
		);
	}
}
