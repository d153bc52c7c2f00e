/**
 * Writes lines to a file descriptor without blocking the event loop. Lines are dropped and counted when the consumer of
 * the descriptor stops reading, and when they exceed a rate limit.
 */

import { write } from 'node:fs';

/** Sustained rate of lines; lines beyond it are dropped and counted. */
const maxLinesPerSecond = 200;
/** Lines that may be written in one burst. */
const maxBurstLines = 400;
/** Limit of the queue while the consumer isn't reading, in bytes; lines beyond it are dropped and counted. */
const maxQueuedBytes = 256 * 1024;

/** Writes bytes and calls `done` when the write has ended; tests replace it to delay writes. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/** Returns a function that writes to a file descriptor on the thread pool of Node.js. */
export function writeToDescriptor(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, done);
	};
}

/**
 * Writes lines from a bounded queue, at a limited rate.
 *
 * @example
 * const lines = new LineWriter(writeToDescriptor(1), () => performance.now());
 * lines.write('{"event":"process.ready"}');
 */
export class LineWriter {
	private _queuedLines: string[] = [];
	private _queuedBytes = 0;
	private _isWriting = false;
	private _droppedLines = 0;
	private _tokens = maxBurstLines;
	private _lastRefillMs: number;

	constructor(
		private readonly _writeBytes: WriteBytes,
		private readonly _nowMs: () => number,
	) {
		this._lastRefillMs = _nowMs();
	}

	/** Queues a line, or drops it when the rate limit or the queue's limit is exceeded. */
	write(line: string): void {
		if (!this._takeToken() || this._queuedBytes + line.length > maxQueuedBytes) {
			this._droppedLines += 1;
			return;
		}
		if (this._droppedLines > 0) {
			this._enqueue(
				JSON.stringify({
					time: new Date().toISOString(),
					event: 'log.linesLeftOut',
					lines: this._droppedLines,
				}),
			);
			this._droppedLines = 0;
		}
		this._enqueue(line);
		this._flush();
	}

	private _takeToken(): boolean {
		const nowMs = this._nowMs();
		const refill = ((nowMs - this._lastRefillMs) / 1000) * maxLinesPerSecond;
		this._tokens = Math.min(maxBurstLines, this._tokens + refill);
		this._lastRefillMs = nowMs;
		if (this._tokens < 1) {
			return false;
		}
		this._tokens -= 1;
		return true;
	}

	private _enqueue(line: string): void {
		this._queuedLines.push(line);
		this._queuedBytes += line.length + 1;
	}

	private _flush(): void {
		if (this._isWriting || this._queuedLines.length === 0) {
			return;
		}
		this._isWriting = true;
		const bytes = Buffer.from(`${this._queuedLines.join('\n')}\n`);
		this._queuedLines = [];
		this._queuedBytes = 0;
		this._writeBytes(bytes, (error) => {
			this._isWriting = false;
			if (error !== null) {
				this._droppedLines += 1;
			}
			this._flush();
		});
	}
}
