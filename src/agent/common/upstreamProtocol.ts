/** HTTP between an agent and its upstream: paths, headers and bodies. docs/UPSTREAMS.md describes them for others. */

import { z } from 'zod';
import type { TaskIdentity } from '../../protocol/common/jobs.js';

/** Header names, in lower case. */
export const upstreamHeaders = {
	submissionId: 'yuccaarch-submission-id',
	taskIndex: 'yuccaarch-task-index',
	route: 'yuccaarch-route',
	team: 'yuccaarch-team',
	leaseMs: 'yuccaarch-lease-ms',
	/** On a refusal with status 503: the task surely has not started. */
	notStarted: 'yuccaarch-not-started',
	/** On the answer of a task, optional: cores that it used, on average. */
	usedCores: 'yuccaarch-used-cores',
	/** On the answer of a task, optional: the most memory that it used. */
	usedMemoryBytes: 'yuccaarch-used-memory-bytes',
} as const;

/** Status of an upstream's refusal; counts as one only together with {@link upstreamHeaders.notStarted}. */
export const refusalStatus = 503;

/**
 * Path of a task at the upstream.
 *
 * @example
 * taskPath({ submissionId: 'job-1', taskIndex: 0 }); // '/v1/tasks/job-1/0'
 */
export function taskPath(identity: TaskIdentity): string {
	return `/v1/tasks/${encodeURIComponent(identity.submissionId)}/${identity.taskIndex}`;
}

/** Path of the measured use of all running tasks. */
export const usagePath = '/v1/usage';

/** Body of the answer to `GET /v1/usage`. */
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
