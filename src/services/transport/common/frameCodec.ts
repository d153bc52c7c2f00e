/**
 * Encodes and decodes the frames between processes: a 4-byte big-endian length, then one CBOR value.
 *
 * An encoder and the decoder of the peer belong to one connection and share state: the layout of an object is sent once
 * and referred to afterwards. Therefore all encoded frames must be sent, in order.
 */

import { Encoder } from 'cbor-x';

/** Size of the length before the body of each frame. */
const headerBytes = 4;

/** Thrown for a frame that exceeds the limit or is malformed; its connection must be closed. */
export class FrameError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'FrameError';
	}
}

/**
 * Encodes messages for one connection.
 *
 * @example
 * socket.write(encoder.encode({ kind: 'ping' }));
 */
export class FrameEncoder {
	private readonly _encoder = new Encoder({ sequential: true });

	constructor(private readonly _maxFrameBytes: number) {}

	/**
	 * Encodes one frame, with its length.
	 *
	 * @throws FrameError when the frame exceeds the limit; the connection can't be used afterwards.
	 */
	encode(message: object): Buffer {
		const body = this._encoder.encode(message);
		if (body.length > this._maxFrameBytes) {
			throw new FrameError(
				`A frame of ${body.length} bytes exceeds the limit of ${this._maxFrameBytes} bytes.`,
			);
		}
		const frame = Buffer.allocUnsafe(headerBytes + body.length);
		frame.writeUInt32BE(body.length, 0);
		body.copy(frame, headerBytes);
		return frame;
	}
}

/**
 * Splits a byte stream into messages.
 *
 * @example
 * for (const message of decoder.push(chunk)) { handle(message); }
 */
export class FrameDecoder {
	private readonly _decoder = new Encoder({ sequential: true });
	private _chunks: Buffer[] = [];
	private _bufferedBytes = 0;

	constructor(private readonly _maxFrameBytes: number) {}

	/**
	 * Adds the next bytes of the stream and returns the messages completed by them.
	 *
	 * @throws FrameError on a frame that is too long or isn't a CBOR object.
	 */
	push(chunk: Buffer): object[] {
		this._chunks.push(chunk);
		this._bufferedBytes += chunk.length;
		const messages: object[] = [];
		for (;;) {
			const body = this._takeFrame();
			if (body === undefined) {
				return messages;
			}
			messages.push(this._decode(body));
		}
	}

	private _takeFrame(): Buffer | undefined {
		if (this._bufferedBytes < headerBytes) {
			return undefined;
		}
		if ((this._chunks[0]?.length ?? 0) < headerBytes) {
			this._joinChunks();
		}
		const bodyBytes = this._chunks[0]?.readUInt32BE(0) ?? 0;
		if (bodyBytes > this._maxFrameBytes) {
			throw new FrameError(
				`A frame of ${bodyBytes} bytes exceeds the limit of ${this._maxFrameBytes} bytes.`,
			);
		}
		const frameBytes = headerBytes + bodyBytes;
		if (this._bufferedBytes < frameBytes) {
			return undefined;
		}
		const joined = this._joinChunks();
		this._chunks = joined.length === frameBytes ? [] : [joined.subarray(frameBytes)];
		this._bufferedBytes -= frameBytes;
		return joined.subarray(headerBytes, frameBytes);
	}

	private _joinChunks(): Buffer {
		const [only] = this._chunks;
		const joined = this._chunks.length === 1 && only !== undefined ? only : Buffer.concat(this._chunks);
		this._chunks = [joined];
		return joined;
	}

	private _decode(body: Buffer): object {
		let message: unknown;
		try {
			message = this._decoder.decode(body);
		} catch {
			throw new FrameError(`A frame of ${body.length} bytes is not valid CBOR.`);
		}
		if (typeof message !== 'object' || message === null) {
			throw new FrameError('A frame does not hold an object.');
		}
		return message;
	}
}
