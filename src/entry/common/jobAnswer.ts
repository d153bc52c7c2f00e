/** Determines a job's answer. The answer depends only on the state of the job and its tasks. */

import type { FailedAnswer, FailureReason, JobAnswer } from '../../protocol/common/jobs.js';
import type { JobRow, PendingRefusal } from './jobRow.js';

/**
 * Returns the job's answer, or undefined while it is not yet certain.
 *
 * When {@link cannotComplete} holds, call {@link JobRow.dropQueuedTasks} first: queued tasks keep the answer uncertain.
 */
export function decideAnswer(job: JobRow): JobAnswer | undefined {
	if (job.unknownCount > 0) {
		return failedAnswer(job, 'mayHaveRun', 'workerLost', 'The worker of at least one task was lost.');
	}
	if (job.openCount > 0 || job.queuedCount > 0) {
		return undefined;
	}
	if (job.doneCount === job.taskCount) {
		return { status: 'complete', resultsJson: job.resultsJson };
	}
	if (job.failedCount > 0) {
		return failedAnswer(
			job,
			'ranAndFailed',
			failureReasonOf(job),
			job.firstFailureMessage ?? 'A task failed.',
		);
	}
	if (job.doneCount === 0 && !job.mayHaveStarted) {
		return notRunAnswer(job.stopRefusal ?? defaultRefusal);
	}
	return failedAnswer(job, 'mayHaveRun', failureReasonOf(job), (job.stopRefusal ?? defaultRefusal).message);
}

/** Whether the job can no longer be answered as complete, so that its queued tasks must not start. */
export function cannotComplete(job: JobRow): boolean {
	return job.stopRefusal !== undefined || job.failedCount > 0 || job.unknownCount > 0;
}

/** Returns the answer to a job whose deadline has passed. */
export function answerAtDeadline(job: JobRow): JobAnswer {
	const message = `The deadline of ${job.submission.remainingMs} ms has passed.`;
	return answerUnfinishedJob(job, { reason: 'deadlinePassed', message }, 'deadlinePassed');
}

/** Returns the answer to a job that is still open when the entry's drain ends. */
export function answerAtDrainEnd(job: JobRow): JobAnswer {
	const message = 'The entry is stopping and cannot wait for the job to end.';
	return answerUnfinishedJob(job, { reason: 'draining', message, retryAfterMs: 0 }, 'entryLost');
}

/** Returns the answer to a job that must be answered now, although tasks may still be running or queued. */
function answerUnfinishedJob(job: JobRow, refusal: PendingRefusal, reason: FailureReason): JobAnswer {
	const decidedAnswer = decideAnswer(job);
	if (decidedAnswer !== undefined) {
		return decidedAnswer;
	}
	const mayHaveRun = job.mayHaveStarted || job.phase === 'relayed' || !job.isUnstartedHere;
	if (!mayHaveRun) {
		return notRunAnswer(refusal);
	}
	return failedAnswer(
		job,
		'mayHaveRun',
		job.stopRefusal?.reason === 'cancelled' ? 'cancelled' : reason,
		refusal.message,
	);
}

/** Returns the answer to a job that this entry refuses to queue. An earlier home may have started tasks of it. */
export function answerRefusedJob(job: JobRow, refusal: PendingRefusal): JobAnswer {
	return job.mayHaveStarted
		? failedAnswer(job, 'mayHaveRun', 'entryLost', refusal.message)
		: notRunAnswer(refusal);
}

/** Returns the answer that no task of a job has run. */
export function notRunAnswer(refusal: PendingRefusal): JobAnswer {
	return { status: 'notRun', ...refusal };
}

/** Answer to a submission that was submitted before and whose claim another run owns. */
export const alreadySubmittedAnswer: FailedAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'alreadySubmitted',
	message:
		'A job with this idempotency key was submitted before, and its answer is not known here. Look up its effect before you submit it under another key.',
};

const defaultRefusal: PendingRefusal = {
	reason: 'workersRefused',
	message: 'The workers refused the job.',
	retryAfterMs: 1000,
};

function failureReasonOf(job: JobRow): FailureReason {
	switch (job.stopRefusal?.reason) {
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

function failedAnswer(
	job: JobRow,
	outcome: FailedAnswer['outcome'],
	reason: FailureReason,
	cause: string,
): FailedAnswer {
	const uncertainCount = job.openCount + job.unknownCount;
	const message =
		`${cause} Of ${job.taskCount} tasks, ${job.doneCount} ended well, ${job.failedCount} failed or were ` +
		`stopped, and ${uncertainCount} may or may not have run.`;
	return { status: 'failed', outcome, reason, message };
}
