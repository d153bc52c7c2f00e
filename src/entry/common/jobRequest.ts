/** Validates a reader's HTTP request and converts it into a job request. */

import { Err, Ok, type Result } from 'ts-results-es';
import { z } from 'zod';
import { describeError } from '../../base/common/errors.js';
import type { RouteRow, Tables } from '../../declarations/common/tables.js';
import { nameSchema } from '../../services/settings/common/settingsSchema.js';
import { noNeeds, type TaskNeeds } from '../../protocol/common/jobs.js';
import { sliceArrayMember } from './jsonSlices.js';

/** Team of a job whose request names none. */
export const defaultTeam = 'default';

const idempotencyKeySchema = z
	.string()
	.regex(/^[\x21-\x7e]{1,200}$/, 'Give 1 to 200 printable characters without spaces.');
const jobIdSchema = z
	.string()
	.regex(/^[A-Za-z0-9_-]{16,128}$/, 'Give 16 to 128 letters, digits, hyphens and underscores.');

const needsSchema = z.strictObject({
	cores: z.number().nonnegative().max(100_000).default(0),
	memoryBytes: z.number().int().nonnegative().default(0),
	accelerators: z.number().int().nonnegative().max(10_000).default(0),
});

const bodySchema = z.strictObject({
	tasks: z.array(z.unknown()).min(1, 'Give at least one task.'),
	deadlineMs: z.number().int().positive().optional(),
	repeatable: z.boolean().optional(),
	team: nameSchema.optional(),
	needs: needsSchema.optional(),
});

/** A reader's request, validated against the tables. */
export interface JobRequest {
	readonly route: string;
	readonly team: string;
	readonly key: string | undefined;
	readonly jobId: string | undefined;
	readonly deadlineMs: number;
	readonly repeatable: boolean;
	readonly needs: TaskNeeds;
	readonly payloadsJson: readonly string[];
}

/** Why a request is rejected; no task of it has started. */
export interface RequestError {
	readonly status: 400 | 404 | 413;
	/** Name of the invalid field, header or path part. */
	readonly field: string;
	readonly message: string;
}

/** The parts of an HTTP request that define a job. */
export interface RawJobRequest {
	readonly route: string;
	readonly idempotencyKey: string | undefined;
	readonly jobId: string | undefined;
	readonly body: string;
}

/**
 * Validates a request. Returns the job request, or the first error found.
 *
 * @example
 * const result = parseJobRequest({ route: 'lookup', idempotencyKey: undefined, jobId: undefined, body }, tables);
 */
export function parseJobRequest(raw: RawJobRequest, tables: Tables): Result<JobRequest, RequestError> {
	const row = tables.routes.find((route) => route.name === raw.route);
	if (row === undefined) {
		return requestError(404, 'route', `The route "${raw.route.slice(0, 80)}" does not exist.`);
	}
	const key = parseHeader('Idempotency-Key', raw.idempotencyKey, idempotencyKeySchema);
	if (key.isErr()) {
		return key;
	}
	const jobId = parseHeader('Job-Id', raw.jobId, jobIdSchema);
	if (jobId.isErr()) {
		return jobId;
	}
	return parseBody(raw.body).andThen((body) =>
		buildJobRequest(raw, row, tables, body, key.value, jobId.value),
	);
}

type JobRequestBody = z.output<typeof bodySchema>;

function requestError(status: RequestError['status'], field: string, message: string): Err<RequestError> {
	return Err({ status, field, message });
}

function parseHeader(
	name: string,
	value: string | undefined,
	schema: z.ZodType<string>,
): Result<string | undefined, RequestError> {
	const checked = schema.optional().safeParse(value);
	if (checked.success) {
		return Ok(checked.data);
	}
	return requestError(400, name, checked.error.issues[0]?.message ?? 'The header is not valid.');
}

function parseBody(text: string): Result<JobRequestBody, RequestError> {
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		return requestError(400, 'body', `The body is not valid JSON: ${describeError(error)}.`);
	}
	const checked = bodySchema.safeParse(content);
	if (checked.success) {
		return Ok(checked.data);
	}
	const [issue] = checked.error.issues;
	const unknownKey = issue?.code === 'unrecognized_keys' ? issue.keys[0] : undefined;
	const field = [...(issue?.path ?? []), ...(unknownKey === undefined ? [] : [unknownKey])].join('.');
	return requestError(400, field === '' ? 'body' : field, issue?.message ?? 'The body is not valid.');
}

function buildJobRequest(
	raw: RawJobRequest,
	row: RouteRow,
	tables: Tables,
	body: JobRequestBody,
	key: string | undefined,
	jobId: string | undefined,
): Result<JobRequest, RequestError> {
	if (body.tasks.length > row.maxTasksPerJob) {
		const message = `The job has ${body.tasks.length} tasks; the route "${row.name}" allows at most ${row.maxTasksPerJob}.`;
		return requestError(400, 'tasks', message);
	}
	const deadlineMs = body.deadlineMs ?? row.defaultDeadlineMs;
	if (deadlineMs > row.maxDeadlineMs) {
		const message = `The deadline of ${deadlineMs} ms exceeds the route's limit of ${row.maxDeadlineMs} ms.`;
		return requestError(400, 'deadlineMs', message);
	}
	const team = body.team ?? defaultTeam;
	if (body.team !== undefined && !tables.teams.some((candidate) => candidate.name === team)) {
		return requestError(400, 'team', `The team "${team}" does not exist.`);
	}
	const repeatable = body.repeatable ?? row.repeatable;
	if (!repeatable && key === undefined) {
		const message = 'A job that may run at most once needs an idempotency key, by which it is recorded.';
		return requestError(400, 'Idempotency-Key', message);
	}
	const payloadsJson = sliceArrayMember(raw.body, 'tasks') ?? [];
	const needs = body.needs ?? noNeeds;
	return Ok({ route: row.name, team, key, jobId, deadlineMs, repeatable, needs, payloadsJson });
}
