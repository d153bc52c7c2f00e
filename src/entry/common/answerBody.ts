/** Turns a job's answer into what an HTTP reader gets. */

import type { JobAnswer } from '../../protocol/common/jobs.js';
import type { RequestError } from './jobRequest.js';

/** Status, headers and body of a response. */
export interface ResponseParts {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
}

/**
 * The response for an answer. `failed` is a 500 and never a 502, 503 or 504, since proxies and clients repeat those
 * by themselves, and a job that may have run must not be repeated blindly. `notRun` is a 503, or a 429 for a quota,
 * and safe to repeat.
 *
 * @example
 * toResponse('job-1', { status: 'complete', resultsJson: ['1'] }).body; // {"jobId":"job-1","status":"complete","results":[1]}
 */
export function toResponse(jobId: string, answer: JobAnswer): ResponseParts {
	const headers: Record<string, string> = { 'content-type': 'application/json', 'job-id': jobId };
	if (answer.status === 'complete') {
		// Results are JSON texts already and pass through unread.
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
	return { status: notRunStatus(answer.reason), headers, body };
}

/** The response for a request that can't be taken. */
export function toErrorResponse(error: RequestError): ResponseParts {
	return {
		status: error.status,
		headers: { 'content-type': 'application/json' },
		body: JSON.stringify({ error: { field: error.field, message: error.message } }),
	};
}

function notRunStatus(reason: string): number {
	if (reason === 'quotaExceeded' || reason === 'routeFull') {
		return 429;
	}
	return reason === 'keyReused' ? 422 : 503;
}
