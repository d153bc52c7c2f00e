/**
 * Determines which tasks of a job an earlier home has started, before this home starts any.
 *
 * A new home announces itself once to every worker. From then on the worker refuses the starts of earlier homes, and it
 * answers with the submissions that it knows. Until a worker has answered, and for the submissions that it knows, it is
 * asked about every task. A worker that doesn't know a task fences it against starts of the earlier home that may still
 * be in transit, and reports that. A task that all asked workers have fenced may be placed. A task that some worker
 * knows is awaited.
 */

import type { KnownSubmissionsMessage } from '../../../protocol/common/agentMessages.js';
import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask, enqueueJob, stopJob } from '../jobLifecycle.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
import type { WorkerRow } from '../workerRow.js';

/** Size of the range of attempt numbers that each epoch has for a task. */
const attemptsPerEpoch = 2 ** 20;

/** Returns the number of a task's next attempt, which is 0 if no earlier home can have fenced the task. */
export function nextAttemptOf(tables: EntryTables, job: JobRow, taskIndex: number): number {
	const returnCount = job.returnCountOf(taskIndex);
	if (returnCount === 0 && !job.submission.isKeyed && !job.hasBeenSearched) {
		return 0;
	}
	return tables.epoch * attemptsPerEpoch + returnCount;
}

/** Whether an earlier home may have started tasks of a job that this home has just accepted. */
export function needsSearch(tables: EntryTables, job: JobRow): boolean {
	const { tenure } = tables.getOrCreatePool(job.pool);
	if (job.searchTenure !== undefined && job.searchTenure === tenure) {
		return false;
	}
	const tenureMs = tenure === undefined ? 0 : tables.nowMs - tenure.sinceMs;
	return job.mayHaveStarted || (job.submission.isKeyed && tenureMs < tables.options.keyRetentionMs);
}

/**
 * Whether a search can't show if a relayed job was started, because this entry started later, or a worker that may have
 * started the job was lost or restarted since.
 */
export function isSearchInconclusive(tables: EntryTables, job: JobRow): boolean {
	if (!job.mayHaveStarted) {
		return false;
	}
	const sinceMs = job.relayedSinceMs ?? -Infinity;
	return sinceMs < (tables.firstTickMs ?? 0) || tables.getOrCreatePool(job.pool).lastStateLossMs >= sinceMs;
}

/** Searches for a job's tasks at the workers of its pool, at lost ones once they reconnect, and queues the job. */
export function searchJob(tables: EntryTables, job: JobRow): void {
	searchAtWorkers(tables, job);
	enqueueJob(tables, job);
}

/**
 * Searches again for the shared jobs of a pool that wait here. This is needed when another entry may have been the home
 * for a while, unnoticed by this one, and may have started their tasks.
 */
export function searchWaitingJobs(tables: EntryTables, pool: string): void {
	for (const job of tables.jobs.values()) {
		if (job.pool === pool) {
			searchWaitingJob(tables, job);
		}
	}
}

/** Searches again for the waiting tasks of a shared job. */
export function searchWaitingJob(tables: EntryTables, job: JobRow): void {
	const mayStart = job.phase === 'placing' && job.stopRefusal === undefined;
	if (!mayStart || !job.isShared || !job.submission.repeatable) {
		return;
	}
	const pool = tables.getOrCreatePool(job.pool);
	if (pool.lastStateLossMs >= job.receivedMs) {
		stopInconclusiveSearch(tables, job);
		return;
	}
	pool.queuedTasks -= job.queuedCount;
	searchAtWorkers(tables, job);
	pool.queuedTasks += job.queuedCount;
}

/** Stops a job whose tasks a lost worker may have run. This can't be determined, so its other tasks must not start. */
function stopInconclusiveSearch(tables: EntryTables, job: JobRow): void {
	job.mayHaveStarted = true;
	stopJob(tables, job, {
		reason: 'homeUnreachable',
		message: 'Another entry may have placed the job for a while, and a worker that may have run it was lost.',
	});
}

/** Asks every worker that may have tasks of a job about them. */
function searchAtWorkers(tables: EntryTables, job: JobRow): void {
	const pool = tables.getOrCreatePool(job.pool);
	const workers = tables
		.workersInPool(job.pool)
		.members()
		.filter((worker) => mayHaveTasksOf(worker, job, pool));
	job.hasBeenSearched = true;
	job.searchTenure = pool.tenure;
	if (workers.length === 0) {
		return;
	}
	const taskIndexes = job.markUnstartedAsSearched(workers.length);
	for (const worker of workers) {
		searchAtWorker(tables, worker, job, taskIndexes);
	}
}

/**
 * Whether an earlier home may have started, or may still start, tasks of a job at a worker. A worker that has reported
 * the submissions that it knows under the current tenure need not be asked about others, even if it is lost later.
 * Exceptions are the jobs that an earlier home may continue under the current epoch: those that it has listed to this
 * entry, and those that it held for the entry that now relays them here.
 */
function mayHaveTasksOf(
	worker: WorkerRow,
	job: JobRow,
	{ tenure, earlierOwnerBySubmission }: PoolState,
): boolean {
	const isCleared = tenure !== undefined && worker.answeredTenure === tenure;
	const { submissionId, mayHaveStarted } = job;
	return (
		!isCleared ||
		mayHaveStarted ||
		worker.knownSubmissions.has(submissionId) ||
		earlierOwnerBySubmission.has(submissionId)
	);
}

/** Announces to a worker that this entry is its pool's home, unless the worker has already answered such a message. */
export function announceHome(tables: EntryTables, worker: WorkerRow): void {
	const { pool, sessionId } = worker;
	if (pool === undefined || sessionId === undefined) {
		return;
	}
	const { tenure } = tables.getOrCreatePool(pool);
	if (tenure !== undefined && worker.answeredTenure !== tenure) {
		tables.outbox.forSession(sessionId).assumedHomePool = pool;
		worker.lastSubmissionsQuery = { tenure, epoch: tables.epoch };
	}
}

/** Applies a worker's answer to the announcement of its new home: the submissions that the worker knows. */
export function applyKnownSubmissions(
	tables: EntryTables,
	sessionId: number,
	message: KnownSubmissionsMessage,
): void {
	const peer = tables.sessions.get(sessionId);
	const worker = peer === undefined ? undefined : tables.workers.get(peer.processId);
	if (worker?.sessionId !== sessionId || worker.lastSubmissionsQuery?.epoch !== message.epoch) {
		return;
	}
	const { tenure } = worker.lastSubmissionsQuery;
	if (message.pool === worker.pool && tables.getOrCreatePool(message.pool).tenure === tenure) {
		worker.answeredTenure = tenure;
		worker.knownSubmissions = new Set(message.submissionIds);
	}
}

/** Repeats the unanswered searches at a worker that has reconnected. */
export function repeatSearches(tables: EntryTables, worker: WorkerRow): void {
	for (const task of worker.searchedTasks.values()) {
		task.unansweredQueries = 1;
		if (worker.sessionId !== undefined) {
			const { submissionId, taskIndex, attempt } = task;
			tables.outbox.addFence(worker.sessionId, { submissionId, taskIndex }, attempt);
		}
	}
}

/** Records that a worker has fenced a task, and queues or ends the task once no asked worker remains. */
export function recordFencedTask(tables: EntryTables, job: JobRow, taskIndex: number): void {
	if (job.taskStates[taskIndex] !== 'searched' || !job.recordSearchMiss(taskIndex)) {
		return;
	}
	if (job.stopRefusal !== undefined) {
		endTask(tables, job, taskIndex, 'neverStarted');
		return;
	}
	job.requeueSearchedTask(taskIndex);
	tables.getOrCreatePool(job.pool).requeueTask(job);
	tables.changedJobs.add(job);
}

/** Asks a worker about tasks of a job. The question is sent once the worker reconnects if it is lost. */
function searchAtWorker(
	tables: EntryTables,
	worker: WorkerRow,
	job: JobRow,
	taskIndexes: readonly number[],
): void {
	const { submissionId } = job;
	const attempt = tables.epoch * attemptsPerEpoch - 1;
	for (const taskIndex of taskIndexes) {
		const identity = { submissionId, taskIndex };
		const key = taskKey(identity);
		const unansweredQueries = (worker.searchedTasks.get(key)?.unansweredQueries ?? 0) + 1;
		worker.searchedTasks.set(key, {
			...identity,
			job,
			sentMs: tables.nowMs,
			epoch: tables.epoch,
			attempt,
			unansweredQueries,
		});
		if (worker.sessionId !== undefined) {
			tables.outbox.addFence(worker.sessionId, identity, attempt);
		}
	}
}
