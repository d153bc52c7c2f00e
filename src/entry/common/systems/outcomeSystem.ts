/** Processes task outcomes: records results and run times, frees slots, and queues tasks that may be placed again. */

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
import { endTask } from '../jobLifecycle.js';
import type { JobRow } from '../jobRow.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { AssignedTask, WorkerRow } from '../workerRow.js';
import { applyDirectAnswer } from './directAnswerSystem.js';
import { updateWorkerHealth } from './ejectionSystem.js';
import { recordFencedTask, searchWaitingJob } from './searchSystem.js';

/** Pause before a worker gets further tasks after its queue was full. */
const fullQueuePauseMs = 20;
/** Pause before a worker gets further tasks after it refused one for a reason that is likely to last longer. */
const refusalPauseMs = 250;
/** Number of unacknowledged outcomes of a worker at which they are acknowledged. */
const maxUnacknowledgedOutcomes = 64;
/** Maximum time that an outcome waits to be acknowledged together with others. */
const maxAcknowledgeDelayMs = 10_000;

/** Applies outcomes from an agent. Outcomes of tasks that this entry doesn't wait for are ignored. */
export function applyOutcomes(
	tables: EntryTables,
	sessionId: number,
	message: TaskOutcomesMessage,
	outputs: EntryOutputs,
): void {
	for (const outcome of message.outcomes) {
		if (outcome.isDirectAnswer === true) {
			applyDirectAnswer(tables, outcome, outputs);
		}
	}
	const peer = tables.sessions.get(sessionId);
	const worker = peer === undefined ? undefined : tables.workers.get(peer.processId);
	if (worker === undefined || worker.incarnation !== peer?.incarnation || worker.sessionId !== sessionId) {
		// The agent was asked again on its newer connection; an outcome from an older one could be mistaken for the answer.
		return;
	}
	tables.stats.outcomeFrames += 1;
	worker.reportedLoad = message.openTasks ?? worker.assignedTasks.size;
	recordUsage(tables, worker, message.usage ?? []);
	for (const outcome of message.outcomes) {
		if (outcome.isDirectAnswer !== true) {
			applyOutcome(tables, worker, outcome, outputs);
		}
	}
	if (worker.unacknowledgedOutcomes.length >= maxUnacknowledgedOutcomes) {
		acknowledge(tables, worker);
	}
}

/** Records the measured resource usage of routes on a worker. */
function recordUsage(tables: EntryTables, worker: WorkerRow, usage: readonly RouteUsage[]): void {
	const { offer } = worker;
	if (offer === undefined) {
		return;
	}
	for (const measured of usage) {
		tables.getOrCreateRoute(measured.route).measuredNeeds.update(worker.processId, measured, offer);
	}
}

/** Acknowledges outcomes that have waited for the maximum time. */
export function acknowledgeOldOutcomes(tables: EntryTables): void {
	for (const worker of tables.workers.values()) {
		const waitedMs = tables.nowMs - worker.unacknowledgedSinceMs;
		if (worker.unacknowledgedOutcomes.length > 0 && waitedMs >= maxAcknowledgeDelayMs) {
			acknowledge(tables, worker);
		}
	}
}

function acknowledge(tables: EntryTables, worker: WorkerRow): void {
	if (worker.sessionId === undefined) {
		return;
	}
	tables.outbox.forSession(worker.sessionId).acknowledgements.push(...worker.unacknowledgedOutcomes);
	worker.unacknowledgedOutcomes = [];
}

function applyOutcome(
	tables: EntryTables,
	worker: WorkerRow,
	{ submissionId, taskIndex, end, answeredEntry }: TaskOutcome,
	outputs: EntryOutputs,
): void {
	const key = taskKey({ submissionId, taskIndex });
	if (isRefusalOfEarlierAttempt(worker.assignedTasks.get(key), end)) {
		return;
	}
	const task = worker.release(key);
	if (task === undefined) {
		applySearchAnswer(tables, worker, key, end);
		return;
	}
	tables.stats.outcomesReceived += 1;
	tables.addRunningTasks(task.job.submission.team, -1);
	if (end.state !== 'notStarted') {
		recordUnacknowledged(tables, worker, task);
	}
	updateWorkerHealth(tables, worker, task, end, outputs);
	if (task.job.phase === 'answered') {
		return;
	}
	task.job.answeredEntry = answeredEntry;
	applyTaskEnd(tables, worker, task, end);
}

/**
 * Whether an outcome is the refusal of an earlier attempt, which can arrive when the agent was asked about it twice. It
 * says nothing about the current attempt.
 */
function isRefusalOfEarlierAttempt(task: AssignedTask | undefined, end: TaskEnd): boolean {
	return (
		task !== undefined &&
		end.state === 'notStarted' &&
		end.attempt !== undefined &&
		end.attempt < task.attempt
	);
}

/** Applies a worker's answer to a search for a task that an earlier home may have started. */
function applySearchAnswer(tables: EntryTables, worker: WorkerRow, key: string, end: TaskEnd): void {
	const task = worker.searchedTasks.get(key);
	if (task === undefined) {
		return;
	}
	task.unansweredQueries -= 1;
	if (end.state === 'notStarted' && task.unansweredQueries > 0) {
		return;
	}
	worker.searchedTasks.delete(key);
	if (task.job.phase === 'answered') {
		return;
	}
	if (end.state === 'notStarted') {
		recordFencedTask(tables, task.job, task.taskIndex);
	} else if (task.job.taskStates[task.taskIndex] === 'searched') {
		applyTaskEnd(tables, worker, task, end);
	}
}

function recordUnacknowledged(tables: EntryTables, worker: WorkerRow, task: AssignedTask): void {
	if (worker.unacknowledgedOutcomes.length === 0) {
		worker.unacknowledgedSinceMs = tables.nowMs;
	}
	worker.unacknowledgedOutcomes.push({ submissionId: task.submissionId, taskIndex: task.taskIndex });
}

/** Records the end of a task in its job. */
function applyTaskEnd(tables: EntryTables, worker: WorkerRow, task: AssignedTask, end: TaskEnd): void {
	const { job, taskIndex } = task;
	// Handles the common case first and without the matcher, whose cost shows at tens of thousands of tasks a second.
	if (end.state === 'done') {
		job.resultsJson[taskIndex] = end.resultJson;
		tables.getOrCreatePool(job.pool).recordRunTime(end.runMs);
		endTask(tables, job, taskIndex, 'done');
		return;
	}
	match(end)
		.with({ state: 'failed' }, { state: 'stopped' }, ({ state, message }) => {
			job.firstFailureMessage ??= `Task ${taskIndex} ${state === 'failed' ? 'failed' : 'was stopped'}: ${message}`;
			endTask(tables, job, taskIndex, state);
		})
		.with({ state: 'unknown' }, () => {
			endTask(tables, job, taskIndex, 'unknown');
		})
		.with({ state: 'notStarted' }, ({ reason }) => {
			retryOrEndTask(tables, worker, task, reason);
		})
		.exhaustive();
}

/**
 * Queues a refused task again, since it has certainly not started. Ends it instead if its job has stopped, it was
 * cancelled, its start time has passed or the pool's retry budget is used up. A retry needs no budget if a worker has
 * refused the task's epoch, or a later one, as too old.
 */
function retryOrEndTask(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	reason: NotStartedReason,
): void {
	const { job, taskIndex } = task;
	tables.stats.countWasted('refusals', 1);
	handleRefusal(tables, worker, task, reason);
	const pool = tables.getOrCreatePool(job.pool);
	if (reason === 'fenced' && job.isShared && job.taskStates[taskIndex] === 'sent') {
		// Another home has asked about the task and may start it. A newer directory will name that home.
		job.mayHaveStarted = true;
		job.relayedSinceMs ??= tables.nowMs;
		pool.highestRefusedEpoch = Math.max(pool.highestRefusedEpoch, task.epoch);
	}
	const mustNotRetry =
		reason === 'cancelled' || reason === 'startTimePassed' || job.stopRefusal !== undefined;
	if (!mustNotRetry && (pool.highestRefusedEpoch >= task.epoch || pool.trySpendRetry())) {
		tables.stats.retries += 1;
		job.returnToQueue(taskIndex);
		pool.requeueTask(job);
		tables.changedJobs.add(job);
		const isOtherHomeRefusal = reason === 'olderEpoch' || reason === 'fenced';
		if (isOtherHomeRefusal && task.epoch < tables.epoch) {
			// The search under the newer epoch took place before this outcome arrived, so it didn't cover this task.
			searchWaitingJob(tables, job);
		}
		return;
	}
	setStopReason(job, reason);
	endTask(tables, job, taskIndex, 'neverStarted');
}

/** Pauses the worker, marks it as leaving or raises the pool's highest refused epoch, depending on the reason. */
function handleRefusal(
	tables: EntryTables,
	worker: WorkerRow,
	task: AssignedTask,
	reason: NotStartedReason,
): void {
	match(reason)
		.with('leaving', 'noUpstream', 'otherPool', () => {
			worker.markLeaving();
		})
		.with('queueFull', 'doesNotFit', () => {
			worker.pauseUntil(tables.nowMs + fullQueuePauseMs);
		})
		.with('olderEpoch', () => {
			const pool = tables.getOrCreatePool(task.job.pool);
			pool.highestRefusedEpoch = Math.max(pool.highestRefusedEpoch, task.epoch);
		})
		.with('upstreamRefused', 'staleTables', 'identitiesFull', () => {
			worker.pauseUntil(tables.nowMs + refusalPauseMs);
		})
		.with('cancelled', 'startTimePassed', 'fenced', 'connectionLost', () => undefined)
		.exhaustive();
}

/** Stops a job, unless it has stopped already, with the refusal that it is answered with if none of its tasks started. */
function setStopReason(job: JobRow, reason: NotStartedReason): void {
	job.stopRefusal ??=
		reason === 'startTimePassed'
			? { reason: 'deadlinePassed', message: 'The deadline passed before the job could start.' }
			: {
					reason: 'workersRefused',
					message: `The workers refused the job (${reason}), and the pool's retry budget is used up.`,
					retryAfterMs: 1000,
				};
}
