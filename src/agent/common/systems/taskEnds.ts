/** Functions by which all systems end, fence and stop tasks. */

import type { NotStartedReason, TaskEnd } from '../../../protocol/common/agentMessages.js';
import type { TaskIdentity } from '../../../protocol/common/jobs.js';
import type { AgentTick, EntryRow } from '../agentTables.js';
import type { TaskRecord } from '../taskRecord.js';

/** Attempt number that covers every attempt of a task. */
export const allAttempts = Number.MAX_SAFE_INTEGER;

/**
 * Limit of all records, as a multiple of the limit for starts. The difference is reserved for fences: a refused start
 * needs a record too, or it could still run when it arrives again.
 */
const maxRecordsFactor = 2;

const fenceLimitMessage =
	'The agent remembers as many tasks as it may, so it cannot promise that the task never starts.';

/** Returns only the identity of a record. */
export function toIdentity({ submissionId, taskIndex }: TaskIdentity): TaskIdentity {
	return { submissionId, taskIndex };
}

/** Returns the end of a task that has never started and never will under attempts up to the record's. */
export function toNotStartedEnd(record: TaskRecord, reason: NotStartedReason): TaskEnd {
	return record.attempt === allAttempts
		? { state: 'notStarted', reason }
		: { state: 'notStarted', reason, attempt: record.attempt };
}

/** Ends a task and schedules its end for sending in this tick. The caller removes the task from the queue. */
export function endTask(tick: AgentTick, record: TaskRecord, end: TaskEnd): void {
	tick.tables.tasks.recordEnd(record, end, tick.nowMs);
	tick.endedTasks.add(record);
}

/**
 * Records that a task must never start here under attempts up to the given one, and replies `notStarted` to the entry.
 * At the limit of records nothing can be guaranteed, so the reply is `unknown`.
 */
export function fenceTask(
	tick: AgentTick,
	entry: EntryRow,
	identity: TaskIdentity,
	attempt: number,
	reason: NotStartedReason,
): void {
	const { tasks, options } = tick.tables;
	const isFull = tasks.size >= options.maxRememberedTasks * maxRecordsFactor;
	if (isFull && tasks.get(identity) === undefined) {
		const end = { state: 'unknown', message: fenceLimitMessage } as const;
		tick.addOutcome(entry.connectionId, { ...toIdentity(identity), end });
		return;
	}
	const record = tasks.addFenced(identity, attempt);
	tasks.addRecipient(record, entry);
	endTask(tick, record, toNotStartedEnd(record, reason));
}

/** Ends every queued task for which `findReason` returns a reason. */
export function endQueued(
	tick: AgentTick,
	findReason: (record: TaskRecord) => NotStartedReason | undefined,
): void {
	const { tasks } = tick.tables;
	if (tasks.queue.length === 0) {
		return;
	}
	tasks.queue = tasks.queue.filter((record) => {
		const reason = findReason(record);
		if (reason !== undefined) {
			endTask(tick, record, toNotStartedEnd(record, reason));
		}
		return reason === undefined;
	});
}

/** Asks the platform to stop a running task. Does nothing if it isn't running or was asked to stop before. */
export function requestStop(tick: AgentTick, record: TaskRecord, message: string): void {
	const { live } = record;
	if (live?.runId === undefined || live.stopRequestedAtMs !== undefined) {
		return;
	}
	live.stopRequestedAtMs = tick.nowMs;
	live.stopMessage = message;
	tick.outputs.push({ kind: 'stopRun', runId: live.runId });
}

/** Returns the time for which a task has been running, in milliseconds, rounded to microseconds. */
export function runDurationMs(tick: AgentTick, record: TaskRecord): number {
	const startedAtMs = record.live?.startedAtMs ?? tick.nowMs;
	return Math.round((tick.nowMs - startedAtMs) * 1000) / 1000;
}
