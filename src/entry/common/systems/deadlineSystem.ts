/** Answers jobs whose deadline has passed, and refuses those that no worker can run. */

import type { EntryTables } from '../entryTables.js';
import { finishJob, stopJob } from '../jobLifecycle.js';
import type { PendingRefusal } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { EntryOutputs } from '../tickTypes.js';
import { answerAtDeadline, answerAtDrainEnd } from '../jobAnswer.js';

/** Extra time after the deadline for the home's answer to a relayed job, because the home received the job later. */
const relayGraceMs = 100;
/** Time that workers have to announce themselves before a job is refused because no worker is suitable. */
const announceWaitMs = 3000;

/** Answers every job whose deadline has passed. */
export function answerExpiredJobs(tables: EntryTables, outputs: EntryOutputs): void {
	const { deadlines, nowMs } = tables;
	for (const job of deadlines.takeDue(nowMs)) {
		const graceEndMs = job.deadlineMs + relayGraceMs;
		if (job.phase === 'relayed' && nowMs < graceEndMs) {
			deadlines.add(job, graceEndMs);
			continue;
		}
		finishJob(tables, outputs, job, answerAtDeadline(job));
	}
}

/**
 * Answers every open job once the time for the drain has run out, so that readers get a correct answer instead of a
 * broken connection.
 */
export function answerJobsOfEndedDrain(tables: EntryTables, outputs: EntryOutputs): void {
	if (tables.nowMs < tables.drainEndsAtMs) {
		return;
	}
	for (const job of [...tables.jobs.values()]) {
		finishJob(tables, outputs, job, answerAtDrainEnd(job));
	}
}

/** Refuses jobs that no worker of their pool could ever run, once workers have had time to announce themselves. */
export function refuseUnplaceableJobs(tables: EntryTables): void {
	for (const pool of tables.pools.values()) {
		if (pool.queuedTasks > 0 && tables.nowMs - pool.firstSeenMs >= announceWaitMs) {
			refuseUnplaceableJobsOf(tables, pool);
		}
	}
}

/**
 * Refuses queued jobs when agents refuse this entry's starts and it can't learn which entry is the home, because it is
 * cut off from the keepers. Otherwise their readers would wait for the whole deadline in vain.
 */
export function refuseSupersededJobs(tables: EntryTables): void {
	if (!tables.isStale) {
		return;
	}
	for (const job of tables.jobs.values()) {
		const isSuperseded = tables.getOrCreatePool(job.pool).highestRefusedEpoch >= tables.epoch;
		if (isSuperseded && job.phase === 'placing' && job.queuedCount > 0) {
			stopJob(tables, job, supersededRefusal);
		}
	}
}

const supersededRefusal: PendingRefusal = {
	reason: 'staleTables',
	message: 'Another entry has taken over the pool, and this entry is cut off from the keepers.',
	retryAfterMs: announceWaitMs,
};

function refuseUnplaceableJobsOf(tables: EntryTables, pool: PoolState): void {
	const present = tables
		.workersInPool(pool.name)
		.members()
		.filter((worker) => worker.sessionId !== undefined);
	for (const job of tables.jobs.values()) {
		const hasWaited = tables.nowMs - job.phaseSinceMs >= announceWaitMs || present.length > 0;
		if (job.pool !== pool.name || job.phase !== 'placing' || job.queuedCount === 0 || !hasWaited) {
			continue;
		}
		if (present.some((worker) => worker.couldEverFit(job.submission.needs))) {
			continue;
		}
		stopJob(tables, job, unplaceableRefusal(pool, present.length));
	}
}

/** Returns the refusal of a job that none of the connected workers of its pool could run. */
function unplaceableRefusal(pool: PoolState, workerCount: number): PendingRefusal {
	if (workerCount === 0) {
		return {
			reason: 'noWorkers',
			message: `No worker of the pool "${pool.name}" is connected.`,
			retryAfterMs: announceWaitMs,
		};
	}
	return {
		reason: 'neverFits',
		message: `None of the ${workerCount} workers of the pool "${pool.name}" is large enough for the tasks' needs.`,
	};
}
