/**
 * Writes lines to a file descriptor without ever blocking the event loop: a reader that stops reading costs lines, which
 * are counted, and at high rates lines beyond a limit are left out and counted too.
 */

import { write } from 'node:fs';

/** Lines a second that are written; one that is left out is counted. */
const maxLinesPerS = 200;
/** Lines that may come at once. */
const maxBurstLines = 400;
/** Bytes that may wait for a reader. */
const maxWaitingBytes = 256 * 1024;

/** Writes bytes and calls back; an abstraction so that tests can hold it up. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/** Writes to a descriptor in a thread of its own. */
export function writeToDescriptor(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, done);
	};
}

/**
 * A bounded writer of lines.
 *
 * @example
 * const lines = new LineWriter(writeToDescriptor(1), () => performance.now());
 * lines.write('{"event":"process.ready"}');
 */
export class LineWriter {
	private _waiting: string[] = [];
	private _waitingBytes = 0;
	private _isWriting = false;
	private _left = 0;
	private _tokens = maxBurstLines;
	private _refilledMs: number;

	constructor(
		private readonly _write: WriteBytes,
		private readonly _nowMs: () => number,
	) {
		this._refilledMs = _nowMs();
	}

	/** Queues a line, or leaves it out. */
	write(line: string): void {
		if (!this._takeToken() || this._waitingBytes + line.length > maxWaitingBytes) {
			this._left += 1;
			return;
		}
		if (this._left > 0) {
			this._push(
				JSON.stringify({ time: new Date().toISOString(), event: 'log.linesLeftOut', lines: this._left }),
			);
			this._left = 0;
		}
		this._push(line);
		this._flush();
	}

	private _takeToken(): boolean {
		const nowMs = this._nowMs();
		const refill = ((nowMs - this._refilledMs) / 1000) * maxLinesPerS;
		this._tokens = Math.min(maxBurstLines, this._tokens + refill);
		this._refilledMs = nowMs;
		if (this._tokens < 1) {
			return false;
		}
		this._tokens -= 1;
		return true;
	}

	private _push(line: string): void {
		this._waiting.push(line);
		this._waitingBytes += line.length + 1;
	}

	private _flush(): void {
		if (this._isWriting || this._waiting.length === 0) {
			return;
		}
		this._isWriting = true;
		const bytes = Buffer.from(`${this._waiting.join('\n')}\n`);
		this._waiting = [];
		this._waitingBytes = 0;
		this._write(bytes, (error) => {
			this._isWriting = false;
			if (error !== null) {
				this._left += 1;
			}
			this._flush();
		});
	}
}
