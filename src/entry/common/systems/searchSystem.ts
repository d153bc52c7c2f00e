/**
 * Finds out which tasks of a job an earlier home has started, before this home starts any.
 *
 * A new home tells every worker so once. The worker refuses the starts of earlier homes from then on, and answers
 * with the submissions that it knows. Until it has answered, and for those that it knows, it is asked about every
 * task: one that never heard of a task fences it against the earlier home's starts, which may still be on their way,
 * and says so. A task that all such workers have fenced may be placed; one that some worker knows is waited for.
 */

import type { KnownSubmissionsMessage } from '../../../protocol/common/agentMessages.js';
import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask, enqueue, stopJob } from '../jobLife.js';
import type { JobRow } from '../jobRow.js';
import type { PoolState } from '../poolState.js';
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
	const { tenure } = tables.poolOf(job.pool);
	if (job.searchedUnder !== undefined && job.searchedUnder === tenure) {
		return false;
	}
	const tenureMs = tenure === undefined ? 0 : tables.nowMs - tenure.sinceMs;
	return job.mayHaveStarted || (job.submission.isKeyed && tenureMs < tables.options.keyRetentionMs);
}

/** Whether a worker that may have started a relayed job has lost its memory since, so that a search proves nothing. */
export function isSearchInVain(tables: EntryTables, job: JobRow): boolean {
	if (!job.mayHaveStarted) {
		return false;
	}
	const sinceMs = job.relayedSinceMs ?? -Infinity;
	return sinceMs < (tables.startedMs ?? 0) || tables.poolOf(job.pool).lastLossMs >= sinceMs;
}

/** Asks all workers of the pool, lost ones as soon as they return, and puts the job in line. */
export function searchJob(tables: EntryTables, job: JobRow): void {
	askWorkers(tables, job);
	enqueue(tables, job);
}

/**
 * Asks once more about shared tasks that wait here. Needed when this entry may have missed that another one was the
 * home for a while and started them.
 */
export function searchWaitingJobs(tables: EntryTables, pool: string): void {
	for (const job of tables.jobs.values()) {
		if (job.pool === pool) {
			searchWaitingJob(tables, job);
		}
	}
}

/** Asks once more about the tasks of one shared job that wait here. */
export function searchWaitingJob(tables: EntryTables, job: JobRow): void {
	const mayStart = job.phase === 'placing' && job.stop === undefined;
	if (!mayStart || !job.isShared || !job.submission.repeatable) {
		return;
	}
	const pool = tables.poolOf(job.pool);
	if (pool.lastLossMs >= job.receivedMs) {
		stopSearchInVain(tables, job);
		return;
	}
	pool.queuedTasks -= job.queuedCount;
	askWorkers(tables, job);
	pool.queuedTasks += job.queuedCount;
}

/** What a lost worker may have run can't be told, so the job's other tasks must not start. */
function stopSearchInVain(tables: EntryTables, job: JobRow): void {
	job.mayHaveStarted = true;
	stopJob(tables, job, {
		reason: 'homeUnreachable',
		message: 'Another entry may have placed the job for a while, and a worker that may have run it was lost.',
	});
}

function askWorkers(tables: EntryTables, job: JobRow): void {
	const pool = tables.poolOf(job.pool);
	const workers = tables
		.workersOf(job.pool)
		.members()
		.filter((worker) => mayKnow(worker, job, pool));
	job.hasBeenSearched = true;
	job.searchedUnder = pool.tenure;
	if (workers.length === 0) {
		return;
	}
	const taskIndexes = job.markSearched(workers.length);
	for (const worker of workers) {
		askAbout(tables, worker, job, taskIndexes);
	}
}

/**
 * Whether an earlier home can have started, or can still start, tasks of a job at a worker. One that has said what it
 * knows, under the present tenure, need not be asked about anything else, also when it is lost later. The exceptions
 * are the jobs that an earlier home may go on with under the present epoch: those that it has named to this entry, and
 * those that it held for the entry that now relays them here.
 */
function mayKnow(worker: WorkerRow, job: JobRow, { tenure, ownedElsewhere }: PoolState): boolean {
	const isCleared = tenure !== undefined && worker.clearedUnder === tenure;
	const { submissionId, mayHaveStarted } = job;
	return (
		!isCleared ||
		mayHaveStarted ||
		worker.knownSubmissions.has(submissionId) ||
		ownedElsewhere.has(submissionId)
	);
}

/** Tells a worker that this entry is its pool's home, unless it has answered already. */
export function assumeHome(tables: EntryTables, worker: WorkerRow): void {
	const { pool, sessionId } = worker;
	if (pool === undefined || sessionId === undefined) {
		return;
	}
	const { tenure } = tables.poolOf(pool);
	if (tenure !== undefined && worker.clearedUnder !== tenure) {
		tables.outbox.to(sessionId).assumedPool = pool;
		worker.askedUnder = { tenure, epoch: tables.epoch };
	}
}

/** Takes the answer of a worker that was told who its home is. */
export function applyKnownSubmissions(
	tables: EntryTables,
	sessionId: number,
	message: KnownSubmissionsMessage,
): void {
	const peer = tables.sessions.get(sessionId);
	const worker = peer === undefined ? undefined : tables.workers.get(peer.processId);
	if (worker?.sessionId !== sessionId || worker.askedUnder?.epoch !== message.epoch) {
		return;
	}
	const { tenure } = worker.askedUnder;
	if (message.pool === worker.pool && tables.poolOf(message.pool).tenure === tenure) {
		worker.clearedUnder = tenure;
		worker.knownSubmissions = new Set(message.submissionIds);
	}
}

/** Asks a worker that has come back what it was asked before. */
export function repeatSearches(tables: EntryTables, worker: WorkerRow): void {
	for (const task of worker.searched.values()) {
		task.unanswered = 1;
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

function askAbout(tables: EntryTables, worker: WorkerRow, job: JobRow, taskIndexes: readonly number[]): void {
	const { submissionId } = job;
	const attempt = tables.epoch * attemptsPerEpoch - 1;
	for (const taskIndex of taskIndexes) {
		const identity = { submissionId, taskIndex };
		const key = taskKey(identity);
		const unanswered = (worker.searched.get(key)?.unanswered ?? 0) + 1;
		worker.searched.set(key, {
			...identity,
			job,
			sentMs: tables.nowMs,
			epoch: tables.epoch,
			attempt,
			unanswered,
		});
		if (worker.sessionId !== undefined) {
			tables.outbox.fence(worker.sessionId, identity, attempt);
		}
	}
}
