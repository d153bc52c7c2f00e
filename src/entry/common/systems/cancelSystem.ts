/** Cancels jobs whose reader has gone or said so. A job goes on as long as anyone waits for it. */

import type { EntryTables } from '../entryTables.js';
import { cancelOpenTasks, removeReader, stopJob } from '../jobLife.js';
import type { JobRow } from '../jobRow.js';

/** Takes account of a reader's connection that is gone. */
export function dropReader(tables: EntryTables, readerId: number): void {
	const job = tables.jobsByReader.get(readerId);
	if (job === undefined) {
		return;
	}
	removeReader(tables, job, (id) => id === readerId);
	abandon(tables, job);
}

/**
 * Cancels a job by the name that its reader gave it.
 *
 * @param mayPassOn whether the other entries are told when the name isn't known here
 */
export function cancelByJobId(tables: EntryTables, jobId: string, mayPassOn: boolean): void {
	const job = tables.jobsByJobId.get(jobId);
	if (job !== undefined) {
		if (job.readers.length + job.relayers.size === 1) {
			cancel(tables, job);
		}
		return;
	}
	if (!mayPassOn) {
		return;
	}
	for (const sessionId of tables.entrySessions.values()) {
		tables.outbox.to(sessionId).cancelledJobIds.push(jobId);
	}
}

/** Cancels a job that nobody waits for any more. */
function abandon(tables: EntryTables, job: JobRow): void {
	if (job.readers.length + job.relayers.size === 0) {
		cancel(tables, job);
	}
}

/** Lets nothing more of a job start and asks for the end of what runs; its answer says what came of it. */
export function cancel(tables: EntryTables, job: JobRow): void {
	const isRelayed = job.phase === 'relayed';
	if (isRelayed && job.relayedTo !== undefined) {
		const sessionId = tables.entrySessions.get(job.relayedTo.processId);
		if (sessionId !== undefined) {
			tables.outbox.to(sessionId).relayedCancels.push(job.submissionId);
		}
		return;
	}
	stopJob(tables, job, { reason: 'cancelled', message: 'The job was cancelled.' });
	cancelOpenTasks(tables, job);
}
