/** Steps of a job's lifecycle that several systems share: adding it, queueing it, ending its tasks, answering it. */

import type { JobAnswer, JobSubmission } from '../../protocol/common/jobs.js';
import { taskKey } from '../../protocol/common/jobs.js';
import type { ClaimRequest } from '../../protocol/common/keeperMessages.js';
import type { EntryTables } from './entryTables.js';
import type { JobRow, PendingRefusal } from './jobRow.js';
import type { EntryOutputs } from './tickTypes.js';
import { isAnsweredByAgent } from './systems/directAnswerSystem.js';
import { cannotComplete } from './jobAnswer.js';

/**
 * Returns the submission with the needs of its tasks replaced by the usage measured for its route, if there is any. A
 * submission that declares more than any worker of its pool has keeps its declared needs and is refused for them,
 * because its tasks may differ from those that were measured.
 */
export function withMeasuredNeeds(
	tables: EntryTables,
	submission: JobSubmission,
	pool: string,
): JobSubmission {
	const declared = submission.needs;
	const needs = tables.getOrCreateRoute(submission.route).measuredNeeds.expectedNeeds(declared);
	if (needs === declared || !tables.workersInPool(pool).couldAnyEverFit(declared)) {
		return submission;
	}
	return { ...submission, needs };
}

/** Adds a job to the tables and schedules its deadline. */
export function addJob(tables: EntryTables, job: JobRow): void {
	tables.jobs.set(job.submissionId, job);
	tables.deadlines.add(job, job.deadlineMs);
	tables.stats.jobs += 1;
	tables.stats.tasks += job.taskCount;
}

/** Adds a reader of this entry that waits for the job's answer. */
export function addReader(tables: EntryTables, job: JobRow, readerId: number, jobId: string): void {
	job.readers.push({ readerId, jobId });
	tables.jobsByReader.set(readerId, job);
	tables.jobsByJobId.set(jobId, job);
}

/** Removes the readers of a job for which the predicate holds. */
export function removeReaders(
	tables: EntryTables,
	job: JobRow,
	shouldRemove: (readerId: number, jobId: string) => boolean,
): void {
	for (let index = job.readers.length - 1; index >= 0; index -= 1) {
		const reader = job.readers[index];
		if (reader !== undefined && shouldRemove(reader.readerId, reader.jobId)) {
			job.readers.splice(index, 1);
			tables.jobsByReader.delete(reader.readerId);
			tables.jobsByJobId.delete(reader.jobId);
		}
	}
}

/** Counts a job's tasks as open tasks of its route. */
export function admitJob(tables: EntryTables, job: JobRow): void {
	job.isAdmitted = true;
	tables.getOrCreateRoute(job.submission.route).openTasks += job.queuedCount;
}

/** Adds a job's queued tasks to the pool's queue at this entry. */
export function enqueueJob(tables: EntryTables, job: JobRow): void {
	job.enterPhase('placing', tables.nowMs);
	const weight = tables.teamRows.get(job.submission.team)?.weight ?? 1;
	tables.getOrCreatePool(job.pool).enqueueJob(job, weight, tables.nowMs);
	tables.changedJobs.add(job);
}

/** Subtracts a job's queued tasks from the pool's and the route's counts, without ending them. */
export function dequeueJob(tables: EntryTables, job: JobRow): void {
	if (job.phase === 'placing') {
		tables.getOrCreatePool(job.pool).queuedTasks -= job.queuedCount;
	}
	if (job.isAdmitted) {
		tables.getOrCreateRoute(job.submission.route).openTasks -= job.queuedCount;
	}
}

/** Drops a job's queued tasks, so that they never start. */
export function dropQueuedTasks(tables: EntryTables, job: JobRow): void {
	dequeueJob(tables, job);
	job.dropQueuedTasks();
	tables.changedJobs.add(job);
}

/** Prevents any further task of a job from starting; `refusal` is the job's answer if none has started. */
export function stopJob(tables: EntryTables, job: JobRow, refusal: PendingRefusal): void {
	job.stopRefusal ??= refusal;
	dropQueuedTasks(tables, job);
}

/** How an open task has ended. */
export type OpenTaskEnd = 'done' | 'failed' | 'stopped' | 'neverStarted' | 'unknown';

/** Records the end of an open task. */
export function endTask(tables: EntryTables, job: JobRow, taskIndex: number, end: OpenTaskEnd): void {
	job.taskStates[taskIndex] = end;
	job.openCount -= 1;
	if (end === 'done') {
		job.doneCount += 1;
	}
	if (end === 'failed' || end === 'stopped') {
		job.failedCount += 1;
	}
	if (end === 'unknown') {
		job.unknownCount += 1;
	}
	if (job.isAdmitted) {
		tables.getOrCreateRoute(job.submission.route).openTasks -= 1;
	}
	tables.changedJobs.add(job);
}

/** Sends cancels for a job's open tasks to their workers, which drop or stop them. */
export function cancelOpenTasks(tables: EntryTables, job: JobRow): void {
	if (job.openCount === 0) {
		return;
	}
	for (let taskIndex = 0; taskIndex < job.taskCount; taskIndex += 1) {
		const state = job.taskStates[taskIndex];
		if (state !== 'sent' && state !== 'inDoubt') {
			continue;
		}
		const worker = tables.workers.get(job.taskWorkerIds[taskIndex] ?? '');
		const identity = { submissionId: job.submissionId, taskIndex };
		if (worker?.sessionId !== undefined && worker.assignedTasks.has(taskKey(identity))) {
			tables.outbox.forSession(worker.sessionId).cancels.push(identity);
		}
	}
}

/** Answers a job and removes it from the tables. Open tasks stay assigned to their workers until they end. */
export function finishJob(tables: EntryTables, outputs: EntryOutputs, job: JobRow, answer: JobAnswer): void {
	cancelOpenTasks(tables, job);
	dropQueuedTasks(tables, job);
	if (job.isAdmitted) {
		tables.getOrCreateRoute(job.submission.route).openTasks -= job.openCount;
		job.isAdmitted = false;
	}
	job.enterPhase('answered', tables.nowMs);
	job.answer = answer;
	tables.jobs.delete(job.submissionId);
	tables.deadlines.remove(job);
	for (const { readerId } of job.readers) {
		outputs.answers.push({ readerId, answer });
		countAnswer(tables, answer);
	}
	removeReaders(tables, job, () => true);
	for (const relayer of job.relayingEntries) {
		const sessionId = tables.entrySessions.get(relayer);
		if (sessionId !== undefined && !isAnsweredByAgent(tables, job, relayer)) {
			tables.outbox.forSession(sessionId).relayedAnswers.push({ submissionId: job.submissionId, answer });
		}
	}
	rememberOrReleaseSubmission(tables, outputs, job, answer);
}

/** Records the answer of a shared job that may have run, or releases the claim of a job that has certainly not run. */
function rememberOrReleaseSubmission(
	tables: EntryTables,
	outputs: EntryOutputs,
	job: JobRow,
	answer: JobAnswer,
): void {
	const { submissionId, fingerprint } = job.submission;
	if (answer.status !== 'notRun') {
		if (job.isShared) {
			tables.finishedSubmissions.add(submissionId, answer, fingerprint, tables.nowMs);
		}
		return;
	}
	if (job.mayHoldClaim && job.claimOwnerIncarnation !== undefined) {
		const ownerId = tables.options.processId;
		releaseClaim(tables, outputs, { submissionId, ownerId, ownerIncarnation: job.claimOwnerIncarnation });
	}
}

/** Releases the claim of a submission of which no task has started. */
export function releaseClaim(tables: EntryTables, outputs: EntryOutputs, claim: ClaimRequest): void {
	const { submissionId } = claim;
	tables.claimReleaseCounts.set(submissionId, (tables.claimReleaseCounts.get(submissionId) ?? 0) + 1);
	outputs.releases.push(claim);
}

/** Counts an answer by its status. */
export function countAnswer(tables: EntryTables, answer: JobAnswer): void {
	if (answer.status === 'complete') {
		tables.stats.completeAnswers += 1;
		return;
	}
	if (answer.status === 'failed') {
		tables.stats.failedAnswers += 1;
		return;
	}
	tables.stats.notRunAnswers += 1;
}

/** Whether a job has queued tasks that must not start any more. */
export function mustDropQueuedTasks(job: JobRow): boolean {
	return cannotComplete(job) && job.queuedCount > 0;
}
