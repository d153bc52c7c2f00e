/** Takes submissions: joins those that are known, refuses what can't be done in time, and routes the rest. */

import { Err, Ok, type Result } from 'ts-results-es';
import type { JobAnswer, JobSubmission } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { addJob, addReader, withExpectedNeeds } from '../jobLife.js';
import { JobRow, type PendingRefusal } from '../jobRow.js';
import type { EntryInput } from '../tickTypes.js';
import { alreadySubmitted, notRun } from '../verdict.js';

const retrySoonMs = 100;
const retryLaterMs = 1000;

const keyReused: PendingRefusal = {
	reason: 'keyReused',
	message: 'The idempotency key was used for other tasks before. Use a new key for a new job.',
};

/**
 * Takes a submission of a reader of this entry.
 *
 * @returns the job that is to be routed, undefined when the reader has joined one, or the answer that is known at once
 */
export function submitLocally(
	tables: EntryTables,
	{ submission, readerId, jobId }: Extract<EntryInput, { kind: 'submit' }>,
): Result<JobRow | undefined, JobAnswer> {
	const existing = tables.jobs.get(submission.submissionId);
	if (existing !== undefined) {
		if (isOtherJob(existing, submission)) {
			return Err(keyReusedAnswer);
		}
		tables.stats.joinedSubmissions += 1;
		addReader(tables, existing, readerId, jobId);
		return Ok(undefined);
	}
	const remembered = recall(tables, submission);
	if (remembered !== undefined) {
		return Err(remembered);
	}
	const refusal = refusalOfEntry(tables);
	if (refusal !== undefined) {
		return Err(notRun(refusal));
	}
	const row = tables.routeRows.get(submission.route);
	if (row === undefined) {
		const message = `The route "${submission.route}" was removed from the tables.`;
		return Err(notRun({ reason: 'noWorkers', message }));
	}
	const job = new JobRow(withExpectedNeeds(tables, submission, row.pool), row.pool, tables.nowMs);
	addJob(tables, job);
	addReader(tables, job, readerId, jobId);
	return Ok(job);
}

/** The answer that is remembered for a submission's key, if there is one. */
export function recall(tables: EntryTables, submission: JobSubmission): JobAnswer | undefined {
	const remembered = tables.remembered.recall(submission.submissionId, tables.nowMs);
	if (remembered === undefined) {
		return undefined;
	}
	tables.stats.joinedSubmissions += 1;
	if (remembered.fingerprint !== submission.fingerprint) {
		return notRun(keyReused);
	}
	return remembered.answer ?? alreadySubmitted;
}

/** Whether a resubmission differs from the job that has its key. */
export function isOtherJob(job: JobRow, submission: JobSubmission): boolean {
	return job.submission.fingerprint !== submission.fingerprint;
}

/** Refusal of a resubmission with other tasks. */
export const keyReusedAnswer: JobAnswer = notRun(keyReused);

/** A sentence about why an entry drains. */
export function describeDrain({ isStopping }: Pick<EntryTables, 'isStopping'>): string {
	return isStopping ? 'This entry is stopping.' : 'This entry is drained by an operator.';
}

/** Why this entry takes nothing new at all, if so. */
function refusalOfEntry(tables: EntryTables): PendingRefusal | undefined {
	if (tables.isDraining) {
		return {
			reason: 'draining',
			message: `${describeDrain(tables)} Submit the job again; the balancer will choose another entry.`,
			retryAfterMs: retrySoonMs,
		};
	}
	if (tables.isStale) {
		return staleTables;
	}
	if (tables.jobs.size >= tables.options.maxOpenJobs) {
		return {
			reason: 'queueFull',
			message: `This entry holds ${tables.jobs.size} open jobs, its limit.`,
			retryAfterMs: retryLaterMs,
		};
	}
	return undefined;
}

/** Refusal while the control state is too old. */
export const staleTables: PendingRefusal = {
	reason: 'staleTables',
	message: 'This entry has lost touch with the keepers and can not tell whether its tables are in force.',
	retryAfterMs: retryLaterMs,
};

/** Why the place that would queue a job refuses it, if so. */
export function refusalOfPool(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	return (
		refusalOfKeys(tables, job) ??
		refusalOfRoute(tables, job) ??
		refusalOfTeam(tables, job) ??
		refusalOfQueue(tables, job)
	);
}

/** A repeatable job whose key could not be remembered could be started twice. */
function refusalOfKeys(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	if (!job.isShared || !job.submission.repeatable || !tables.remembered.isFull) {
		return undefined;
	}
	return {
		reason: 'queueFull',
		message: `This entry remembers ${tables.remembered.size} finished submissions, its limit.`,
		retryAfterMs: retryLaterMs,
	};
}

function refusalOfRoute(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const { route } = job.submission;
	const limit = tables.routeRows.get(route)?.maxConcurrentTasks ?? 0;
	const { openTasks } = tables.routeOf(route);
	if (openTasks + job.taskCount <= limit) {
		return undefined;
	}
	return {
		reason: 'routeFull',
		message: `The route "${route}" has ${openTasks} open tasks of the ${limit} that it may have.`,
		retryAfterMs: retryAfterWait(tables, job),
	};
}

function refusalOfTeam(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const { team } = job.submission;
	if (tables.teamRows.get(team)?.maxRunningTasks !== 0) {
		return undefined;
	}
	return { reason: 'quotaExceeded', message: `The quota of the team "${team}" is 0 tasks.` };
}

function refusalOfQueue(tables: EntryTables, job: JobRow): PendingRefusal | undefined {
	const pool = tables.poolOf(job.pool);
	const { free, waitMs } = expectedWait(tables, job);
	if (pool.queuedTasks + job.taskCount - free > pool.row.maxQueuedTasks) {
		return {
			reason: 'queueFull',
			message: `The queue of the pool "${pool.name}" holds ${pool.queuedTasks} tasks; ${pool.row.maxQueuedTasks} may wait.`,
			retryAfterMs: retryAfterWait(tables, job),
		};
	}
	if (waitMs > job.submission.remainingMs) {
		return {
			reason: 'deadlineTooShort',
			message: `A wait of about ${Math.round(waitMs)} ms is expected, beyond the deadline of ${job.submission.remainingMs} ms.`,
			retryAfterMs: retryAfterWait(tables, job),
		};
	}
	return undefined;
}

/** Free slots of the job's pool, and the wait that the learned run times let its first task expect. */
function expectedWait(tables: EntryTables, job: JobRow): { free: number; waitMs: number } {
	const pool = tables.poolOf(job.pool);
	const { freeSlots: free, slots } = tables.workersOf(pool.name);
	const isIdle = free > 0 || slots === 0;
	return { free, waitMs: isIdle ? 0 : (pool.queuedTasks * pool.meanRunMs) / slots };
}

function retryAfterWait(tables: EntryTables, job: JobRow): number {
	return Math.max(retryLaterMs, Math.round(expectedWait(tables, job).waitMs / 2));
}
