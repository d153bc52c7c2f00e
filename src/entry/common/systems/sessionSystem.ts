/** Handles the connections to agents: applies what agents report and tracks tasks in doubt after a broken connection. */

import type { AgentStateMessage } from '../../../protocol/common/agentMessages.js';
import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask } from '../jobLifecycle.js';
import { announceHome, repeatSearches } from './searchSystem.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { WorkerRow } from '../workerRow.js';

/** Time for which a lost worker is kept, so that a new home knows which workers have not answered it. */
const lostWorkerRetentionMs = 60_000;

/** Handles a closed connection. Tasks that were sent on it are in doubt until their agent is asked again. */
export function closeSession(tables: EntryTables, sessionId: number, outputs: EntryOutputs): void {
	const peer = tables.sessions.get(sessionId);
	tables.sessions.delete(sessionId);
	if (peer === undefined) {
		return;
	}
	if (peer.role === 'entry') {
		if (tables.entrySessions.get(peer.processId) === sessionId) {
			tables.entrySessions.delete(peer.processId);
		}
		return;
	}
	tables.mayAnswersBeLost = true;
	const worker = tables.workers.get(peer.processId);
	if (worker?.sessionId !== sessionId) {
		return;
	}
	worker.disconnect(tables.nowMs);
	markTasksInDoubt(worker);
	outputs.events.push({
		level: 'info',
		event: 'worker.lost',
		fields: { worker: worker.processId, tasksInDoubt: worker.assignedTasks.size },
	});
}

/** Applies what an agent reports about itself. */
export function applyAgentState(
	tables: EntryTables,
	sessionId: number,
	message: AgentStateMessage,
	outputs: EntryOutputs,
): void {
	const peer = tables.sessions.get(sessionId);
	if (peer === undefined) {
		return;
	}
	const worker = rowOfIncarnation(tables, peer.processId, peer.incarnation);
	const isNewSession = worker.sessionId !== sessionId;
	if (isNewSession && worker.sessionId !== undefined && worker.sessionId > sessionId) {
		return;
	}
	worker.updateDescription(message);
	worker.setDrained(tables.control.tables.drains.some((row) => row.name === worker.processId));
	recordForeignTasks(tables, worker, message);
	if (isNewSession) {
		openWorkerSession(tables, worker, sessionId, outputs);
	}
	announceHome(tables, worker);
}

/** Removes workers that were lost longer ago than the retention time, and ends their tasks as unknown. */
export function forgetLostWorkers(tables: EntryTables): void {
	for (const worker of tables.workers.values()) {
		const isOld =
			worker.disconnectedAtMs !== undefined && tables.nowMs - worker.disconnectedAtMs > lostWorkerRetentionMs;
		if (!isOld || worker.sessionId !== undefined) {
			continue;
		}
		endWorkerIncarnation(tables, worker);
		tables.workers.delete(worker.processId);
		for (const route of tables.routes.values()) {
			route.removeWorker(worker.processId);
		}
	}
}

/**
 * Returns the row of an agent's current incarnation. Ends the tasks of an earlier one, since their outcome can't be
 * learned.
 */
function rowOfIncarnation(tables: EntryTables, processId: string, incarnation: string): WorkerRow {
	const known = tables.workers.get(processId);
	if (known?.incarnation === incarnation) {
		return known;
	}
	if (known !== undefined) {
		endWorkerIncarnation(tables, known);
	}
	return tables.workers.add(processId, incarnation);
}

/** Opens a worker's new session and asks the agent about every task that was sent on an earlier connection. */
function openWorkerSession(
	tables: EntryTables,
	worker: WorkerRow,
	sessionId: number,
	outputs: EntryOutputs,
): void {
	worker.connect(sessionId);
	markTasksInDoubt(worker);
	outputs.events.push({
		level: 'info',
		event: 'worker.connected',
		fields: { worker: worker.processId, pool: worker.pool, tasksInDoubt: worker.assignedTasks.size },
	});
	for (const { submissionId, taskIndex, job, attempt } of worker.assignedTasks.values()) {
		tables.outbox.addFence(sessionId, { submissionId, taskIndex }, attempt);
		if (job.phase === 'answered' || job.stopRefusal !== undefined) {
			tables.outbox.forSession(sessionId).cancels.push({ submissionId, taskIndex });
		}
	}
	repeatSearches(tables, worker);
}

/** Marks the tasks that were sent to a worker as in doubt. */
function markTasksInDoubt(worker: WorkerRow): void {
	for (const task of worker.assignedTasks.values()) {
		if (task.job.taskStates[task.taskIndex] === 'sent') {
			task.job.taskStates[task.taskIndex] = 'inDoubt';
		}
	}
}

/** Ends every task of this incarnation of a worker, and every unanswered search at it, as unknown. */
function endWorkerIncarnation(tables: EntryTables, worker: WorkerRow): void {
	if (worker.pool !== undefined) {
		tables.getOrCreatePool(worker.pool).lastStateLossMs = tables.nowMs;
	}
	for (const [key, task] of [...worker.assignedTasks]) {
		worker.release(key);
		tables.addRunningTasks(task.job.submission.team, -1);
		if (task.job.phase !== 'answered') {
			endTask(tables, task.job, task.taskIndex, 'unknown');
		}
	}
	for (const { job, taskIndex } of worker.searchedTasks.values()) {
		if (job.phase !== 'answered' && job.taskStates[taskIndex] === 'searched') {
			endTask(tables, job, taskIndex, 'unknown');
		}
	}
	worker.searchedTasks.clear();
}

/** Counts slots that other entries' tasks occupy as busy for about the mean run time of a task, at least 100 ms. */
function recordForeignTasks(tables: EntryTables, worker: WorkerRow, message: AgentStateMessage): void {
	if (message.knownTasks.length === 0 || worker.pool === undefined) {
		return;
	}
	const { meanRunMs } = tables.getOrCreatePool(worker.pool);
	worker.setForeignTasks(
		message.knownTasks,
		(task) => worker.assignedTasks.has(taskKey(task)),
		tables.nowMs + Math.max(100, meanRunMs),
	);
}
