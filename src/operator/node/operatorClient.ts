/** HTTP client of the operators' interface of the keepers, which fails over to the next keeper. */

import { Err, Ok, type Result } from 'ts-results-es';
import { Agent, request } from 'undici';
import { backoffMs, delay, type BackoffOptions } from '../../base/common/async.js';
import { describeError } from '../../base/common/errors.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import {
	operatorPaths,
	type ChangeRequest,
	type ChangeResult,
	type HistoryBody,
	type MemberChangeRequest,
	type OperatorErrorBody,
	type SystemStatus,
	type TablesBody,
} from '../../protocol/common/operatorApi.js';

/** Why a request has no result. */
export type OperatorErrorKind =
	/** The request was certainly not carried out. */
	| 'failed'
	/** The response was lost, so the change may or may not have been accepted. */
	| 'unknown';

/** Error of a request to the keepers that has no result. */
export class OperatorError extends Error {
	constructor(
		readonly errorKind: OperatorErrorKind,
		message: string,
	) {
		super(message);
		this.name = 'OperatorError';
	}
}

/** Addresses, token and time limit of an {@link OperatorClient}. */
export interface OperatorClientOptions {
	/** Operator addresses of the keepers, in the order in which they are tried. */
	readonly addresses: readonly string[];
	/** Bearer token of the operators' interface. */
	readonly token: string;
	/** Time after which no further attempt is made. */
	readonly timeoutMs: number;
}

/** Timeout of one attempt at one keeper; longer than a keeper waits for a commit. */
const attemptTimeoutMs = 4000;

/** Timeout of a status request that goes to every keeper; a stopped keeper must not delay the result. */
const statusTimeoutMs = 500;

const retryBackoff: BackoffOptions = { firstMs: 50, maxMs: 500 };

/** HTTP response of a keeper. */
interface KeeperResponse {
	readonly status: number;
	readonly body: unknown;
}

/** Client of the operators' interface. Tries the keepers in turn until one gives a final response. */
export class OperatorClient extends Disposable {
	private readonly _agent = new Agent({
		connect: { timeout: 1000 },
		headersTimeout: attemptTimeoutMs,
		bodyTimeout: attemptTimeoutMs,
	});

	constructor(private readonly _options: OperatorClientOptions) {
		super();
		this._register(toDisposable(() => void this._agent.destroy()));
	}

	/** Reads the tables and their revision. */
	async readTables(): Promise<Result<TablesBody, OperatorError>> {
		return (await this._get(operatorPaths.tables)).map((body) => body as TablesBody);
	}

	/** Reads at most `limit` accepted changes, the newest first. */
	async readHistory(limit: number): Promise<Result<HistoryBody, OperatorError>> {
		const path = `${operatorPaths.changes}?limit=${limit}`;
		return (await this._get(path)).map((body) => body as HistoryBody);
	}

	/** Reads the system's status from the first keeper that responds. */
	async readStatus(): Promise<Result<SystemStatus, OperatorError>> {
		return (await this._get(operatorPaths.status)).map((body) => body as SystemStatus);
	}

	/** Requests the status from every keeper once, and returns the statuses of those that responded in time. */
	async readStatusOfEachKeeper(): Promise<SystemStatus[]> {
		const pendingResponses = this._options.addresses.map((address) =>
			this._requestOnce(address, 'GET', operatorPaths.status, undefined, statusTimeoutMs),
		);
		return (await Promise.all(pendingResponses))
			.filter((response) => response.isOk())
			.map((response) => response.value)
			.filter((response) => response.status === 200)
			.map((response) => response.body as SystemStatus);
	}

	/**
	 * Requests a change of the tables. If the response is lost, the request is sent to the next keeper with the same
	 * request id, so that it is carried out at most once.
	 *
	 * @example
	 * const result = await client.requestChange({ requestId, expectedRevision: 7, author: 'ana', edits });
	 */
	async requestChange(changeRequest: ChangeRequest): Promise<Result<ChangeResult, OperatorError>> {
		const response = await this._requestWithRetry(
			'POST',
			operatorPaths.changes,
			JSON.stringify(changeRequest),
		);
		if (response.isErr()) {
			return response;
		}
		const { status, body } = response.value;
		return status === 200 || status === 409 ? Ok(body as ChangeResult) : Err(toOperatorError(status, body));
	}

	/** Adds, promotes or removes one keeper. Fails, with the reason, if the change was made already. */
	async requestMemberChange(change: MemberChangeRequest): Promise<Result<undefined, OperatorError>> {
		const response = await this._requestWithRetry('POST', operatorPaths.members, JSON.stringify(change));
		if (response.isErr()) {
			return response;
		}
		const { status, body } = response.value;
		return status === 200 ? Ok(undefined) : Err(toOperatorError(status, body));
	}

	private async _get(path: string): Promise<Result<unknown, OperatorError>> {
		const response = await this._requestWithRetry('GET', path);
		if (response.isErr()) {
			return Err(new OperatorError('failed', response.error.message));
		}
		const { status, body } = response.value;
		return status === 200 ? Ok(body) : Err(toOperatorError(status, body));
	}

	/** Sends the request to one keeper after the other until one gives a final response or the time is up. */
	private async _requestWithRetry(
		method: 'GET' | 'POST',
		path: string,
		body?: string,
	): Promise<Result<KeeperResponse, OperatorError>> {
		const deadlineMs = performance.now() + this._options.timeoutMs;
		let mayHaveBeenApplied = false;
		let lastFailure: LastFailure | undefined;
		for (let attempt = 0; ; attempt += 1) {
			const address = this._options.addresses[attempt % this._options.addresses.length] ?? '';
			const response = await this._requestOnce(address, method, path, body);
			if (response.isOk() && !isRetryable(response.value.status)) {
				return response;
			}
			mayHaveBeenApplied ||= isOutcomeUnknown(response);
			// A keeper's response explains more than a failed connection, so it isn't overwritten by one.
			if (response.isOk() || lastFailure?.response.isOk() !== true) {
				lastFailure = { address, response };
			}
			if (performance.now() > deadlineMs) {
				return Err(this._describeFailure(lastFailure, mayHaveBeenApplied));
			}
			await delay(backoffMs(retryBackoff, attempt, Math.random));
		}
	}

	private async _requestOnce(
		address: string,
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
		timeoutMs = attemptTimeoutMs,
	): Promise<Result<KeeperResponse, OperatorError>> {
		try {
			const response = await request(`http://${address}${path}`, {
				method,
				dispatcher: this._agent,
				signal: AbortSignal.timeout(timeoutMs),
				headers: {
					authorization: `Bearer ${this._options.token}`,
					...(body === undefined ? {} : { 'content-type': 'application/json' }),
				},
				...(body === undefined ? {} : { body }),
			});
			return Ok({ status: response.statusCode, body: await response.body.json() });
		} catch (error) {
			const isConnectionRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
			return Err(new OperatorError(isConnectionRefused ? 'failed' : 'unknown', describeError(error)));
		}
	}

	private _describeFailure({ address, response }: LastFailure, mayHaveBeenApplied: boolean): OperatorError {
		const reason = response.isErr() ? response.error.message : describeBody(response.value.body);
		const keepers = this._options.addresses.join(', ');
		const addressIntro = response.isErr() ? 'the last one tried was' : 'the last answer came from';
		return new OperatorError(
			mayHaveBeenApplied ? 'unknown' : 'failed',
			`None of the keepers ${keepers} gave a final answer within ${this._options.timeoutMs} ms; ${addressIntro} ${address}: ${reason}`,
		);
	}
}

/** The failed attempt that is reported when no keeper gave a final response. */
interface LastFailure {
	readonly address: string;
	readonly response: Result<KeeperResponse, OperatorError>;
}

/** Returns whether the request may succeed at another keeper, or later at the same one. */
function isRetryable(status: number): boolean {
	return status >= 500;
}

/** Returns whether a change may have been accepted although the attempt gave no final response. */
function isOutcomeUnknown(response: Result<KeeperResponse, OperatorError>): boolean {
	if (response.isErr()) {
		return response.error.errorKind === 'unknown';
	}
	return (response.value.body as OperatorErrorBody).error === 'unknown';
}

function toOperatorError(status: number, body: unknown): OperatorError {
	return new OperatorError('failed', `The keeper answered ${status}: ${describeBody(body)}`);
}

function describeBody(body: unknown): string {
	const { message } = body as Partial<OperatorErrorBody>;
	return message ?? JSON.stringify(body);
}
