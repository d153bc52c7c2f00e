/** Submits jobs to a local system over HTTP and records the answers for the auditor. */

import { Agent, request } from 'undici';
import { z } from 'zod';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { delay } from '../../base/common/async.js';
import { describeError } from '../../base/common/errors.js';
import type { ReaderOutcome, ReaderRecord } from '../common/auditRecords.js';

/** Payload of a task; the stand-in upstream echoes it. */
export interface TaskPayload {
	/** Unique among all tasks; see `auditRecords`. */
	readonly token: string;
	/** Run time at the stand-in. */
	readonly runMs: number;
	/** Whether the task fails at the stand-in. */
	readonly fail?: boolean;
}

/** A job for a reader to submit. */
export interface ReaderJob {
	readonly route: string;
	readonly tasks: readonly TaskPayload[];
	readonly team?: string;
	readonly key?: string;
	readonly deadlineMs?: number;
	readonly repeatable?: boolean;
	/** Resources that each task needs; none by default. */
	readonly needs?: { readonly cores?: number; readonly memoryBytes?: number; readonly accelerators?: number };
}

/** An entry that jobs are submitted to. */
export interface ReaderTarget {
	readonly name: string;
	/** Base URL, without a trailing slash. */
	readonly url: string;
}

/** An attempt with the details of its answer. */
export interface ReaderAnswer extends ReaderRecord {
	readonly httpStatus: number | undefined;
	/** Message of a failure or refusal; empty for a complete answer. */
	readonly message: string;
	/** Time after which to retry, as given by a refusal. */
	readonly retryAfterMs: number | undefined;
}

/** Time that a reader waits for an answer beyond the job's deadline. */
const answerGraceMs = 30_000;

const defaultDeadlineMs = 10_000;

/** Wait before a retry when the refusal gives none. */
const defaultRetryDelayMs = 50;

/** Maximum wait before a retry, whatever the refusal gives, to keep tests short. */
const maxRetryDelayMs = 250;

/** Answers of `POST /v1/routes/{route}/jobs`, as specified in docs/INTERFACE.md. */
const answerSchema = z.discriminatedUnion('status', [
	z.object({ status: z.literal('complete'), results: z.array(z.unknown()) }),
	z.object({ status: z.literal('failed'), outcome: z.string(), reason: z.string(), message: z.string() }),
	z.object({
		status: z.literal('notRun'),
		reason: z.string(),
		message: z.string(),
		retryAfterMs: z.number().optional(),
	}),
]);

const echoSchema = z.object({ echo: z.object({ token: z.string() }) });

interface ParsedAnswer {
	readonly outcome: ReaderOutcome;
	readonly httpStatus?: number;
	readonly message: string;
	readonly retryAfterMs?: number | undefined;
}

/**
 * Submits jobs and records each attempt.
 *
 * @example
 * const readers = store.add(new ReaderClient());
 * const answer = await readers.submit(entry, { route: 'commission-terms', tasks: [{ token: 't1', runMs: 50 }] });
 */
export class ReaderClient extends Disposable {
	private readonly _records: ReaderRecord[] = [];
	private readonly _http = new Agent({ connections: null, pipelining: 1 });

	constructor() {
		super();
		this._register(
			toDisposable(() => {
				void this._http.destroy();
			}),
		);
	}

	/** Ended attempts, in the order in which they ended. */
	get records(): readonly ReaderRecord[] {
		return this._records;
	}

	/** Submits a job and waits for its answer; never rejects. Aborting the signal disconnects the reader. */
	async submit(target: ReaderTarget, job: ReaderJob, signal?: AbortSignal): Promise<ReaderAnswer> {
		const sentAtMs = Date.now();
		const parsed = await this._sendJob(target, job, signal);
		const answer: ReaderAnswer = {
			entry: target.name,
			key: job.key,
			tokens: job.tasks.map(({ token }) => token),
			sentAtMs,
			endedAtMs: Date.now(),
			outcome: parsed.outcome,
			httpStatus: parsed.httpStatus,
			message: parsed.message,
			retryAfterMs: parsed.retryAfterMs,
		};
		this._records.push(answer);
		return answer;
	}

	/**
	 * Submits a job, and resubmits it while it is answered `notRun`.
	 *
	 * @param untilMs time of `performance.now()` after which a refusal is returned instead of retried
	 */
	async submitUntilAccepted(
		target: ReaderTarget,
		job: ReaderJob,
		untilMs: number,
		signal?: AbortSignal,
	): Promise<ReaderAnswer> {
		for (;;) {
			const answer = await this.submit(target, job, signal);
			if (answer.outcome.kind !== 'notRun' || performance.now() > untilMs) {
				return answer;
			}
			await delay(Math.min(answer.retryAfterMs ?? defaultRetryDelayMs, maxRetryDelayMs));
		}
	}

	private async _sendJob(target: ReaderTarget, job: ReaderJob, signal?: AbortSignal): Promise<ParsedAnswer> {
		const { route, key, ...body } = job;
		const timeoutMs = (job.deadlineMs ?? defaultDeadlineMs) + answerGraceMs;
		try {
			const response = await request(`${target.url}/v1/routes/${route}/jobs`, {
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					...(key === undefined ? {} : { 'idempotency-key': key }),
				},
				body: JSON.stringify(body),
				dispatcher: this._http,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
				...(signal === undefined ? {} : { signal }),
			});
			return parseAnswer(response.statusCode, await response.body.text());
		} catch (error) {
			const message = describeError(error);
			if (signal?.aborted === true) {
				return { outcome: { kind: 'left' }, message };
			}
			return { outcome: { kind: 'noAnswer', message }, message };
		}
	}
}

function parseAnswer(httpStatus: number, text: string): ParsedAnswer {
	const parsed = answerSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		const isBadRequest = httpStatus >= 400 && httpStatus < 500;
		return isBadRequest
			? { outcome: { kind: 'badRequest', httpStatus }, httpStatus, message: text }
			: { outcome: { kind: 'noAnswer', message: `HTTP ${httpStatus}: ${text}` }, httpStatus, message: text };
	}
	const answer = parsed.data;
	if (answer.status === 'complete') {
		const echoedTokens = answer.results.map((result) => echoSchema.safeParse(result).data?.echo.token);
		return { outcome: { kind: 'complete', echoedTokens }, httpStatus, message: '' };
	}
	if (answer.status === 'failed') {
		const reason = `${answer.outcome}/${answer.reason}`;
		return { outcome: { kind: 'failed', reason }, httpStatus, message: answer.message };
	}
	const { reason, message, retryAfterMs } = answer;
	return { outcome: { kind: 'notRun', reason }, httpStatus, message, retryAfterMs };
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
