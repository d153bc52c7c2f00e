/** Converts a job's answer, or a rejected request, into an HTTP response. */

import type { JobAnswer } from '../../protocol/common/jobs.js';
import type { RequestError } from './jobRequest.js';

/** Status, headers and body of an HTTP response. */
export interface HttpResponseParts {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
}

/**
 * Builds the HTTP response for a job's answer.
 *
 * A `complete` answer is a 200 with a body such as `{"jobId":"job-1","status":"complete","results":[1]}`. A `failed`
 * answer is a 500 and never a 502, 503 or 504: proxies and clients retry those automatically, and a job that may have
 * run must not be retried blindly. A `notRun` answer is safe to retry: it is a 503, a 429 for a quota or a full route,
 * or a 422 for an idempotency key that was used for another job.
 */
export function toHttpResponse(jobId: string, answer: JobAnswer): HttpResponseParts {
	const headers: Record<string, string> = { 'content-type': 'application/json', 'job-id': jobId };
	if (answer.status === 'complete') {
		// Results are already JSON text and are inserted without being parsed.
		const results = answer.resultsJson.join(',');
		const body = `{"jobId":${JSON.stringify(jobId)},"status":"complete","results":[${results}]}`;
		return { status: 200, headers, body };
	}
	const body = JSON.stringify({ jobId, ...answer });
	if (answer.status === 'failed') {
		return { status: 500, headers, body };
	}
	if (answer.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(answer.retryAfterMs / 1000));
	}
	return { status: httpStatusForRefusal(answer.reason), headers, body };
}

/** Builds the HTTP response for a request that is rejected before it becomes a job. */
export function toHttpErrorResponse(error: RequestError): HttpResponseParts {
	return {
		status: error.status,
		headers: { 'content-type': 'application/json' },
		body: JSON.stringify({ error: { field: error.field, message: error.message } }),
	};
}

function httpStatusForRefusal(reason: string): number {
	if (reason === 'quotaExceeded' || reason === 'routeFull') {
		return 429;
	}
	return reason === 'keyReused' ? 422 : 503;
}
