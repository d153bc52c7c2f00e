/** Table of the tasks that an agent knows, from the first message about each until its retention ends. */

import type { KnownTaskState, TaskEnd } from '../../protocol/common/agentMessages.js';
import { taskKey, type TaskIdentity } from '../../protocol/common/jobs.js';
import { recipientKey, type LiveTask, type Recipient, type TaskRecord } from './taskRecord.js';

const noRecipients: readonly Recipient[] = [];

/** Copies the fields of a recipient, so that a record does not keep the row of a closed connection in memory. */
function copyRecipient({ entryId, incarnation, connectionId }: Recipient): Recipient {
	return { entryId, incarnation, connectionId };
}

function isSameRecipient(left: Recipient, right: Recipient): boolean {
	return left.entryId === right.entryId && left.incarnation === right.incarnation;
}

/**
 * Table of tasks by identity, with indexes of the queued and running tasks and of each entry's unacknowledged ends.
 *
 * @example
 * const record = tasks.get({ submissionId: 'job-1', taskIndex: 0 });
 */
export class TaskTable {
	private readonly _records = new Map<string, TaskRecord>();
	/** Running tasks by run identifier. */
	private readonly _running = new Map<number, TaskRecord>();
	/** Ended tasks that a recipient has not acknowledged, by its key. */
	private readonly _unacknowledged = new Map<string, Set<TaskRecord>>();
	/** Ended tasks, in the order in which they are to be forgotten. */
	private readonly _ended = new Set<TaskRecord>();
	private _keptResultBytes = 0;

	/** Tasks that wait for a slot, in order of arrival. */
	queue: TaskRecord[] = [];

	constructor(
		private readonly _retentionMs: number,
		private readonly _maxKeptResultBytes: number,
	) {}

	/** Number of tasks whose identity is remembered. */
	get size(): number {
		return this._records.size;
	}

	/** Size of the results that are kept until they are acknowledged, in UTF-16 code units. */
	get keptResultBytes(): number {
		return this._keptResultBytes;
	}

	/** Tasks that the platform was asked to start and that have not ended. */
	get running(): IterableIterator<TaskRecord> {
		return this._running.values();
	}

	get runningCount(): number {
		return this._running.size;
	}

	/** Returns the submissions of which any task is remembered. */
	listSubmissionIds(): string[] {
		return [...new Set([...this._records.values()].map((record) => record.submissionId))];
	}

	get(identity: TaskIdentity): TaskRecord | undefined {
		return this._records.get(taskKey(identity));
	}

	getByRunId(runId: number): TaskRecord | undefined {
		return this._running.get(runId);
	}

	/** Appends a task to the queue; replaces a fenced record of the same identity. */
	enqueue(identity: TaskIdentity, attempt: number, live: LiveTask, recipient: Recipient): TaskRecord {
		const record = this._replaceRecord(identity, 'queued', attempt);
		record.live = live;
		this.addRecipient(record, recipient);
		this.queue.push(record);
		return record;
	}

	/** Adds the record of a task that has never started here and never will under attempts up to the given one. */
	addFenced(identity: TaskIdentity, attempt: number): TaskRecord {
		return this._replaceRecord(identity, 'queued', attempt);
	}

	/** Marks a queued task as running. The caller removes it from {@link queue}. */
	startRunning(record: TaskRecord, live: LiveTask, runId: number, nowMs: number): void {
		record.state = 'running';
		live.runId = runId;
		live.startedAtMs = nowMs;
		this._running.set(runId, record);
	}

	/** Records the end of a task, and keeps it for the recipients. The caller removes the task from {@link queue}. */
	recordEnd(record: TaskRecord, end: TaskEnd, nowMs: number): void {
		const runId = record.live?.runId;
		if (runId !== undefined) {
			this._running.delete(runId);
		}
		record.state = end.state === 'notStarted' ? 'fenced' : end.state;
		record.live = undefined;
		record.end = end;
		// Rounded, since the engine stores an integer in the record itself, but a fraction in a separate heap object.
		record.forgetAtMs = Math.ceil(nowMs + this._retentionMs);
		this._ended.add(record);
		this._keptResultBytes += resultBytes(end);
		for (const recipient of record.recipients) {
			this._addUnacknowledged(record, recipient);
		}
		if (record.recipients.length === 0) {
			this._discardEnd(record);
		}
		this._evictOldestResults();
	}

	/** Adds an entry that is to receive the end of a task. */
	addRecipient(record: TaskRecord, recipient: Recipient): void {
		const others = record.recipients.filter((known) => !isSameRecipient(known, recipient));
		record.recipients = [...others, copyRecipient(recipient)];
		if (record.end !== undefined) {
			this._addUnacknowledged(record, recipient);
		}
	}

	/** Records that an entry has received the end of a task; discards the end when no other entry waits for it. */
	acknowledge(record: TaskRecord, recipient: Recipient): void {
		if (record.end === undefined) {
			return;
		}
		record.recipients = record.recipients.filter((known) => !isSameRecipient(known, recipient));
		this._removeUnacknowledged(record, recipient);
		if (record.recipients.length === 0) {
			this._discardEnd(record);
		}
	}

	/** Returns the ended tasks that an entry has not acknowledged, oldest first. */
	getUnacknowledged(recipient: Recipient): Iterable<TaskRecord> {
		return this._unacknowledged.get(recipientKey(recipient)) ?? [];
	}

	/** Yields the tasks that an entry may have to take over: queued, running, and ended but not acknowledged. */
	*unfinishedOrUnacknowledged(): Generator<TaskRecord> {
		yield* this.queue;
		yield* this.running;
		const seen = new Set<TaskRecord>();
		for (const records of this._unacknowledged.values()) {
			for (const record of records) {
				if (!seen.has(record)) {
					seen.add(record);
					yield record;
				}
			}
		}
	}

	/** Removes the tasks whose retention has ended. */
	forgetExpired(nowMs: number): void {
		for (const record of this._ended) {
			if (record.forgetAtMs > nowMs) {
				return;
			}
			this._ended.delete(record);
			this._clearRecipients(record);
			this._records.delete(taskKey(record));
		}
	}

	/** Time at which the next task may be forgotten; infinite when none is to be. */
	get nextForgetAtMs(): number {
		const [oldest] = this._ended;
		return oldest?.forgetAtMs ?? Infinity;
	}

	private _replaceRecord(identity: TaskIdentity, state: KnownTaskState, attempt: number): TaskRecord {
		const key = taskKey(identity);
		const earlier = this._records.get(key);
		// Entries that have not acknowledged the end of an earlier attempt receive the end of the later one.
		const recipients = earlier?.recipients ?? noRecipients;
		if (earlier !== undefined) {
			this._ended.delete(earlier);
			this._clearRecipients(earlier);
		}
		const record: TaskRecord = {
			// Sliced from the key: the decoder's string would keep the whole received frame in memory.
			submissionId: key.slice(0, identity.submissionId.length),
			taskIndex: identity.taskIndex,
			state,
			attempt,
			live: undefined,
			end: undefined,
			recipients,
			forgetAtMs: 0,
		};
		this._records.set(key, record);
		return record;
	}

	private _clearRecipients(record: TaskRecord): void {
		for (const recipient of record.recipients) {
			this._removeUnacknowledged(record, recipient);
		}
		this._discardEnd(record);
	}

	private _discardEnd(record: TaskRecord): void {
		if (record.end !== undefined) {
			this._keptResultBytes -= resultBytes(record.end);
		}
		record.end = undefined;
		record.recipients = noRecipients;
	}

	private _addUnacknowledged(record: TaskRecord, recipient: Recipient): void {
		const key = recipientKey(recipient);
		const records = this._unacknowledged.get(key) ?? new Set<TaskRecord>();
		records.add(record);
		this._unacknowledged.set(key, records);
	}

	private _removeUnacknowledged(record: TaskRecord, recipient: Recipient): void {
		const key = recipientKey(recipient);
		const records = this._unacknowledged.get(key);
		records?.delete(record);
		if (records?.size === 0) {
			this._unacknowledged.delete(key);
		}
	}

	/** Replaces the oldest kept results by `unknown` until the rest is within the limit. */
	private _evictOldestResults(): void {
		if (this._keptResultBytes <= this._maxKeptResultBytes) {
			return;
		}
		for (const record of this._ended) {
			if (this._keptResultBytes <= this._maxKeptResultBytes) {
				return;
			}
			if (record.end?.state === 'done') {
				this._keptResultBytes -= resultBytes(record.end);
				record.end = { state: 'unknown', message: evictedResultMessage };
			}
		}
	}
}

/** Message of a task whose result was discarded before it was acknowledged, to keep within the limit. */
export const evictedResultMessage =
	'The task has ended at this agent, and its result is no longer held; give a shorter wait or smaller results.';

/** Returns the size of a result in UTF-16 code units, which equals bytes only for ASCII text. */
function resultBytes(end: TaskEnd): number {
	return end.state === 'done' ? end.resultJson.length : 0;
}
