/** Steps in the life of a job that several systems take: start of its account, ends of its tasks, its answer. */

import type { JobAnswer, JobSubmission } from '../../protocol/common/jobs.js';
import { taskKey } from '../../protocol/common/jobs.js';
import type { ClaimRequest } from '../../protocol/common/keeperMessages.js';
import type { EntryTables } from './entryTables.js';
import type { JobRow, PendingRefusal } from './jobRow.js';
import type { EntryOutputs } from './tickTypes.js';
import { isAnswered } from './systems/directAnswerSystem.js';
import { mustStop } from './verdict.js';

/**
 * A submission whose tasks need what the tasks of its route were measured to use, where that is known. One that
 * declares more than any worker of its pool has keeps that, and is refused for it: it may be unlike what was measured.
 */
export function withExpectedNeeds(
	tables: EntryTables,
	submission: JobSubmission,
	pool: string,
): JobSubmission {
	const declared = submission.needs;
	const needs = tables.routeOf(submission.route).measuredNeeds.expected(declared);
	if (needs === declared || !tables.workersOf(pool).couldAnyHold(declared)) {
		return submission;
	}
	return { ...submission, needs };
}

/** Enters a job into the tables. */
export function addJob(tables: EntryTables, job: JobRow): void {
	tables.jobs.set(job.submissionId, job);
	tables.deadlines.add(job, job.deadlineMs);
	tables.stats.jobs += 1;
	tables.stats.tasks += job.taskCount;
}

/** Lets a reader of this entry wait for a job. */
export function addReader(tables: EntryTables, job: JobRow, readerId: number, jobId: string): void {
	job.readers.push({ readerId, jobId });
	tables.jobsByReader.set(readerId, job);
	tables.jobsByJobId.set(jobId, job);
}

/** Takes readers of this entry off a job. */
export function removeReader(
	tables: EntryTables,
	job: JobRow,
	isRemoved: (readerId: number, jobId: string) => boolean,
): void {
	for (let index = job.readers.length - 1; index >= 0; index -= 1) {
		const reader = job.readers[index];
		if (reader !== undefined && isRemoved(reader.readerId, reader.jobId)) {
			job.readers.splice(index, 1);
			tables.jobsByReader.delete(reader.readerId);
			tables.jobsByJobId.delete(reader.jobId);
		}
	}
}

/** Counts a job's tasks against its route. */
export function admit(tables: EntryTables, job: JobRow): void {
	job.isAdmitted = true;
	tables.routeOf(job.submission.route).openTasks += job.queuedCount;
}

/** Puts a job's queued tasks in line at this entry. */
export function enqueue(tables: EntryTables, job: JobRow): void {
	job.enter('placing', tables.nowMs);
	const weight = tables.teamRows.get(job.submission.team)?.weight ?? 1;
	tables.poolOf(job.pool).enqueue(job, weight, tables.nowMs);
	tables.changedJobs.add(job);
}

/** Takes a job's queued tasks out of line, without ending them. */
export function dequeue(tables: EntryTables, job: JobRow): void {
	if (job.phase === 'placing') {
		tables.poolOf(job.pool).queuedTasks -= job.queuedCount;
	}
	if (job.isAdmitted) {
		tables.routeOf(job.submission.route).openTasks -= job.queuedCount;
	}
}

/** Drops a job's queued tasks: they never start. */
export function dropQueued(tables: EntryTables, job: JobRow): void {
	dequeue(tables, job);
	job.dropQueued();
	tables.changedJobs.add(job);
}

/** Lets nothing more of a job start; `refusal` is its answer if nothing has. */
export function stopJob(tables: EntryTables, job: JobRow, refusal: PendingRefusal): void {
	job.stop ??= refusal;
	dropQueued(tables, job);
}

/** How a task that was open has ended. */
export type OpenTaskEnd = 'done' | 'failed' | 'stopped' | 'neverStarted' | 'unknown';

/** Ends an open task. */
export function endTask(tables: EntryTables, job: JobRow, taskIndex: number, end: OpenTaskEnd): void {
	job.states[taskIndex] = end;
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
		tables.routeOf(job.submission.route).openTasks -= 1;
	}
	tables.changedJobs.add(job);
}

/** Asks the workers of a job's open tasks to drop or stop them. */
export function cancelOpenTasks(tables: EntryTables, job: JobRow): void {
	if (job.openCount === 0) {
		return;
	}
	for (let taskIndex = 0; taskIndex < job.taskCount; taskIndex += 1) {
		const state = job.states[taskIndex];
		if (state !== 'sent' && state !== 'inDoubt') {
			continue;
		}
		const worker = tables.workers.get(job.workerIds[taskIndex] ?? '');
		const identity = { submissionId: job.submissionId, taskIndex };
		if (worker?.sessionId !== undefined && worker.assigned.has(taskKey(identity))) {
			tables.outbox.to(worker.sessionId).cancels.push(identity);
		}
	}
}

/** Answers a job and takes it out of the tables. Open tasks stay on their workers' accounts until they end. */
export function finishJob(tables: EntryTables, outputs: EntryOutputs, job: JobRow, answer: JobAnswer): void {
	cancelOpenTasks(tables, job);
	dropQueued(tables, job);
	if (job.isAdmitted) {
		tables.routeOf(job.submission.route).openTasks -= job.openCount;
		job.isAdmitted = false;
	}
	job.enter('answered', tables.nowMs);
	job.answer = answer;
	tables.jobs.delete(job.submissionId);
	tables.deadlines.forget(job);
	for (const { readerId } of job.readers) {
		outputs.answers.push({ readerId, answer });
		countAnswer(tables, answer);
	}
	removeReader(tables, job, () => true);
	for (const relayer of job.relayers) {
		const sessionId = tables.entrySessions.get(relayer);
		if (sessionId !== undefined && !isAnswered(tables, job, relayer)) {
			tables.outbox.to(sessionId).relayedAnswers.push({ submissionId: job.submissionId, answer });
		}
	}
	settleKey(tables, outputs, job, answer);
}

/** Remembers a shared job that may have run; frees the claim of one that surely has not. */
function settleKey(tables: EntryTables, outputs: EntryOutputs, job: JobRow, answer: JobAnswer): void {
	const { submissionId, fingerprint } = job.submission;
	if (answer.status !== 'notRun') {
		if (job.isShared) {
			tables.remembered.remember(submissionId, answer, fingerprint, tables.nowMs);
		}
		return;
	}
	if (job.isClaimed && job.claimOwner !== undefined) {
		const ownerId = tables.options.processId;
		releaseClaim(tables, outputs, { submissionId, ownerId, ownerIncarnation: job.claimOwner });
	}
}

/** Takes back a claim of a submission of which no task has started. */
export function releaseClaim(tables: EntryTables, outputs: EntryOutputs, claim: ClaimRequest): void {
	const { submissionId } = claim;
	tables.releasedClaims.set(submissionId, (tables.releasedClaims.get(submissionId) ?? 0) + 1);
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

/** Whether a job's queued tasks must be dropped now. */
export function hasIdleQueue(job: JobRow): boolean {
	return mustStop(job) && job.queuedCount > 0;
}
