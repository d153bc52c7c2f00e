/** Follows the connections to agents: what they offer, and what becomes of tasks when a connection breaks. */

import type { AgentStateMessage } from '../../../protocol/common/agentMessages.js';
import { taskKey } from '../../../protocol/common/jobs.js';
import type { EntryTables } from '../entryTables.js';
import { endTask } from '../jobLife.js';
import { assumeHome, repeatSearches } from './searchSystem.js';
import type { EntryOutputs } from '../tickTypes.js';
import type { WorkerRow } from '../workerRow.js';

/** Time for which a lost worker is remembered, so that a new home knows what it has not heard. */
const lostWorkerMemoryMs = 60_000;

/** Takes account of a connection that is gone. Tasks on it are in doubt until their agent is asked again. */
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
	const worker = tables.workers.get(peer.processId);
	if (worker?.sessionId !== sessionId) {
		return;
	}
	worker.lose(tables.nowMs);
	markInDoubt(worker);
	outputs.events.push({
		level: 'info',
		event: 'worker.lost',
		fields: { worker: worker.processId, tasksInDoubt: worker.assigned.size },
	});
}

/** Takes account of what an agent says about itself. */
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
	const worker = currentRun(tables, peer.processId, peer.incarnation);
	const isFirst = worker.sessionId !== sessionId;
	if (isFirst && worker.sessionId !== undefined && worker.sessionId > sessionId) {
		return;
	}
	worker.describe(message);
	worker.setDrained(tables.control.tables.drains.some((row) => row.name === worker.processId));
	noteForeignTasks(tables, worker, message);
	if (isFirst) {
		openWorkerSession(tables, worker, sessionId, outputs);
	}
	assumeHome(tables, worker);
}

/** Forgets workers that were lost long ago and hold nothing. */
export function forgetLostWorkers(tables: EntryTables): void {
	for (const worker of tables.workers.values()) {
		const isOld = worker.lostAtMs !== undefined && tables.nowMs - worker.lostAtMs > lostWorkerMemoryMs;
		if (!isOld || worker.sessionId !== undefined) {
			continue;
		}
		loseRun(tables, worker);
		tables.workers.delete(worker.processId);
		for (const route of tables.routes.values()) {
			route.forgetWorker(worker.processId);
		}
	}
}

/** The row of an agent's present run. What an earlier run held can't be told any more. */
function currentRun(tables: EntryTables, processId: string, incarnation: string): WorkerRow {
	const known = tables.workers.get(processId);
	if (known?.incarnation === incarnation) {
		return known;
	}
	if (known !== undefined) {
		loseRun(tables, known);
	}
	return tables.workers.add(processId, incarnation);
}

/** Asks an agent about every task that was sent on an earlier connection. */
function openWorkerSession(
	tables: EntryTables,
	worker: WorkerRow,
	sessionId: number,
	outputs: EntryOutputs,
): void {
	worker.open(sessionId);
	markInDoubt(worker);
	outputs.events.push({
		level: 'info',
		event: 'worker.connected',
		fields: { worker: worker.processId, pool: worker.pool, tasksInDoubt: worker.assigned.size },
	});
	for (const { submissionId, taskIndex, job, attempt } of worker.assigned.values()) {
		tables.outbox.fence(sessionId, { submissionId, taskIndex }, attempt);
		if (job.phase === 'answered' || job.stop !== undefined) {
			tables.outbox.to(sessionId).cancels.push({ submissionId, taskIndex });
		}
	}
	repeatSearches(tables, worker);
}

function markInDoubt(worker: WorkerRow): void {
	for (const task of worker.assigned.values()) {
		if (task.job.states[task.taskIndex] === 'sent') {
			task.job.states[task.taskIndex] = 'inDoubt';
		}
	}
}

/** Ends every task of a worker's run, and every question to it, as unknown. */
function loseRun(tables: EntryTables, worker: WorkerRow): void {
	if (worker.pool !== undefined) {
		tables.poolOf(worker.pool).lastLossMs = tables.nowMs;
	}
	for (const [key, task] of [...worker.assigned]) {
		worker.release(key);
		tables.addRunning(task.job.submission.team, -1);
		if (task.job.phase !== 'answered') {
			endTask(tables, task.job, task.taskIndex, 'unknown');
		}
	}
	for (const { job, taskIndex } of worker.searched.values()) {
		if (job.phase !== 'answered' && job.states[taskIndex] === 'searched') {
			endTask(tables, job, taskIndex, 'unknown');
		}
	}
	worker.searched.clear();
}

/** Slots that other entries' tasks take count as busy for about as long as a task runs. */
function noteForeignTasks(tables: EntryTables, worker: WorkerRow, message: AgentStateMessage): void {
	if (message.knownTasks.length === 0 || worker.pool === undefined) {
		return;
	}
	const { meanRunMs } = tables.poolOf(worker.pool);
	worker.noteForeign(
		message.knownTasks,
		(task) => worker.assigned.has(taskKey(task)),
		tables.nowMs + Math.max(100, meanRunMs),
	);
}
