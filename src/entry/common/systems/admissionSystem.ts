/** Admits submissions: attaches readers to known jobs, creates new jobs, and refuses those that exceed a limit. */

import { Err, Ok, type Result } from 'ts-results-es';
import type { JobAnswer, JobSubmission } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { addJob, addReader, withMeasuredNeeds } from '../jobLifecycle.js';
import { JobRow, type PendingRefusal } from '../jobRow.js';
import type { EntryInput } from '../tickTypes.js';
import { alreadySubmittedAnswer, notRunAnswer } from '../jobAnswer.js';

/** `retryAfterMs` during a drain, short because another entry can accept the job at once. */
const drainRetryAfterMs = 100;
/** Default `retryAfterMs`, and the minimum where an expected wait is known. */
const defaultRetryAfterMs = 1000;

const keyReusedRefusal: PendingRefusal = {
	reason: 'keyReused',
	message: 'The idempotency key was already used for a job with other tasks. Use a new key for a new job.',
};

/**
 * Accepts a submission from a reader of this entry.
 *
 * @returns the new job, which the caller routes, or undefined if the reader was attached to an existing job; an error
 * holds an answer that is known at once
 */
export function submitLocally(
	tables: EntryTables,
	{ submission, readerId, jobId }: Extract<EntryInput, { kind: 'submit' }>,
): Result<JobRow | undefined, JobAnswer> {
	const existing = tables.jobs.get(submission.submissionId);
	if (existing !== undefined) {
		if (isKeyReused(existing, submission)) {
			return Err(keyReusedAnswer);
		}
		tables.stats.joinedSubmissions += 1;
		addReader(tables, existing, readerId, jobId);
		return Ok(undefined);
	}
	const remembered = recallAnswer(tables, submission);
	if (remembered !== undefined) {
		return Err(remembered);
	}
	const refusal = entryRefusal(tables);
	if (refusal !== undefined) {
		return Err(notRunAnswer(refusal));
	}
	const row = tables.routeRows.get(submission.route);
	if (row === undefined) {
		const message = `The route "${submission.route}" was removed from the operators' tables.`;
		return Err(notRunAnswer({ reason: 'noWorkers', message }));
	}
	const job = new JobRow(withMeasuredNeeds(tables, submission, row.pool), row.pool, tables.nowMs);
	addJob(tables, job);
	addReader(tables, job, readerId, jobId);
	return Ok(job);
}

/** Returns the remembered answer to a finished submission, or a refusal if the resubmission has other tasks. */
export function recallAnswer(tables: EntryTables, submission: JobSubmission): JobAnswer | undefined {
	const remembered = tables.finishedSubmissions.find(submission.submissionId, tables.nowMs);
	if (remembered === undefined) {
		return undefined;
	}
	tables.stats.joinedSubmissions += 1;
	if (remembered.fingerprint !== submission.fingerprint) {
		return notRunAnswer(keyReusedRefusal);
	}
	return remembered.answer ?? alreadySubmittedAnswer;
}

/** Whether a submission has the key of a job with other tasks. */
export function isKeyReused(job: JobRow, submission: JobSubmission): boolean {
	return job.submission.fingerprint !== submission.fingerprint;
}

/** Answer to a submission whose key belongs to a job with other tasks. */
export const keyReusedAnswer: JobAnswer = notRunAnswer(keyReusedRefusal);

/** Returns a sentence that says why this entry is draining. */
export function describeDrain({ isStopping }: Pick<EntryTables, 'isStopping'>): string {
	return isStopping ? 'This entry is stopping.' : 'This entry is drained by an operator.';
}

/** Returns why this entry refuses all new submissions, or undefined if it doesn't. */
function entryRefusal(tables: EntryTables): PendingRefusal | undefined {
	if (tables.isDraining) {
		return {
			reason: 'draining',
			message: `${describeDrain(tables)} Submit the job again; the balancer will choose another entry.`,
			retryAfterMs: drainRetryAfterMs,
		};
	}
	if (tables.isStale) {
		return staleTablesRefusal;
	}
	if (tables.jobs.size >= tables.options.maxOpenJobs) {
		return {
			reason: 'queueFull',
			message: `This entry holds ${tables.jobs.size} open jobs and has reached its limit.`,
			retryAfterMs: defaultRetryAfterMs,
		};
	}
	return undefined;
}

/** Refusal of new work while the control state is too old. */
export const staleTablesRefusal: PendingRefusal = {
	reason: 'staleTables',
	message: 'This entry has lost contact with the keepers and cannot tell whether its tables are still valid.',
	retryAfterMs: defaultRetryAfterMs,
};

/** Returns the refusal of a job by the entry that would queue it, or undefined if it may be queued. */
export function placementRefusal(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	return (
		idRetentionRefusal(tables, job) ??
		routeRefusal(tables, job) ??
		teamRefusal(tables, job) ??
		queueRefusal(tables, job)
	);
}

/**
 * Refuses a shared repeatable job while no more submission ids can be retained, since a resubmission could start it
 * again. A job that isn't repeatable is protected by its claim.
 */
function idRetentionRefusal(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	if (!job.isShared || !job.submission.repeatable || !tables.finishedSubmissions.isFull) {
		return undefined;
	}
	return {
		reason: 'queueFull',
		message: `This entry remembers ${tables.finishedSubmissions.size} finished submissions and has reached its limit.`,
		retryAfterMs: defaultRetryAfterMs,
	};
}

function routeRefusal(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const { route } = job.submission;
	const limit = tables.routeRows.get(route)?.maxConcurrentTasks ?? 0;
	const { openTasks } = tables.getOrCreateRoute(route);
	if (openTasks + job.taskCount <= limit) {
		return undefined;
	}
	return {
		reason: 'routeFull',
		message: `The route "${route}" has ${openTasks} open tasks; its limit is ${limit}.`,
		retryAfterMs: retryAfterExpectedWait(tables, job),
	};
}

function teamRefusal(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const { team } = job.submission;
	if (tables.teamRows.get(team)?.maxRunningTasks !== 0) {
		return undefined;
	}
	return { reason: 'quotaExceeded', message: `The quota of the team "${team}" is 0 tasks.` };
}

function queueRefusal(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const pool = tables.getOrCreatePool(job.pool);
	const { free, waitMs } = expectedWait(tables, job);
	if (pool.queuedTasks + job.taskCount - free > pool.row.maxQueuedTasks) {
		return {
			reason: 'queueFull',
			message: `The queue of the pool "${pool.name}" holds ${pool.queuedTasks} tasks; its limit is ${pool.row.maxQueuedTasks}.`,
			retryAfterMs: retryAfterExpectedWait(tables, job),
		};
	}
	if (waitMs > job.submission.remainingMs) {
		return {
			reason: 'deadlineTooShort',
			message: `The expected wait of about ${Math.round(waitMs)} ms exceeds the deadline of ${job.submission.remainingMs} ms.`,
			retryAfterMs: retryAfterExpectedWait(tables, job),
		};
	}
	return undefined;
}

/** Returns the free slots of a job's pool, and the expected wait of the job's first task by the mean run time. */
function expectedWait(tables: EntryTables, job: JobRow): { free: number; waitMs: number } {
	const pool = tables.getOrCreatePool(job.pool);
	const { freeSlots: free, slots } = tables.workersInPool(pool.name);
	const isIdle = free > 0 || slots === 0;
	return { free, waitMs: isIdle ? 0 : (pool.queuedTasks * pool.meanRunMs) / slots };
}

/** Returns half of the expected wait in milliseconds, but at least the default retry time. */
function retryAfterExpectedWait(tables: EntryTables, job: JobRow): number {
	return Math.max(defaultRetryAfterMs, Math.round(expectedWait(tables, job).waitMs / 2));
}
