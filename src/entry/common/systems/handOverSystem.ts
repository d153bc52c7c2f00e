/**
 * Hands a pool over to its new home without interrupting requests, while this entry keeps running, for example in a
 * drain.
 *
 * The earlier home continues the jobs that it has started. The new home may receive some of them too, through a
 * resubmission of their key or an earlier relay. The earlier home therefore lists these jobs to the new home, and starts
 * no further task of them until the new home has accepted the list.
 */

import type {
	HandOverMessage,
	HandOverTakenMessage,
	RememberedAnswer,
} from '../../../protocol/common/entryMessages.js';
import type { EntryIncarnation, EntryTables } from '../entryTables.js';
import { enqueueJob, stopJob } from '../jobLifecycle.js';
import type { JobRow, PendingRefusal } from '../jobRow.js';
import type { PoolState } from '../poolState.js';

/** Maximum number of remembered answers that are sent with a hand-over. */
const maxRememberedAnswers = 1000;
/** Time within which the new home must accept a hand-over. */
const handOverTimeoutMs = 1000;

const homeChangedRefusal: PendingRefusal = {
	reason: 'homeUnreachable',
	message: 'The home of the pool changed while the job was running, so its remaining tasks were not started.',
	retryAfterMs: 500,
};

/** Stops a job whose remaining tasks another home may start as well. */
export function stopForNewHome(tables: EntryTables, job: JobRow): void {
	stopJob(tables, job, homeChangedRefusal);
}

/**
 * Whether this entry may continue the jobs that it has started. It may if the keepers still list it and it has missed
 * no directory, because then no other entry has considered it lost.
 */
export function mayContinueStartedJobs(tables: EntryTables, hasMissedDirectories: boolean): boolean {
	return !hasMissedDirectories && tables.isInDirectory(tables.options);
}

/**
 * Sends the pool's new home the list of jobs that this entry continues.
 *
 * @param jobs jobs that are paused until the new home has answered; they are stopped if it isn't connected
 * @param claimedJobs jobs that aren't paused, because their claim at the keepers prevents other entries from starting
 * them
 */
export function handOverJobs(
	tables: EntryTables,
	pool: PoolState,
	jobs: readonly JobRow[],
	claimedJobs: readonly JobRow[],
): void {
	const { home } = pool;
	const sessionId = home.kind === 'other' ? tables.entrySessions.get(home.processId) : undefined;
	if (sessionId === undefined) {
		for (const job of jobs) {
			stopForNewHome(tables, job);
		}
		return;
	}
	for (const job of jobs) {
		pool.queuedTasks -= job.queuedCount;
		job.enterPhase('handingOver', tables.nowMs);
		tables.handedOverJobs.add(job);
	}
	const remembered: RememberedAnswer[] = tables.finishedSubmissions.recentWithAnswers(maxRememberedAnswers);
	tables.stats.countWasted('handOvers', jobs.length + claimedJobs.length + remembered.length);
	tables.outbox.forSession(sessionId).otherEntryMessages.push({
		kind: 'handOver',
		revision: tables.revision,
		epoch: tables.epoch,
		pool: pool.name,
		submissionIds: [...jobs, ...claimedJobs].map((job) => job.submissionId),
		remembered,
	});
}

/** Accepts a hand-over as the new home. One that arrives before its directory is kept until the directory arrives. */
export function acceptHandOver(tables: EntryTables, senderId: string, message: HandOverMessage): void {
	const pool = tables.getOrCreatePool(message.pool);
	if (message.epoch > tables.epoch) {
		pool.earlyHandOver = { from: senderId, message };
		return;
	}
	const { tenure } = pool;
	if (tenure === undefined || tenure.isSettled || message.epoch < tables.epoch) {
		return;
	}
	const declinedIds = message.submissionIds.filter((id) => tables.jobs.get(id)?.phase === 'placing');
	for (const submissionId of message.submissionIds) {
		pool.earlierOwnerBySubmission.set(submissionId, senderId);
	}
	for (const submissionId of declinedIds) {
		pool.earlierOwnerBySubmission.delete(submissionId);
	}
	for (const { submissionId, answer, fingerprint } of message.remembered) {
		tables.finishedSubmissions.add(submissionId, answer, fingerprint, tables.nowMs);
	}
	tenure.earlierHome = undefined;
	tenure.isSettled = true;
	const sessionId = tables.entrySessions.get(senderId);
	if (sessionId !== undefined) {
		const { revision, epoch } = tables;
		const answer = { kind: 'handOverTaken', revision, epoch, pool: pool.name, declinedIds } as const;
		tables.outbox.forSession(sessionId).otherEntryMessages.push(answer);
	}
}

/** Accepts a hand-over that arrived before its directory. */
export function acceptEarlyHandOver(tables: EntryTables, pool: PoolState): void {
	const early = pool.earlyHandOver;
	if (early === undefined || early.message.epoch > tables.epoch) {
		return;
	}
	pool.earlyHandOver = undefined;
	acceptHandOver(tables, early.from, early.message);
}

/** Resumes the handed-over jobs that the new home leaves to this entry, and stops those that it has declined. */
export function resumeAfterHandOver(
	tables: EntryTables,
	{ pool, epoch, declinedIds }: HandOverTakenMessage,
): void {
	const declined = new Set(declinedIds);
	for (const job of tables.handedOverJobs) {
		if (job.pool !== pool || job.phase !== 'handingOver' || epoch !== tables.epoch) {
			continue;
		}
		tables.handedOverJobs.delete(job);
		if (declined.has(job.submissionId)) {
			stopForNewHome(tables, job);
		} else {
			enqueueJob(tables, job);
		}
	}
}

/** Stops jobs whose hand-over was not accepted in time, and forgets those that are no longer being handed over. */
export function stopTimedOutHandOvers(tables: EntryTables): void {
	for (const job of tables.handedOverJobs) {
		if (job.phase !== 'handingOver') {
			tables.handedOverJobs.delete(job);
		} else if (tables.nowMs - job.phaseSinceMs >= handOverTimeoutMs) {
			tables.handedOverJobs.delete(job);
			stopForNewHome(tables, job);
		}
	}
}

/** Returns the earlier home that continues a submission, if that entry is still listed. */
export function ownerElsewhere(tables: EntryTables, job: JobRow): EntryIncarnation | undefined {
	const name = tables.getOrCreatePool(job.pool).earlierOwnerBySubmission.get(job.submissionId);
	const entry = tables.control.directory.entries.find((candidate) => candidate.processId === name);
	return entry === undefined ? undefined : { processId: entry.processId, incarnation: entry.incarnation };
}
