/**
 * Finds out which tasks of a job an earlier home has started, before this home starts any.
 *
 * Every worker of the pool is asked about every task. One that never heard of a task fences it against the earlier
 * home's starts, which may still be on their way, and says so. A task that all workers have fenced may be placed;
 * one that some worker knows is waited for instead.
 */

import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask, enqueue } from '../jobLife.js';
import type { JobRow } from '../jobRow.js';
import type { WorkerRow } from '../workerRow.js';

/** Placements of one task that an epoch has numbers for. */
const attemptsPerEpoch = 2 ** 20;

/** Number of a task's next placement; 0 where no earlier home can have fenced the task. */
export function attemptOf(tables: EntryTables, job: JobRow, taskIndex: number): number {
	const returns = job.returnsOf(taskIndex);
	if (returns === 0 && !job.submission.isKeyed && !job.hasBeenSearched) {
		return 0;
	}
	return tables.epoch * attemptsPerEpoch + returns;
}

/** Whether an earlier home may have started tasks of a job that this home has just taken. */
export function needsSearch(tables: EntryTables, job: JobRow): boolean {
	if (job.hasBeenSearched) {
		return false;
	}
	const { tenure } = tables.poolOf(job.pool);
	const tenureMs = tenure === undefined ? 0 : tables.nowMs - tenure.sinceMs;
	return job.mayHaveStarted || (job.submission.isKeyed && tenureMs < tables.options.keyRetentionMs);
}

/** Asks all workers of the pool, lost ones as soon as they return, and puts the job in line. */
export function searchJob(tables: EntryTables, job: JobRow): void {
	const workers = tables.workersOf(job.pool);
	job.hasBeenSearched = true;
	// From here on, what can't be told shows in the states of the tasks.
	job.mayHaveStarted = false;
	if (workers.length > 0) {
		job.markSearched(workers.length);
		for (const worker of workers) {
			askAbout(tables, worker, job);
		}
	}
	enqueue(tables, job);
}

/** Asks a worker that has come back what it was asked before. */
export function repeatSearches(tables: EntryTables, worker: WorkerRow): void {
	for (const task of worker.searched.values()) {
		if (worker.sessionId !== undefined) {
			const { submissionId, taskIndex, attempt } = task;
			tables.outbox.fence(worker.sessionId, { submissionId, taskIndex }, attempt);
		}
	}
}

/** Takes account of a worker that has fenced a task. */
export function clearSearch(tables: EntryTables, job: JobRow, taskIndex: number): void {
	if (job.states[taskIndex] !== 'searched' || !job.clearSearch(taskIndex)) {
		return;
	}
	if (job.stop !== undefined) {
		endTask(tables, job, taskIndex, 'neverStarted');
		return;
	}
	job.releaseSearched(taskIndex);
	tables.poolOf(job.pool).requeue(job);
	tables.changedJobs.add(job);
}

function askAbout(tables: EntryTables, worker: WorkerRow, job: JobRow): void {
	const { submissionId } = job;
	const attempt = tables.epoch * attemptsPerEpoch - 1;
	for (let taskIndex = 0; taskIndex < job.taskCount; taskIndex += 1) {
		const identity = { submissionId, taskIndex };
		worker.searched.set(taskKey(identity), {
			...identity,
			job,
			sentMs: tables.nowMs,
			epoch: tables.epoch,
			attempt,
		});
		if (worker.sessionId !== undefined) {
			tables.outbox.fence(worker.sessionId, identity, attempt);
		}
	}
}
