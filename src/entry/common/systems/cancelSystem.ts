/** Cancels jobs whose reader has disconnected or cancelled them. A job continues as long as anyone waits for it. */

import type { EntryTables } from '../entryTables.js';
import { cancelOpenTasks, removeReaders, stopJob } from '../jobLifecycle.js';
import type { JobRow } from '../jobRow.js';

/** Removes a reader whose connection has closed, and cancels its job if nobody else waits for it. */
export function handleReaderGone(tables: EntryTables, readerId: number): void {
	const job = tables.jobsByReader.get(readerId);
	if (job === undefined) {
		return;
	}
	removeReaders(tables, job, (id) => id === readerId);
	cancelIfNobodyWaits(tables, job);
}

/**
 * Cancels a job by the id that its reader gave it, unless others wait for the job as well.
 *
 * @param mayForward whether the cancellation is forwarded to all other entries if the id isn't known here
 */
export function cancelByJobId(tables: EntryTables, jobId: string, mayForward: boolean): void {
	const job = tables.jobsByJobId.get(jobId);
	if (job !== undefined) {
		if (job.readers.length + job.relayingEntries.size === 1) {
			cancelJob(tables, job);
		}
		return;
	}
	if (!mayForward) {
		return;
	}
	for (const sessionId of tables.entrySessions.values()) {
		tables.outbox.forSession(sessionId).cancelledJobIds.push(jobId);
	}
}

/** Cancels a job that nobody waits for any more. */
function cancelIfNobodyWaits(tables: EntryTables, job: JobRow): void {
	if (job.readers.length + job.relayingEntries.size === 0) {
		cancelJob(tables, job);
	}
}

/**
 * Prevents further tasks of a job from starting and asks for those that are running to be stopped. The job's answer
 * states the outcome. The cancellation of a relayed job is forwarded to its home.
 */
export function cancelJob(tables: EntryTables, job: JobRow): void {
	const isRelayed = job.phase === 'relayed';
	if (isRelayed && job.relayedTo !== undefined) {
		const sessionId = tables.entrySessions.get(job.relayedTo.processId);
		if (sessionId !== undefined) {
			tables.outbox.forSession(sessionId).relayedCancels.push(job.submissionId);
		}
		return;
	}
	stopJob(tables, job, { reason: 'cancelled', message: 'The job was cancelled.' });
	cancelOpenTasks(tables, job);
}
