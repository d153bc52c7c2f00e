/** Tasks that an agent has heard of, by identity, from the first mention until retention ends. */

import type { KnownTaskState, TaskEnd } from '../../protocol/common/agentMessages.js';
import { taskKey, type TaskIdentity } from '../../protocol/common/jobs.js';
import { recipientKey, type LiveTask, type Recipient, type TaskRecord } from './taskRecord.js';

const noRecipients: readonly Recipient[] = [];

/** Copies only the recipient, so that a record does not hold on to the row of a connection. */
function toRecipient({ entryId, incarnation, connectionId }: Recipient): Recipient {
	return { entryId, incarnation, connectionId };
}

function isSameRecipient(left: Recipient, right: Recipient): boolean {
	return left.entryId === right.entryId && left.incarnation === right.incarnation;
}

/**
 * Table of tasks with its indexes: the queue, the running ones, and the ends that each entry has yet to acknowledge.
 *
 * @example
 * const record = tasks.get({ submissionId: 'job-1', taskIndex: 0 });
 */
export class TaskTable {
	private readonly _records = new Map<string, TaskRecord>();
	private readonly _running = new Map<number, TaskRecord>();
	private readonly _unacknowledged = new Map<string, Set<TaskRecord>>();
	/** Ended tasks in the order in which they are forgotten. */
	private readonly _ended = new Set<TaskRecord>();
	private _keptResultBytes = 0;

	/** Tasks that wait for a slot, in order of arrival. */
	queue: TaskRecord[] = [];

	constructor(
		private readonly _retentionMs: number,
		private readonly _maxKeptResultBytes: number,
	) {}

	/** Number of identities that are remembered. */
	get size(): number {
		return this._records.size;
	}

	/** Bytes of results that wait for acknowledgement. */
	get keptResultBytes(): number {
		return this._keptResultBytes;
	}

	/** Tasks that the platform was told to start and that have not ended. */
	get running(): IterableIterator<TaskRecord> {
		return this._running.values();
	}

	get runningCount(): number {
		return this._running.size;
	}

	/** Submissions of which any task is remembered. */
	submissionIds(): string[] {
		return [...new Set([...this._records.values()].map((record) => record.submissionId))];
	}

	get(identity: TaskIdentity): TaskRecord | undefined {
		return this._records.get(taskKey(identity));
	}

	getRun(runId: number): TaskRecord | undefined {
		return this._running.get(runId);
	}

	/** Adds a task at the end of the queue; takes the place of a fenced record of the same identity. */
	enqueue(identity: TaskIdentity, attempt: number, live: LiveTask, recipient: Recipient): TaskRecord {
		const record = this._put(identity, 'queued', attempt);
		record.live = live;
		this.addRecipient(record, recipient);
		this.queue.push(record);
		return record;
	}

	/** Adds the record of a task that was never started here and never will be, up to an attempt. */
	addFenced(identity: TaskIdentity, attempt: number): TaskRecord {
		return this._put(identity, 'queued', attempt);
	}

	/** Moves a task from the queue to the running ones. The caller removes it from {@link queue}. */
	startRunning(record: TaskRecord, live: LiveTask, runId: number, nowMs: number): void {
		record.state = 'running';
		live.runId = runId;
		live.startedAtMs = nowMs;
		this._running.set(runId, record);
	}

	/** Ends a task, and keeps the end for its recipients. The caller removes it from {@link queue}. */
	end(record: TaskRecord, end: TaskEnd, nowMs: number): void {
		const runId = record.live?.runId;
		if (runId !== undefined) {
			this._running.delete(runId);
		}
		record.state = end.state === 'notStarted' ? 'fenced' : end.state;
		record.live = undefined;
		record.end = end;
		// A whole number is held in the record itself, a fraction in an object of its own.
		record.forgetAtMs = Math.ceil(nowMs + this._retentionMs);
		this._ended.add(record);
		this._keptResultBytes += resultBytes(end);
		for (const recipient of record.recipients) {
			this._index(record, recipient);
		}
		if (record.recipients.length === 0) {
			this._dropEnd(record);
		}
		this._boundKeptResults();
	}

	/** Adds an entry that is to be told how the task ended. */
	addRecipient(record: TaskRecord, recipient: Recipient): void {
		const others = record.recipients.filter((known) => !isSameRecipient(known, recipient));
		record.recipients = [...others, toRecipient(recipient)];
		if (record.end !== undefined) {
			this._index(record, recipient);
		}
	}

	/** Forgets the end of a task for one entry, and the result when no other entry waits for it. */
	acknowledge(record: TaskRecord, recipient: Recipient): void {
		if (record.end === undefined) {
			return;
		}
		record.recipients = record.recipients.filter((known) => !isSameRecipient(known, recipient));
		this._unindex(record, recipient);
		if (record.recipients.length === 0) {
			this._dropEnd(record);
		}
	}

	/** Ends that an entry has not acknowledged, oldest first. */
	unacknowledgedOf(recipient: Recipient): Iterable<TaskRecord> {
		return this._unacknowledged.get(recipientKey(recipient)) ?? [];
	}

	/** Tasks that an entry may have to know of: live ones, and ended ones that were not acknowledged. */
	*unsettled(): Generator<TaskRecord> {
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

	/** Forgets tasks whose retention has ended. */
	forgetExpired(nowMs: number): void {
		for (const record of this._ended) {
			if (record.forgetAtMs > nowMs) {
				return;
			}
			this._ended.delete(record);
			this._settle(record);
			this._records.delete(taskKey(record));
		}
	}

	/** When the next task is forgotten; infinite when none is. */
	get nextForgetAtMs(): number {
		const [oldest] = this._ended;
		return oldest?.forgetAtMs ?? Infinity;
	}

	private _put(identity: TaskIdentity, state: KnownTaskState, attempt: number): TaskRecord {
		const key = taskKey(identity);
		const earlier = this._records.get(key);
		// Entries that have not acknowledged the end of an earlier attempt are told that of the later one.
		const recipients = earlier?.recipients ?? noRecipients;
		if (earlier !== undefined) {
			this._ended.delete(earlier);
			this._settle(earlier);
		}
		const record: TaskRecord = {
			// Cut out of the key: the decoder's own string would keep the whole frame that it came in.
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

	private _settle(record: TaskRecord): void {
		for (const recipient of record.recipients) {
			this._unindex(record, recipient);
		}
		this._dropEnd(record);
	}

	private _dropEnd(record: TaskRecord): void {
		if (record.end !== undefined) {
			this._keptResultBytes -= resultBytes(record.end);
		}
		record.end = undefined;
		record.recipients = noRecipients;
	}

	private _index(record: TaskRecord, recipient: Recipient): void {
		const key = recipientKey(recipient);
		const records = this._unacknowledged.get(key) ?? new Set<TaskRecord>();
		records.add(record);
		this._unacknowledged.set(key, records);
	}

	private _unindex(record: TaskRecord, recipient: Recipient): void {
		const key = recipientKey(recipient);
		const records = this._unacknowledged.get(key);
		records?.delete(record);
		if (records?.size === 0) {
			this._unacknowledged.delete(key);
		}
	}

	/** Replaces the oldest kept results by `unknown` until the rest is within the limit. */
	private _boundKeptResults(): void {
		if (this._keptResultBytes <= this._maxKeptResultBytes) {
			return;
		}
		for (const record of this._ended) {
			if (this._keptResultBytes <= this._maxKeptResultBytes) {
				return;
			}
			if (record.end?.state === 'done') {
				this._keptResultBytes -= resultBytes(record.end);
				record.end = { state: 'unknown', message: droppedResultMessage };
			}
		}
	}
}

/** Message of a task whose result no longer is held. */
export const droppedResultMessage =
	'The task has ended at this agent, and its result is no longer held; give a shorter wait or smaller results.';

function resultBytes(end: TaskEnd): number {
	return end.state === 'done' ? end.resultJson.length : 0;
}
