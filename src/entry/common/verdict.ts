/** Decides what a reader is told about a job, from the states of its tasks and nothing else. */

import type { FailedAnswer, FailureReason, JobAnswer } from '../../protocol/common/jobs.js';
import type { JobRow, PendingRefusal } from './jobRow.js';

/**
 * Returns the job's answer once it is certain, or undefined while it is not.
 *
 * Call it again after {@link JobRow.dropQueued} when {@link mustStop} says that nothing more may start.
 */
export function verdictOf(job: JobRow): JobAnswer | undefined {
	if (job.unknownCount > 0) {
		return failed(job, 'mayHaveRun', 'workerLost', 'The worker of at least one task was lost.');
	}
	if (job.openCount > 0 || job.queuedCount > 0) {
		return undefined;
	}
	if (job.doneCount === job.taskCount) {
		return { status: 'complete', resultsJson: job.resultsJson };
	}
	if (job.failedCount > 0) {
		return failed(job, 'ranAndFailed', failureReasonOf(job), job.firstFailure ?? 'A task failed.');
	}
	if (job.doneCount === 0 && !job.mayHaveStarted) {
		return notRun(job.stop ?? unexplainedRefusal);
	}
	return failed(job, 'mayHaveRun', failureReasonOf(job), (job.stop ?? unexplainedRefusal).message);
}

/** Whether the job can't become complete any more, so that its queued tasks must not start. */
export function mustStop(job: JobRow): boolean {
	return job.stop !== undefined || job.failedCount > 0 || job.unknownCount > 0;
}

/** The answer to a job whose deadline has passed. */
export function deadlineVerdict(job: JobRow): JobAnswer {
	const message = `The deadline of ${job.submission.remainingMs} ms has passed.`;
	return unfinishedVerdict(job, { reason: 'deadlinePassed', message }, 'deadlinePassed');
}

/** The answer to a job whose end a drain can't wait for. */
export function drainVerdict(job: JobRow): JobAnswer {
	const message = 'The entry is stopping and can not wait for the end of the job.';
	return unfinishedVerdict(job, { reason: 'draining', message, retryAfterMs: 0 }, 'entryLost');
}

/** The answer to a job of which some tasks may still run or wait. */
function unfinishedVerdict(job: JobRow, refusal: PendingRefusal, reason: FailureReason): JobAnswer {
	const whole = verdictOf(job);
	if (whole !== undefined) {
		return whole;
	}
	const mayHaveRun = job.mayHaveStarted || job.phase === 'relayed' || !job.isUntouched;
	if (!mayHaveRun) {
		return notRun(refusal);
	}
	return failed(job, 'mayHaveRun', job.stop?.reason === 'cancelled' ? 'cancelled' : reason, refusal.message);
}

/** The answer to a job that this entry won't queue, of which an earlier home may have started tasks. */
export function refusedVerdict(job: JobRow, refusal: PendingRefusal): JobAnswer {
	return job.mayHaveStarted ? failed(job, 'mayHaveRun', 'entryLost', refusal.message) : notRun(refusal);
}

/** The answer that nothing of a job has run. */
export function notRun(refusal: PendingRefusal): JobAnswer {
	return { status: 'notRun', ...refusal };
}

/** The answer to a submission that another run owns. */
export const alreadySubmitted: FailedAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'alreadySubmitted',
	message:
		'A job with this idempotency key was submitted before, and its answer is not known here. Look up its effect before you submit it under another key.',
};

const unexplainedRefusal: PendingRefusal = {
	reason: 'workersRefused',
	message: 'The workers refused the job.',
	retryAfterMs: 1000,
};

function failureReasonOf(job: JobRow): FailureReason {
	switch (job.stop?.reason) {
		case 'cancelled':
			return 'cancelled';
		case 'deadlinePassed':
			return 'deadlinePassed';
		case 'homeUnreachable':
			return 'entryLost';
		default:
			return job.failedCount > 0 ? 'upstreamFailed' : 'workerLost';
	}
}

function failed(
	job: JobRow,
	outcome: FailedAnswer['outcome'],
	reason: FailureReason,
	cause: string,
): FailedAnswer {
	const unsure = job.openCount + job.unknownCount;
	const message =
		`${cause} Of ${job.taskCount} tasks, ${job.doneCount} ended well, ${job.failedCount} failed or were ` +
		`stopped, and ${unsure} may or may not have run.`;
	return { status: 'failed', outcome, reason, message };
}
