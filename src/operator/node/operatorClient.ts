/** Talks to the operators' interface of the keepers, and turns to another keeper when one does not answer. */

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
	type MemberRequest,
	type OperatorErrorBody,
	type SystemStatus,
	type TablesBody,
} from '../../protocol/common/operatorApi.js';

/** Why the keepers gave no result. */
export type OperatorErrorKind =
	/** The request was surely not carried out. */
	| 'failed'
	/** A change may or may not have been accepted: its answer was lost. */
	| 'unknown';

/** A request to the keepers without a result. */
export class OperatorError extends Error {
	constructor(
		readonly errorKind: OperatorErrorKind,
		message: string,
	) {
		super(message);
		this.name = 'OperatorError';
	}
}

/** How the keepers are reached. */
export interface OperatorClientOptions {
	/** Operator addresses of the keepers, in the order in which they are tried. */
	readonly addresses: readonly string[];
	readonly token: string;
	/** Time after which the client gives up. */
	readonly timeoutMs: number;
}

/** Time that one keeper has for an answer: longer than a keeper waits for a commit. */
const attemptTimeoutMs = 4000;

/** Time that one keeper has to say what it knows; one that is stopped must not hold up the others. */
const statusTimeoutMs = 500;

const retryBackoff: BackoffOptions = { firstMs: 50, maxMs: 500 };

/** One answer of one keeper. */
interface Answer {
	readonly status: number;
	readonly body: unknown;
}

/** A client of the operators' interface. */
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

	/** Reads the tables. */
	async tables(): Promise<Result<TablesBody, OperatorError>> {
		return (await this._read(operatorPaths.tables)).map((body) => body as TablesBody);
	}

	/** Reads accepted changes, the newest first. */
	async history(limit: number): Promise<Result<HistoryBody, OperatorError>> {
		const path = `${operatorPaths.changes}?limit=${limit}`;
		return (await this._read(path)).map((body) => body as HistoryBody);
	}

	/** Reads what a keeper knows about the system. */
	async status(): Promise<Result<SystemStatus, OperatorError>> {
		return (await this._read(operatorPaths.status)).map((body) => body as SystemStatus);
	}

	/** Asks every keeper once what it knows about the system, and returns the answers that came. */
	async statuses(): Promise<SystemStatus[]> {
		const asked = this._options.addresses.map((address) =>
			this._askOne(address, 'GET', operatorPaths.status, undefined, statusTimeoutMs),
		);
		return (await Promise.all(asked))
			.filter((answer) => answer.isOk())
			.map((answer) => answer.value)
			.filter((answer) => answer.status === 200)
			.map((answer) => answer.body as SystemStatus);
	}

	/**
	 * Asks for a change. When an answer is lost the request is sent again, to the next keeper, with the same request
	 * id, so that it is carried out at most once.
	 *
	 * @example
	 * const result = await client.change({ requestId, expectedRevision: 7, author: 'ana', edits });
	 */
	async change(change: ChangeRequest): Promise<Result<ChangeResult, OperatorError>> {
		const answer = await this._ask('POST', operatorPaths.changes, JSON.stringify(change));
		if (answer.isErr()) {
			return answer;
		}
		const { status, body } = answer.value;
		return status === 200 || status === 409 ? Ok(body as ChangeResult) : Err(toError(status, body));
	}

	/** Changes the group of keepers by one member. A change that was made already is refused with that reason. */
	async changeMember(change: MemberRequest): Promise<Result<undefined, OperatorError>> {
		const answer = await this._ask('POST', operatorPaths.members, JSON.stringify(change));
		if (answer.isErr()) {
			return answer;
		}
		const { status, body } = answer.value;
		return status === 200 ? Ok(undefined) : Err(toError(status, body));
	}

	private async _read(path: string): Promise<Result<unknown, OperatorError>> {
		const answer = await this._ask('GET', path);
		if (answer.isErr()) {
			return Err(new OperatorError('failed', answer.error.message));
		}
		const { status, body } = answer.value;
		return status === 200 ? Ok(body) : Err(toError(status, body));
	}

	/** Asks one keeper after the other until one answers for good or the time is over. */
	private async _ask(
		method: 'GET' | 'POST',
		path: string,
		body?: string,
	): Promise<Result<Answer, OperatorError>> {
		const untilMs = performance.now() + this._options.timeoutMs;
		let mayHaveArrived = false;
		let lastFailure: Failure | undefined;
		for (let attempt = 0; ; attempt += 1) {
			const address = this._options.addresses[attempt % this._options.addresses.length] ?? '';
			const answer = await this._askOne(address, method, path, body);
			if (answer.isOk() && !isTemporary(answer.value.status)) {
				return answer;
			}
			mayHaveArrived ||= isUnknown(answer);
			// What a keeper says is worth more than that another one can't be reached.
			if (answer.isOk() || lastFailure?.answer.isOk() !== true) {
				lastFailure = { address, answer };
			}
			if (performance.now() > untilMs) {
				return Err(this._describeFailure(lastFailure, mayHaveArrived));
			}
			await delay(backoffMs(retryBackoff, attempt, Math.random));
		}
	}

	private async _askOne(
		address: string,
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
		timeoutMs = attemptTimeoutMs,
	): Promise<Result<Answer, OperatorError>> {
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
			const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
			return Err(new OperatorError(isRefused ? 'failed' : 'unknown', describeError(error)));
		}
	}

	private _describeFailure({ address, answer }: Failure, mayHaveArrived: boolean): OperatorError {
		const reason = answer.isErr() ? answer.error.message : describeBody(answer.value.body);
		const keepers = this._options.addresses.join(', ');
		const verb = answer.isErr() ? 'the last one asked was' : 'the last answer came from';
		return new OperatorError(
			mayHaveArrived ? 'unknown' : 'failed',
			`No keeper of ${keepers} answered for good within ${this._options.timeoutMs} ms; ${verb} ${address}: ${reason}`,
		);
	}
}

/** The failure that is told when no keeper answered for good. */
interface Failure {
	readonly address: string;
	readonly answer: Result<Answer, OperatorError>;
}

/** Whether another keeper, or the same one later, may answer better. */
function isTemporary(status: number): boolean {
	return status >= 500;
}

/** Whether a change may have arrived although it was not answered for good. */
function isUnknown(answer: Result<Answer, OperatorError>): boolean {
	if (answer.isErr()) {
		return answer.error.errorKind === 'unknown';
	}
	return (answer.value.body as OperatorErrorBody).error === 'unknown';
}

function toError(status: number, body: unknown): OperatorError {
	return new OperatorError('failed', `The keeper answered ${status}: ${describeBody(body)}`);
}

function describeBody(body: unknown): string {
	const { message } = body as Partial<OperatorErrorBody>;
	return message ?? JSON.stringify(body);
}
