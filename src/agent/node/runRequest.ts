/** Handler of the HTTP request that runs one task; derives the end of the task from the response or the error. */

import type { Dispatcher } from 'undici';
import type { IncomingHttpHeaders } from 'node:http';
import { describeError } from '../../base/common/errors.js';
import type { RunEnd } from '../common/agentInputs.js';
import type { TaskUsage } from '../common/taskRecord.js';
import { refusalStatus, upstreamHeaders } from '../common/upstreamProtocol.js';

/** Longest part of a failed task's response body, in characters, that is included in the message. */
const maxFailureMessageChars = 500;

/**
 * Handles the events of one start request.
 *
 * undici calls `onRequestStart` right before it writes a request to a connection. An error before that call proves
 * that nothing was sent; after an error that follows it, the task may or may not have started.
 */
export class RunRequest implements Dispatcher.DispatchHandler {
	/** Whether the upstream was asked to stop the task; a failure after that is reported as a stop. */
	isStopRequested = false;
	private _controller: Dispatcher.DispatchController | undefined;
	private _hasEnded = false;
	private _isAbandoned = false;
	private _status = 0;
	/** Whether the upstream refused the task before it started. */
	private _isRefusal = false;
	private _usage: TaskUsage | undefined;
	private readonly _chunks: Buffer[] = [];
	private _bodyBytes = 0;

	/**
	 * @param _maxResultBytes largest response body that is accepted
	 * @param _onEnd called once, unless the request is abandoned before
	 */
	constructor(
		private readonly _maxResultBytes: number,
		private readonly _onEnd: (end: RunEnd) => void,
	) {}

	/** Closes the request's connection and suppresses the report of its end. */
	abandon(): void {
		this._hasEnded = true;
		this._isAbandoned = true;
		this._controller?.abort(new Error('The agent abandoned the run.'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		const wasWrittenBefore = this._controller !== undefined;
		this._controller = controller;
		if (wasWrittenBefore || this._isAbandoned) {
			controller.abort(new Error('A start is sent at most once.'));
		}
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		this._status = status;
		this._isRefusal = status === refusalStatus && headers[upstreamHeaders.notStarted] !== undefined;
		this._usage = parseUsage(headers);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this._bodyBytes += chunk.length;
		if (this._bodyBytes > this._maxResultBytes) {
			this._reportEnd({
				state: 'failed',
				message: `The result is larger than ${this._maxResultBytes} bytes; raise maxResultBytes in the agent's settings.`,
			});
			controller.abort(new Error('The result is too large.'));
			return;
		}
		this._chunks.push(chunk);
	}

	onResponseEnd(): void {
		this._reportEnd(this._createEnd(Buffer.concat(this._chunks).toString('utf8')));
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this._controller === undefined) {
			this._reportEnd({ state: 'notStarted', cause: isUnreachable(error) ? 'unreachable' : 'refused' });
			return;
		}
		const message = `The connection to the upstream was lost while the task ran: ${describeError(error)}.`;
		this._reportEnd({ state: 'lost', message });
	}

	private _createEnd(body: string): RunEnd {
		if (this._isRefusal) {
			return { state: 'notStarted', cause: 'refused' };
		}
		if (this._status >= 200 && this._status < 300) {
			return isJson(body)
				? { state: 'done', resultJson: body, usage: this._usage }
				: { state: 'failed', message: 'The upstream answered with a result that is not valid JSON.' };
		}
		if (this.isStopRequested) {
			return { state: 'stopped' };
		}
		const message = `The upstream answered with status ${this._status}: ${body.slice(0, maxFailureMessageChars)}`;
		return { state: 'failed', message, usage: this._usage };
	}

	private _reportEnd(end: RunEnd): void {
		if (this._hasEnded) {
			return;
		}
		this._hasEnded = true;
		this._onEnd(end);
	}
}

/** Returns the usage from the response headers; undefined when a header is missing or not a valid number. */
function parseUsage(headers: IncomingHttpHeaders): TaskUsage | undefined {
	const cores = Number(headers[upstreamHeaders.usedCores] ?? NaN);
	const memoryBytes = Number(headers[upstreamHeaders.usedMemoryBytes] ?? NaN);
	return cores >= 0 && memoryBytes >= 0 ? { cores, memoryBytes } : undefined;
}

function isJson(text: string): boolean {
	try {
		JSON.parse(text);
		return true;
	} catch {
		return false;
	}
}

/** Returns whether an error shows that nothing accepts connections at the upstream's address. */
function isUnreachable(error: Error): boolean {
	const { code } = error as NodeJS.ErrnoException;
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
