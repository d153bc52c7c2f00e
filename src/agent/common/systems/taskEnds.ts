/** Ends of tasks, as all systems record them. */

import type { NotStartedReason, TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { TaskIdentity } from '../../../protocol/common/jobs.js';
import type { AgentTick, EntryRow } from '../agentTables.js';
import type { TaskRecord } from '../taskRecord.js';

/** Every attempt of a task. */
export const everyAttempt = Number.MAX_SAFE_INTEGER;

/**
 * Records for fences that are kept free beside the limit for starts: refusing a start needs a record too, or the
 * refused start could still run when it comes again.
 */
const fenceRoomFactor = 2;

const noRoomToFenceMessage =
	'The agent remembers as many tasks as it may, so it cannot promise that the task never starts.';

/** The identity of a record, without the rest of it. */
export function identityOf({ submissionId, taskIndex }: TaskIdentity): TaskIdentity {
	return { submissionId, taskIndex };
}

/** The end of a task that never started and never will under attempts up to the record's. */
export function notStartedEnd(record: TaskRecord, reason: NotStartedReason): TaskEnd {
	return record.attempt === everyAttempt
		? { state: 'notStarted', reason }
		: { state: 'notStarted', reason, attempt: record.attempt };
}

/** Ends a task; its recipients are told in this tick's frames. The caller drops it from the queue. */
export function endTask(tick: AgentTick, record: TaskRecord, end: TaskEnd): void {
	tick.tables.tasks.end(record, end, tick.nowMs);
	tick.ended.add(record);
}

/**
 * Records that a task never starts here, up to an attempt, and tells the asker so. Without room for the record,
 * nothing is promised: the answer is `unknown`.
 */
export function fenceTask(
	tick: AgentTick,
	entry: EntryRow,
	identity: TaskIdentity,
	attempt: number,
	reason: NotStartedReason,
): void {
	const { tasks, options } = tick.tables;
	const isFull = tasks.size >= options.maxRememberedTasks * fenceRoomFactor;
	if (isFull && tasks.get(identity) === undefined) {
		const end = { state: 'unknown', message: noRoomToFenceMessage } as const;
		tick.reply(entry.connectionId, { ...identityOf(identity), end });
		return;
	}
	const record = tasks.addFenced(identity, attempt);
	tasks.addRecipient(record, entry);
	endTask(tick, record, notStartedEnd(record, reason));
}

/** Ends every queued task for which a reason is found. */
export function endQueued(
	tick: AgentTick,
	reasonOf: (record: TaskRecord) => NotStartedReason | undefined,
): void {
	const { tasks } = tick.tables;
	if (tasks.queue.length === 0) {
		return;
	}
	tasks.queue = tasks.queue.filter((record) => {
		const reason = reasonOf(record);
		if (reason !== undefined) {
			endTask(tick, record, notStartedEnd(record, reason));
		}
		return reason === undefined;
	});
}

/** Asks the platform to stop a running task; a second call does nothing. */
export function stopRunning(tick: AgentTick, record: TaskRecord, message: string): void {
	const { live } = record;
	if (live?.runId === undefined || live.stopAskedAtMs !== undefined) {
		return;
	}
	live.stopAskedAtMs = tick.nowMs;
	live.stopMessage = message;
	tick.outputs.push({ kind: 'stopRun', runId: live.runId });
}

/** Time for which a running task has run. */
export function runMsOf(tick: AgentTick, record: TaskRecord): number {
	const startedAtMs = record.live?.startedAtMs ?? tick.nowMs;
	return Math.round((tick.nowMs - startedAtMs) * 1000) / 1000;
}
