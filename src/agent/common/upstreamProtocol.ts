/** HTTP protocol between an agent and its upstream: paths, headers and bodies. Documented in docs/UPSTREAMS.md. */

import { z } from 'zod';
import type { TaskIdentity } from '../../protocol/common/jobs.js';

/** Header names, in lower case. */
export const upstreamHeaders = {
	submissionId: 'yuccaarch-submission-id',
	taskIndex: 'yuccaarch-task-index',
	route: 'yuccaarch-route',
	team: 'yuccaarch-team',
	leaseMs: 'yuccaarch-lease-ms',
	/** On a refusal with status 503: the task has certainly not started. */
	notStarted: 'yuccaarch-not-started',
	/** On the response to a task, optional: average number of cores that it used. */
	usedCores: 'yuccaarch-used-cores',
	/** On the response to a task, optional: its peak memory use. */
	usedMemoryBytes: 'yuccaarch-used-memory-bytes',
} as const;

/** Status of a refusal by the upstream; it is a refusal only together with {@link upstreamHeaders.notStarted}. */
export const refusalStatus = 503;

/**
 * Returns the path of a task at the upstream.
 *
 * @example
 * taskPath({ submissionId: 'job-1', taskIndex: 0 }); // '/v1/tasks/job-1/0'
 */
export function taskPath(identity: TaskIdentity): string {
	return `/v1/tasks/${encodeURIComponent(identity.submissionId)}/${identity.taskIndex}`;
}

/** Path of the measured resource use of all running tasks. */
export const usagePath = '/v1/usage';

/** Schema of the response body of `GET /v1/usage`. */
export const usageSchema = z.object({
	tasks: z.array(
		z.object({
			submissionId: z.string(),
			taskIndex: z.number().int().nonnegative(),
			cores: z.number().nonnegative(),
			memoryBytes: z.number().nonnegative(),
			ageMs: z.number().nonnegative().default(0),
		}),
	),
});
