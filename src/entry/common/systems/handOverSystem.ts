/**
 * Hands a pool over to its new home without cutting a request, while this entry lives on, as in a drain.
 *
 * The earlier home goes on with the jobs that it has begun. The new home may come to hold some of them too, by a
 * resubmission of their key or by an earlier relay, so the earlier home names them first, and starts no further task
 * of them until the new home has taken the list.
 */

import type {
	HandOverMessage,
	HandOverTakenMessage,
	RememberedAnswer,
} from '../../../protocol/common/entryMessages.js';
import type { EntryRunKey, EntryTables } from '../entryTables.js';
import { enqueue, stopJob } from '../jobLife.js';
import type { JobRow, PendingRefusal } from '../jobRow.js';
import type { PoolState } from '../poolState.js';

/** Remembered answers that travel with a hand-over. */
const maxRememberedAnswers = 1000;
/** Time that the new home gets to take a hand-over. */
const handOverWaitMs = 1000;

const homeChanged: PendingRefusal = {
	reason: 'homeUnreachable',
	message: 'The home of the pool changed while the job ran, so its remaining tasks were not started.',
	retryAfterMs: 500,
};

/** Stops a job that another home may start as well. */
export function stopForNewHome(tables: EntryTables, job: JobRow): void {
	stopJob(tables, job, homeChanged);
}

/**
 * Whether this entry may go on with jobs that it has begun: the keepers still list it, and no directory was missed,
 * so no other entry has taken it for dead.
 */
export function mayGoOn(tables: EntryTables, hasMissedDirectories: boolean): boolean {
	return !hasMissedDirectories && tables.isListed(tables.options);
}

/**
 * Names the jobs that this entry goes on with to the pool's new home.
 *
 * @param jobs are held until the new home has answered
 * @param claimedJobs need not wait: their claim at the keepers keeps every other entry from starting them
 */
export function handOver(
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
		job.enter('handingOver', tables.nowMs);
		tables.handedOverJobs.add(job);
	}
	const remembered: RememberedAnswer[] = tables.remembered.newest(maxRememberedAnswers);
	tables.stats.countWasted('handOvers', jobs.length + claimedJobs.length + remembered.length);
	tables.outbox.to(sessionId).others.push({
		kind: 'handOver',
		revision: tables.revision,
		epoch: tables.epoch,
		pool: pool.name,
		submissionIds: [...jobs, ...claimedJobs].map((job) => job.submissionId),
		remembered,
	});
}

/** Takes a hand-over as the new home; one that comes before its directory is kept until then. */
export function takeHandOver(tables: EntryTables, from: string, message: HandOverMessage): void {
	const pool = tables.poolOf(message.pool);
	if (message.epoch > tables.epoch) {
		pool.earlyHandOver = { from, message };
		return;
	}
	const { tenure } = pool;
	if (tenure === undefined || tenure.isSettled || message.epoch < tables.epoch) {
		return;
	}
	const declinedIds = message.submissionIds.filter((id) => tables.jobs.get(id)?.phase === 'placing');
	for (const submissionId of message.submissionIds) {
		pool.ownedElsewhere.set(submissionId, from);
	}
	for (const submissionId of declinedIds) {
		pool.ownedElsewhere.delete(submissionId);
	}
	for (const { submissionId, answer, fingerprint } of message.remembered) {
		tables.remembered.remember(submissionId, answer, fingerprint, tables.nowMs);
	}
	tenure.earlierHome = undefined;
	tenure.isSettled = true;
	const sessionId = tables.entrySessions.get(from);
	if (sessionId !== undefined) {
		const { revision, epoch } = tables;
		const answer = { kind: 'handOverTaken', revision, epoch, pool: pool.name, declinedIds } as const;
		tables.outbox.to(sessionId).others.push(answer);
	}
}

/** Takes a hand-over that came before its directory. */
export function takeEarlyHandOver(tables: EntryTables, pool: PoolState): void {
	const early = pool.earlyHandOver;
	if (early === undefined || early.message.epoch > tables.epoch) {
		return;
	}
	pool.earlyHandOver = undefined;
	takeHandOver(tables, early.from, early.message);
}

/** Goes on with the jobs that the new home leaves to this entry. */
export function goOnAfterHandOver(
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
			enqueue(tables, job);
		}
	}
}

/** Stops jobs whose hand-over was not taken in time, or that a further change of homes has overtaken. */
export function stopLateHandOvers(tables: EntryTables): void {
	for (const job of tables.handedOverJobs) {
		if (job.phase !== 'handingOver') {
			tables.handedOverJobs.delete(job);
		} else if (tables.nowMs - job.phaseSinceMs >= handOverWaitMs) {
			tables.handedOverJobs.delete(job);
			stopForNewHome(tables, job);
		}
	}
}

/** The entry that goes on with a submission, if it is still listed. */
export function ownerElsewhere(tables: EntryTables, job: JobRow): EntryRunKey | undefined {
	const name = tables.poolOf(job.pool).ownedElsewhere.get(job.submissionId);
	const entry = tables.control.directory.entries.find((candidate) => candidate.processId === name);
	return entry === undefined ? undefined : { processId: entry.processId, incarnation: entry.incarnation };
}
