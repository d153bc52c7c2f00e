/** HTTP interface for readers and the balancer. */

import { createHash, randomUUID } from 'node:crypto';
import type { HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { hash64Hex } from '../../base/common/rendezvous.js';
import type { Tables } from '../../declarations/common/tables.js';
import type { JobAnswer, JobSubmission } from '../../protocol/common/jobs.js';
import { toHttpErrorResponse, toHttpResponse, type HttpResponseParts } from '../common/httpResponse.js';
import { staleTablesRefusal } from '../common/systems/admissionSystem.js';
import { parseJobRequest, type JobRequest } from '../common/jobRequest.js';
import type { EntryInput, ReaderAnswer } from '../common/tickTypes.js';
import { readBody } from './readBody.js';

/** The functions of the entry that the HTTP interface uses. */
export interface IReaderApiHost {
	/** Returns the operators' tables that are in force. */
	currentTables(): Tables;
	/** Returns a sentence that says why the balancer should send no readers here; undefined if the entry is ready. */
	notReadyReason(): string | undefined;
	/** Whether the tables are fresh enough to tell a reader that a route does not exist. */
	hasFreshTables(): boolean;
	/** Records the outcome of a reader's job. */
	recordOutcome(route: string, answer: JobAnswer, responseMs: number): void;
	/** Adds an input to the core's next tick. */
	pushInput(input: EntryInput): void;
}

interface ReaderApiEnv {
	readonly Bindings: HttpBindings;
}

/** Accepts jobs over HTTP and returns to each reader the answer to its job. */
export class ReaderApi {
	private readonly _waitingReaders = new Map<number, (answer: JobAnswer) => void>();
	private _lastReaderId = 0;

	constructor(
		private readonly _host: IReaderApiHost,
		private readonly _maxBodyBytes: number,
	) {}

	/** Number of readers that wait for an answer. */
	get waitingReaderCount(): number {
		return this._waitingReaders.size;
	}

	/** Creates the application with all routes of this interface. */
	createApp(): Hono<ReaderApiEnv> {
		const app = new Hono<ReaderApiEnv>();
		app.post('/v1/routes/:route/jobs', (context) => this._handleSubmit(context));
		app.delete('/v1/jobs/:jobId', (context) => {
			this._host.pushInput({ kind: 'cancelJob', jobId: context.req.param('jobId') });
			return context.body(null, 202);
		});
		app.get('/healthz', (context) => context.json({ status: 'alive' }));
		app.get('/readyz', (context) => {
			const reason = this._host.notReadyReason();
			return reason === undefined
				? context.json({ status: 'ready' })
				: context.json({ status: 'notReady', reason }, 503);
		});
		app.notFound(() =>
			createResponse(
				toHttpErrorResponse({ status: 404, field: 'path', message: 'This path does not exist.' }),
			),
		);
		return app;
	}

	/** Delivers answers to the readers that wait for them. */
	deliverAnswers(answers: readonly ReaderAnswer[]): void {
		for (const { readerId, answer } of answers) {
			const resolve = this._waitingReaders.get(readerId);
			this._waitingReaders.delete(readerId);
			resolve?.(answer);
		}
	}

	private async _handleSubmit(context: Context<ReaderApiEnv, '/v1/routes/:route/jobs'>): Promise<Response> {
		const body = await readBody(context.env.incoming, this._maxBodyBytes);
		if ('error' in body) {
			return createResponse(this._createTooLargeResponse());
		}
		const rawRequest = {
			route: context.req.param('route'),
			idempotencyKey: context.req.header('idempotency-key'),
			jobId: context.req.header('job-id'),
			body: body.text,
		};
		const request = parseJobRequest(rawRequest, this._host.currentTables());
		if (request.isErr()) {
			// A route that is missing from stale tables may have been added since.
			const mayRouteExist = request.error.field === 'route' && !this._host.hasFreshTables();
			return createResponse(
				mayRouteExist ? toHttpResponse(randomUUID(), staleTablesAnswer) : toHttpErrorResponse(request.error),
			);
		}
		const jobId = request.value.jobId ?? randomUUID();
		const startedMs = performance.now();
		const answer = await this._submitAndWait(context, jobId, createSubmission(request.value));
		this._host.recordOutcome(request.value.route, answer, performance.now() - startedMs);
		return createResponse(toHttpResponse(jobId, answer));
	}

	private _submitAndWait(
		context: Context<ReaderApiEnv>,
		jobId: string,
		submission: JobSubmission,
	): Promise<JobAnswer> {
		this._lastReaderId += 1;
		const readerId = this._lastReaderId;
		const { outgoing } = context.env;
		return new Promise((resolve) => {
			const onClose = (): void => {
				if (this._waitingReaders.delete(readerId)) {
					this._host.pushInput({ kind: 'readerGone', readerId });
					resolve(readerGoneAnswer);
				}
			};
			this._waitingReaders.set(readerId, (answer) => {
				outgoing.off('close', onClose);
				resolve(answer);
			});
			outgoing.once('close', onClose);
			this._host.pushInput({ kind: 'submit', readerId, jobId, submission });
		});
	}

	private _createTooLargeResponse(): HttpResponseParts {
		const message = `The body exceeds the limit of ${this._maxBodyBytes} bytes.`;
		return toHttpErrorResponse({ status: 413, field: 'body', message });
	}
}

/** Answer for a reader that has disconnected; it only counts as the job's outcome and is never received. */
const readerGoneAnswer: JobAnswer = {
	status: 'notRun',
	reason: 'cancelled',
	message: 'The reader has disconnected.',
};

const staleTablesAnswer: JobAnswer = { status: 'notRun', ...staleTablesRefusal };

function createResponse(parts: HttpResponseParts): Response {
	return new Response(parts.body, { status: parts.status, headers: parts.headers });
}

/** Creates the submission of a request. With an idempotency key, its id is the same at every entry. */
function createSubmission(request: JobRequest): JobSubmission {
	const { route, team, key, repeatable, needs, payloadsJson } = request;
	const isKeyed = key !== undefined;
	return {
		submissionId: isKeyed ? hashSubmissionId(team, route, key) : randomUUID(),
		route,
		team,
		isKeyed,
		repeatable,
		remainingMs: request.deadlineMs,
		needs,
		payloadsJson,
		fingerprint: isKeyed ? hash64Hex(payloadsJson.join(',')) : undefined,
	};
}

const submissionIdHexDigits = 32;

function hashSubmissionId(team: string, route: string, key: string): string {
	return createHash('sha256')
		.update(`${team}\n${route}\n${key}`)
		.digest('hex')
		.slice(0, submissionIdHexDigits);
}
