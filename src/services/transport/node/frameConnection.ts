/** A connection over a TCP socket with a handshake, frames, heartbeats and limits. */

import type { Socket } from 'node:net';
import { describeError } from '../../../base/common/errors.js';
import { Disposable, toDisposable } from '../../../base/common/disposable.js';
import { Emitter } from '../../../base/common/event.js';
import { startSharedInterval } from '../../../base/node/sharedInterval.js';
import { FrameDecoder, FrameEncoder } from '../common/frameCodec.js';
import {
	TransportError,
	type ConnectionLimits,
	type IConnection,
	type Message,
	type PeerIdentity,
} from '../common/transport.js';
import {
	createHello,
	createProof,
	isHello,
	isProof,
	isProofValid,
	type HandshakeSide,
	type HelloFrame,
} from './handshake.js';

/** Options of both ends of a connection. */
export interface ConnectionOptions {
	readonly identity: PeerIdentity;
	readonly secret: string;
	readonly limits: ConnectionLimits;
}

const pingFrame: Message = { kind: 'ping' };

/** One end of an authenticated connection. Messages can be sent once {@link onDidOpen} has fired. */
export class FrameConnection extends Disposable implements IConnection {
	private readonly _onDidOpen = this._register(new Emitter<undefined>());
	/** Fires once, when the peer has proven the shared secret. */
	readonly onDidOpen = this._onDidOpen.event;

	private readonly _onDidReceive = this._register(new Emitter<Message>());
	readonly onDidReceive = this._onDidReceive.event;

	private readonly _onDidClose = this._register(new Emitter<string>());
	readonly onDidClose = this._onDidClose.event;

	private readonly _encoder: FrameEncoder;
	private readonly _decoder: FrameDecoder;
	private readonly _hello: HelloFrame;
	private _peerHello: HelloFrame | undefined;
	private _isOpen = false;
	private _isClosed = false;
	private _isCorked = false;
	private _silenceTimer: NodeJS.Timeout | undefined;
	private _lastReceivedMs = performance.now();
	private _lastSentMs = performance.now();

	constructor(
		private readonly _socket: Socket,
		private readonly _side: HandshakeSide,
		private readonly _options: ConnectionOptions,
	) {
		super();
		this._encoder = new FrameEncoder(_options.limits.maxFrameBytes);
		this._decoder = new FrameDecoder(_options.limits.maxFrameBytes);
		this._hello = createHello(_options.identity);
		_socket.setNoDelay(true);
		_socket.on('data', (chunk: Buffer) => {
			this._receive(chunk);
		});
		_socket.on('error', (error) => {
			this._close(describeError(error));
		});
		_socket.on('close', () => {
			this._close('The peer closed the connection.');
		});
		this._startLivenessTimers();
		this._write(this._hello);
	}

	get peer(): PeerIdentity {
		if (this._peerHello === undefined) {
			throw new TransportError('The peer is unknown until its first frame has been received.');
		}
		return this._peerHello.identity;
	}

	get isOpen(): boolean {
		return this._isOpen && !this._isClosed;
	}

	get silenceMs(): number {
		return performance.now() - this._lastReceivedMs;
	}

	send(message: Message): boolean {
		if (!this.isOpen) {
			return false;
		}
		return this._write(message);
	}

	end(): void {
		if (this._isClosed) {
			return;
		}
		this._socket.end();
	}

	override dispose(): void {
		this._close('This process closed the connection.');
		super.dispose();
	}

	private _startLivenessTimers(): void {
		const { heartbeatIntervalMs, handshakeTimeoutMs } = this._options.limits;
		const handshakeTimer = setTimeout(() => {
			if (!this._isOpen) {
				this._close(`The handshake did not end within ${handshakeTimeoutMs} ms.`);
			}
		}, handshakeTimeoutMs);
		this._register(
			startSharedInterval(() => {
				this._checkLiveness();
			}, heartbeatIntervalMs),
		);
		this._register(
			toDisposable(() => {
				clearTimeout(handshakeTimer);
				clearTimeout(this._silenceTimer);
			}),
		);
	}

	private _checkLiveness(): void {
		if (!this.isOpen) {
			return;
		}
		this._watchSilence();
		if (performance.now() - this._lastSentMs >= this._options.limits.heartbeatIntervalMs * 0.9) {
			this._write(pingFrame);
		}
	}

	/**
	 * Starts a timer for the end of the silence timeout if it comes before the next check, so that the timeout is exact while
	 * connections with regular heartbeats need no timers of their own.
	 */
	private _watchSilence(): void {
		const { heartbeatIntervalMs, silenceTimeoutMs } = this._options.limits;
		const remainingMs = silenceTimeoutMs - this.silenceMs;
		if (this._silenceTimer !== undefined || remainingMs > heartbeatIntervalMs) {
			return;
		}
		this._silenceTimer = setTimeout(
			() => {
				// After a pause of this process, data that has already arrived must be read before the peer counts as silent.
				setImmediate(() => {
					this._silenceTimer = undefined;
					this._closeIfSilent();
				});
			},
			Math.max(0, Math.ceil(remainingMs)),
		);
	}

	private _closeIfSilent(): void {
		if (!this.isOpen) {
			return;
		}
		const { silenceMs } = this;
		if (silenceMs < this._options.limits.silenceTimeoutMs) {
			this._watchSilence();
			return;
		}
		this._close(`The peer was silent for ${Math.round(silenceMs)} ms.`);
	}

	private _write(message: Message | HelloFrame): boolean {
		if (this._isClosed) {
			return false;
		}
		let frame: Buffer;
		try {
			frame = this._encoder.encode(message);
		} catch (error) {
			this._close(describeError(error));
			return false;
		}
		this._corkForThisTurn();
		this._socket.write(frame);
		this._lastSentMs = performance.now();
		if (this._socket.writableLength > this._options.limits.maxUnsentBytes) {
			this._close(
				`The peer stopped reading: more than ${this._options.limits.maxUnsentBytes} bytes are unsent.`,
			);
		}
		return true;
	}

	/** Combines the frames that are written until the next tick into one write to the socket. */
	private _corkForThisTurn(): void {
		if (this._isCorked) {
			return;
		}
		this._isCorked = true;
		this._socket.cork();
		process.nextTick(() => {
			this._isCorked = false;
			this._socket.uncork();
		});
	}

	private _receive(chunk: Buffer): void {
		if (this._isClosed) {
			return;
		}
		this._lastReceivedMs = performance.now();
		let frames: object[];
		try {
			frames = this._decoder.push(chunk);
		} catch (error) {
			this._close(describeError(error));
			return;
		}
		for (const frame of frames) {
			this._handleFrame(frame);
		}
	}

	private _handleFrame(frame: object): void {
		if (this._isClosed) {
			return;
		}
		if (!this._isOpen) {
			this._handleHandshake(frame);
			return;
		}
		const message = frame as Partial<Message>;
		if (typeof message.kind !== 'string') {
			this._close('The peer sent a frame without a kind.');
			return;
		}
		if (message.kind !== pingFrame.kind) {
			this._deliver(message as Message);
		}
	}

	/** Passes a message on. A failure to handle it ends just this connection; its owner logs the reason. */
	private _deliver(message: Message): void {
		try {
			this._onDidReceive.fire(message);
		} catch (error) {
			this._close(`A message of the kind "${message.kind}" could not be handled: ${describeError(error)}`);
		}
	}

	private _handleHandshake(frame: object): void {
		const peerSide: HandshakeSide = this._side === 'client' ? 'server' : 'client';
		if (this._peerHello === undefined) {
			if (!isHello(frame)) {
				this._close('The first frame of the peer is not a hello frame of this protocol version.');
				return;
			}
			this._peerHello = frame;
			this._write(createProof(this._options.secret, this._side, this._hello, frame));
			return;
		}
		if (
			!isProof(frame) ||
			!isProofValid(this._options.secret, peerSide, this._hello, this._peerHello, frame)
		) {
			this._close('The peer did not prove the shared secret; check the secret in its settings.');
			return;
		}
		this._isOpen = true;
		this._onDidOpen.fire(undefined);
	}

	private _close(reason: string): void {
		if (this._isClosed) {
			return;
		}
		this._isClosed = true;
		this._socket.destroy();
		this._onDidClose.fire(reason);
		super.dispose();
	}
}
