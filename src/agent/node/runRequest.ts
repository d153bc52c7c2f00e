/** The HTTP request that runs one task, and what its end proves about the task. */

import type { Dispatcher } from 'undici';
import type { IncomingHttpHeaders } from 'node:http';
import { describeError } from '../../base/common/errors.js';
import type { RunEnd } from '../common/agentInputs.js';
import type { TaskUsage } from '../common/taskRecord.js';
import { refusalStatus, upstreamHeaders } from '../common/upstreamProtocol.js';

/** Characters of a failed task's body that are passed on. */
const maxFailureMessageChars = 500;

/**
 * Handles the events of one start request.
 *
 * undici calls `onRequestStart` right before it writes a request to a connection. An error before it proves that
 * nothing was sent; an error after it proves nothing.
 */
export class RunRequest implements Dispatcher.DispatchHandler {
	/** Whether the upstream was asked to stop the task: a failure then is a stop. */
	isStopAsked = false;
	private _controller: Dispatcher.DispatchController | undefined;
	private _isEnded = false;
	private _isAbandoned = false;
	private _status = 0;
	private _isRefusal = false;
	private _usage: TaskUsage | undefined;
	private readonly _chunks: Buffer[] = [];
	private _bodyBytes = 0;

	/**
	 * @param _maxResultBytes largest body that is taken
	 * @param _onEnd called once, unless the request is abandoned before
	 */
	constructor(
		private readonly _maxResultBytes: number,
		private readonly _onEnd: (end: RunEnd) => void,
	) {}

	/** Closes the request's connection and reports nothing any more. */
	abandon(): void {
		this._isEnded = true;
		this._isAbandoned = true;
		this._controller?.abort(new Error('The agent gave up the run.'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		const isSecondWrite = this._controller !== undefined;
		this._controller = controller;
		if (isSecondWrite || this._isAbandoned) {
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
		this._usage = toUsage(headers);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this._bodyBytes += chunk.length;
		if (this._bodyBytes > this._maxResultBytes) {
			this._end({
				state: 'failed',
				message: `The result is larger than ${this._maxResultBytes} bytes; raise maxResultBytes in the agent's settings.`,
			});
			controller.abort(new Error('The result is too large.'));
			return;
		}
		this._chunks.push(chunk);
	}

	onResponseEnd(): void {
		this._end(this._toEnd(Buffer.concat(this._chunks).toString('utf8')));
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this._controller === undefined) {
			this._end({ state: 'notStarted', cause: isUnreachable(error) ? 'unreachable' : 'refused' });
			return;
		}
		const message = `The connection to the upstream was lost while the task ran: ${describeError(error)}.`;
		this._end({ state: 'lost', message });
	}

	private _toEnd(body: string): RunEnd {
		if (this._isRefusal) {
			return { state: 'notStarted', cause: 'refused' };
		}
		if (this._status >= 200 && this._status < 300) {
			return isJson(body)
				? { state: 'done', resultJson: body, usage: this._usage }
				: { state: 'failed', message: 'The upstream answered with a result that is not valid JSON.' };
		}
		if (this.isStopAsked) {
			return { state: 'stopped' };
		}
		const message = `The upstream answered with status ${this._status}: ${body.slice(0, maxFailureMessageChars)}`;
		return { state: 'failed', message, usage: this._usage };
	}

	private _end(end: RunEnd): void {
		if (this._isEnded) {
			return;
		}
		this._isEnded = true;
		this._onEnd(end);
	}
}

function toUsage(headers: IncomingHttpHeaders): TaskUsage | undefined {
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

/** Whether an error says that nothing takes connections at the upstream's address. */
function isUnreachable(error: Error): boolean {
	const { code } = error as NodeJS.ErrnoException;
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
