/** Takes account of how tasks ended: results, learned run times, slots, and tasks that may be placed again. */

import { match } from 'ts-pattern';
import type {
	NotStartedReason,
	RouteUsage,
	TaskEnd,
	TaskOutcome,
	TaskOutcomesMessage,
} from '../../../protocol/common/agentMessages.js';
import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask } from '../jobLife.js';
import type { JobRow } from '../jobRow.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { AssignedTask, WorkerRow } from '../workerRow.js';
import { noteRun } from './ejectionSystem.js';
import { clearSearch, searchWaitingJob } from './searchSystem.js';

/** Pause after a worker's queue was full. */
const fullQueuePauseMs = 20;
/** Pause after a worker could not start a task for a cause that does not pass at once. */
const refusedPauseMs = 250;
/** Outcomes that are acknowledged together at the latest, and time that the oldest may wait. */
const maxUnacknowledged = 64;
const maxAcknowledgeWaitMs = 10_000;

/** Takes outcomes from an agent. Outcomes of tasks that this entry doesn't wait for are ignored. */
export function applyOutcomes(
	tables: EntryTables,
	sessionId: number,
	message: TaskOutcomesMessage,
	outputs: EntryOutputs,
): void {
	const peer = tables.sessions.get(sessionId);
	const worker = peer === undefined ? undefined : tables.workers.get(peer.processId);
	if (worker === undefined || worker.incarnation !== peer?.incarnation || worker.sessionId !== sessionId) {
		// On its newer connection the agent was asked again; an answer to an older question could be mistaken there.
		return;
	}
	tables.stats.outcomeFrames += 1;
	worker.reportedLoad = message.openTasks ?? worker.assigned.size;
	noteUsage(tables, worker, message.usage ?? []);
	for (const outcome of message.outcomes) {
		applyOutcome(tables, worker, outcome, outputs);
	}
	if (worker.unacknowledged.length >= maxUnacknowledged) {
		acknowledge(tables, worker);
	}
}

function noteUsage(tables: EntryTables, worker: WorkerRow, usage: readonly RouteUsage[]): void {
	const { offer } = worker;
	if (offer === undefined) {
		return;
	}
	for (const measured of usage) {
		tables.routeOf(measured.route).measuredNeeds.note(worker.processId, measured, offer);
	}
}

/** Acknowledges outcomes that have waited long enough for company. */
export function acknowledgeOldOutcomes(tables: EntryTables): void {
	for (const worker of tables.workers.values()) {
		const waitedMs = tables.nowMs - worker.unacknowledgedSinceMs;
		if (worker.unacknowledged.length > 0 && waitedMs >= maxAcknowledgeWaitMs) {
			acknowledge(tables, worker);
		}
	}
}

function acknowledge(tables: EntryTables, worker: WorkerRow): void {
	if (worker.sessionId === undefined) {
		return;
	}
	tables.outbox.to(worker.sessionId).acknowledgements.push(...worker.unacknowledged);
	worker.unacknowledged = [];
}

function applyOutcome(
	tables: EntryTables,
	worker: WorkerRow,
	{ submissionId, taskIndex, end }: TaskOutcome,
	outputs: EntryOutputs,
): void {
	const key = taskKey({ submissionId, taskIndex });
	if (isOfEarlierAttempt(worker.assigned.get(key), end)) {
		return;
	}
	const task = worker.release(key);
	if (task === undefined) {
		applySearched(tables, worker, key, end);
		return;
	}
	tables.stats.outcomesReceived += 1;
	tables.addRunning(task.job.submission.team, -1);
	if (end.state !== 'notStarted') {
		noteUnacknowledged(tables, worker, task);
	}
	noteRun(tables, worker, task, end, outputs);
	if (task.job.phase === 'answered') {
		return;
	}
	applyEnd(tables, worker, task, end);
}

/** A refusal of an earlier placement, asked about twice, says nothing about the present one. */
function isOfEarlierAttempt(task: AssignedTask | undefined, end: TaskEnd): boolean {
	return (
		task !== undefined &&
		end.state === 'notStarted' &&
		end.attempt !== undefined &&
		end.attempt < task.attempt
	);
}

/** Takes the answer to a search. */
function applySearched(tables: EntryTables, worker: WorkerRow, key: string, end: TaskEnd): void {
	const task = worker.searched.get(key);
	if (task === undefined) {
		return;
	}
	task.unanswered -= 1;
	if (end.state === 'notStarted' && task.unanswered > 0) {
		return;
	}
	worker.searched.delete(key);
	if (task.job.phase === 'answered') {
		return;
	}
	if (end.state === 'notStarted') {
		clearSearch(tables, task.job, task.taskIndex);
	} else if (task.job.states[task.taskIndex] === 'searched') {
		applyEnd(tables, worker, task, end);
	}
}

function noteUnacknowledged(tables: EntryTables, worker: WorkerRow, task: AssignedTask): void {
	if (worker.unacknowledged.length === 0) {
		worker.unacknowledgedSinceMs = tables.nowMs;
	}
	worker.unacknowledged.push({ submissionId: task.submissionId, taskIndex: task.taskIndex });
}

function applyEnd(tables: EntryTables, worker: WorkerRow, task: AssignedTask, end: TaskEnd): void {
	const { job, taskIndex } = task;
	// The common case comes first and without the matcher, whose cost shows at tens of thousands of tasks a second.
	if (end.state === 'done') {
		job.resultsJson[taskIndex] = end.resultJson;
		tables.poolOf(job.pool).noteRunTime(end.runMs);
		endTask(tables, job, taskIndex, 'done');
		return;
	}
	match(end)
		.with({ state: 'failed' }, { state: 'stopped' }, ({ state, message }) => {
			job.firstFailure ??= `Task ${taskIndex} ${state === 'failed' ? 'failed' : 'was stopped'}: ${message}`;
			endTask(tables, job, taskIndex, state);
		})
		.with({ state: 'unknown' }, () => {
			endTask(tables, job, taskIndex, 'unknown');
		})
		.with({ state: 'notStarted' }, ({ reason }) => {
			takeBack(tables, worker, task, reason);
		})
		.exhaustive();
}

/** Places a task, which surely has not started, once more, unless its job has stopped or the budget is used up. */
function takeBack(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	reason: NotStartedReason,
): void {
	const { job, taskIndex } = task;
	tables.stats.countWasted('refusals', 1);
	noteRefusal(tables, worker, task, reason);
	const pool = tables.poolOf(job.pool);
	if (reason === 'fenced' && job.isShared && job.states[taskIndex] === 'sent') {
		// Another home has asked about the task and may start it; a newer directory will tell which one.
		job.mayHaveStarted = true;
		job.relayedSinceMs ??= tables.nowMs;
		pool.refusedEpoch = Math.max(pool.refusedEpoch, task.epoch);
	}
	const isLast = reason === 'cancelled' || reason === 'startTimePassed' || job.stop !== undefined;
	if (!isLast && (pool.refusedEpoch >= task.epoch || pool.spendRetry())) {
		tables.stats.retries += 1;
		job.returnToQueue(taskIndex);
		pool.requeue(job);
		tables.changedJobs.add(job);
		const wasAnotherHome = reason === 'olderEpoch' || reason === 'fenced';
		if (wasAnotherHome && task.epoch < tables.epoch) {
			// The search under the newer epoch came before the answer, and so did not cover this task.
			searchWaitingJob(tables, job);
		}
		return;
	}
	stopUnlessStopped(job, reason);
	endTask(tables, job, taskIndex, 'neverStarted');
}

function noteRefusal(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	reason: NotStartedReason,
): void {
	match(reason)
		.with('leaving', 'noUpstream', 'otherPool', () => {
			worker.stopOffering();
		})
		.with('queueFull', 'doesNotFit', () => {
			worker.pauseUntil(tables.nowMs + fullQueuePauseMs);
		})
		.with('olderEpoch', () => {
			const pool = tables.poolOf(task.job.pool);
			pool.refusedEpoch = Math.max(pool.refusedEpoch, task.epoch);
		})
		.with('upstreamRefused', 'staleTables', 'identitiesFull', () => {
			worker.pauseUntil(tables.nowMs + refusedPauseMs);
		})
		.with('cancelled', 'startTimePassed', 'fenced', 'connectionLost', () => undefined)
		.exhaustive();
}

function stopUnlessStopped(job: JobRow, reason: NotStartedReason): void {
	job.stop ??=
		reason === 'startTimePassed'
			? { reason: 'deadlinePassed', message: 'The deadline passed before the job could start.' }
			: {
					reason: 'workersRefused',
					message: `The workers refused the job (${reason}), and the pool's retry budget is used up.`,
					retryAfterMs: 1000,
				};
}
