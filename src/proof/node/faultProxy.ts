/**
 * Implements a TCP proxy that injects network faults between real processes: delays, freezes, cuts, resets and
 * refused connections.
 *
 * Each direction of each connection is a queue of chunks with due times, so bytes keep their order, and
 * a delay doesn't limit the throughput. The end of a stream passes through the same queue.
 */

import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { Disposable, toDisposable, type IDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import { formatAddress, parseAddress } from '../../services/transport/node/address.js';
import { ProxiedConnection } from './proxiedConnection.js';
import { PreciseTimer } from '../../base/node/preciseTimer.js';

/** Direction of a stream: from the process that connected, or to it. */
export type LinkDirection = 'toServer' | 'toClient';

/**
 * State of a direction. `open`: bytes pass. `frozen`: bytes are held until the fault ends, as on a network that loses
 * packets for a while. `cut`: bytes are discarded without closing the connection; a connection that lost bytes is
 * reset when the fault ends, since its stream has a gap.
 */
export type LinkState = 'open' | 'frozen' | 'cut';

/** Selects the connections that a fault applies to; all when empty. */
export interface LinkSelector {
	/** Name of the process that connected, as returned by {@link FaultProxyOptions.identifyClient}. */
	readonly client?: string;
}

/** One-way delays of a proxy. */
export interface LinkDelays {
	readonly toServerMs: number;
	readonly toClientMs: number;
}

/** Options of a proxy. */
export interface FaultProxyOptions {
	/** Address that the proxy connects to, such as `127.0.0.1:7000`; it need not be listening yet. */
	readonly target: string;
	/** Address that the proxy listens on; a free loopback port by default. */
	readonly listenAddress?: string;
	/** One-way delays; none by default. */
	readonly delays?: LinkDelays;
	/** Returns the name of the process that connected from its first bytes; see `identifyByHello`. */
	readonly identifyClient?: (firstBytes: Buffer) => string | undefined;
	/** Timer shared by several proxies, so that they use one polling loop; by default the proxy has its own. */
	readonly timer?: PreciseTimer;
}

interface LinkFault {
	readonly direction: LinkDirection;
	readonly state: LinkState;
	readonly selector: LinkSelector;
}

/** Counters of a proxy, for benches and for tests that wait until a fault has affected traffic. */
export interface FaultProxyCounts {
	readonly connections: number;
	readonly refusedConnections: number;
	readonly bytesToServer: number;
	readonly bytesToClient: number;
	/** Bytes that cuts have discarded. */
	readonly discardedBytes: number;
}

/**
 * Forwards connections to one address and injects faults into them.
 *
 * @example
 * const proxy = store.add(await FaultProxy.listen({ target: entry.peerAddress, identifyClient: identifyByHello }));
 * proxy.setDelays({ toServerMs: 1.25, toClientMs: 1.25 });
 * const cut = proxy.cut('toServer', { client: 'agent-1' });
 * cut.dispose(); // ends the cut
 */
export class FaultProxy extends Disposable {
	private readonly _onDidForward = this._register(new Emitter<{ direction: LinkDirection; bytes: number }>());
	/** Fires after each forwarded chunk. */
	readonly onDidForward = this._onDidForward.event;

	private readonly _timer: PreciseTimer;
	private readonly _connections = new Set<ProxiedConnection>();
	private readonly _faults = new Set<LinkFault>();
	private _delays: LinkDelays;
	private _target: string;
	private _isRefusing = false;
	private _connectionCount = 0;
	private _refusedConnectionCount = 0;
	private _discardedBytes = 0;
	private readonly _forwardedBytes = { toServer: 0, toClient: 0 };
	private readonly _bytesUntilBreak = { toServer: Infinity, toClient: Infinity };

	private constructor(
		server: Server,
		/** Address for clients. */
		readonly address: string,
		private readonly _options: FaultProxyOptions,
	) {
		super();
		this._target = _options.target;
		this._delays = _options.delays ?? { toServerMs: 0, toClientMs: 0 };
		this._timer = _options.timer ?? this._register(new PreciseTimer());
		server.on('connection', (client) => {
			this._handleConnection(client);
		});
		this._register(
			toDisposable(() => {
				server.close();
				this.breakConnections();
			}),
		);
	}

	/**
	 * Starts a proxy.
	 *
	 * @throws Error when the address can't be bound
	 */
	static async listen(options: FaultProxyOptions): Promise<FaultProxy> {
		const { host, port } = parseAddress(options.listenAddress ?? '127.0.0.1:0');
		const server = createServer({ noDelay: true, allowHalfOpen: true });
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen({ host, port }, resolve);
		});
		const bound = server.address() as AddressInfo;
		return new FaultProxy(server, formatAddress(bound.address, bound.port), options);
	}

	/** Counters so far. */
	get counts(): FaultProxyCounts {
		return {
			connections: this._connectionCount,
			refusedConnections: this._refusedConnectionCount,
			bytesToServer: this._forwardedBytes.toServer,
			bytesToClient: this._forwardedBytes.toClient,
			discardedBytes: this._discardedBytes,
		};
	}

	/** Names of the connected clients; `?` for an unidentified one. */
	get clients(): readonly string[] {
		return [...this._connections].map((connection) => connection.client ?? '?');
	}

	/** Sets the address that new connections are forwarded to. */
	setTarget(target: string): void {
		this._target = target;
	}

	/** Sets the one-way delays of bytes that arrive from now on; queued bytes keep theirs. */
	setDelays(delays: LinkDelays): void {
		this._delays = delays;
	}

	/** Discards all bytes of a direction, without closing connections, until the result is disposed. */
	cut(direction: LinkDirection, selector: LinkSelector = {}): IDisposable {
		return this._addFault({ direction, state: 'cut', selector });
	}

	/** Holds all bytes of a direction until the result is disposed, and then forwards them in order. */
	freeze(direction: LinkDirection, selector: LinkSelector = {}): IDisposable {
		return this._addFault({ direction, state: 'frozen', selector });
	}

	/** Resets each new connection until the result is disposed; open ones are not affected. */
	refuseConnections(): IDisposable {
		this._isRefusing = true;
		return toDisposable(() => {
			this._isRefusing = false;
		});
	}

	/** Resets the selected open connections on both sides. Queued bytes are lost. */
	breakConnections(selector: LinkSelector = {}): void {
		for (const connection of [...this._connections]) {
			if (isSelected(selector, connection)) {
				connection.reset();
			}
		}
	}

	/** Forwards this many more bytes of a direction, over all connections, then resets every connection once. */
	breakAfterBytes(direction: LinkDirection, bytes: number): void {
		this._bytesUntilBreak[direction] = bytes;
	}

	private _handleConnection(client: Socket): void {
		if (this._isRefusing || this._isDisposed) {
			this._refusedConnectionCount += 1;
			client.on('error', () => undefined);
			client.resetAndDestroy();
			return;
		}
		this._connectionCount += 1;
		const server = connect({ ...parseAddress(this._target), noDelay: true, allowHalfOpen: true });
		const connection: ProxiedConnection = new ProxiedConnection(client, server, {
			timer: this._timer,
			identifyClient: this._options.identifyClient,
			delayMs: (direction) => (direction === 'toServer' ? this._delays.toServerMs : this._delays.toClientMs),
			getLinkState: (direction) => this._getLinkState(connection, direction),
			takeAllowance: (direction, bytes) => this._takeAllowance(direction, bytes),
			onDidForward: (direction, bytes) => {
				this._forwardedBytes[direction] += bytes;
				this._onDidForward.fire({ direction, bytes });
			},
			onDidDiscard: (bytes) => {
				this._discardedBytes += bytes;
			},
			onDidClose: () => {
				this._connections.delete(connection);
			},
		});
		this._connections.add(connection);
	}

	/** Returns how many of the bytes may pass before the reset that {@link breakAfterBytes} requested. */
	private _takeAllowance(direction: LinkDirection, bytes: number): number {
		const remaining = this._bytesUntilBreak[direction];
		if (bytes < remaining) {
			this._bytesUntilBreak[direction] = remaining - bytes;
			return bytes;
		}
		this._bytesUntilBreak[direction] = Infinity;
		setImmediate(() => {
			this.breakConnections();
		});
		return remaining;
	}

	private _addFault(fault: LinkFault): IDisposable {
		this._faults.add(fault);
		return toDisposable(() => {
			this._faults.delete(fault);
			for (const connection of [...this._connections]) {
				if (isSelected(fault.selector, connection)) {
					connection.handleFaultEnd(fault.direction);
				}
			}
		});
	}

	private _getLinkState(connection: ProxiedConnection, direction: LinkDirection): LinkState {
		let state: LinkState = 'open';
		for (const fault of this._faults) {
			if (fault.direction !== direction || !isSelected(fault.selector, connection)) {
				continue;
			}
			if (fault.state === 'cut') {
				return 'cut';
			}
			state = fault.state;
		}
		return state;
	}
}

function isSelected(selector: LinkSelector, connection: ProxiedConnection): boolean {
	return selector.client === undefined || selector.client === connection.client;
}
