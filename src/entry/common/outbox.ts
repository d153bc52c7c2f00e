/** Collects the messages of a tick, so that each session gets at most one frame of most kinds per tick. */

import type {
	EntryRun,
	EntryToAgentMessage,
	StartBatch,
	TaskStart,
} from '../../protocol/common/agentMessages.js';
import type { EntryToEntryMessage, RelayAnswer } from '../../protocol/common/entryMessages.js';
import type { JobSubmission, TaskIdentity } from '../../protocol/common/jobs.js';
import type { EntryStats } from './entryStats.js';
import type { JobRow } from './jobRow.js';
import type { OutgoingFrame } from './tickTypes.js';

/** Versions and age of the sender's tables when a frame is built. */
export interface TablesStamp {
	readonly revision: number;
	readonly epoch: number;
	/** Upper bound of the tables' age; a finite integer. */
	readonly ageMs: number;
}

/** One task to start. */
export interface OutgoingStart {
	readonly taskIndex: number;
	readonly attempt: number;
	/** Entry that the agent answers in addition to this one; the same for all tasks of a job within a tick. */
	readonly answerTo: EntryRun | undefined;
}

/** Outgoing messages for one session in the current tick. */
class SessionOutbox {
	readonly starts = new Map<JobRow, StartBatch & { readonly tasks: TaskStart[] }>();
	readonly cancels: TaskIdentity[] = [];
	/**
	 * Queries about tasks, by the attempt up to which they fence the tasks. A fence beyond that attempt would make the
	 * agent refuse this entry's next start.
	 */
	readonly fences = new Map<number, TaskIdentity[]>();
	readonly acknowledgements: TaskIdentity[] = [];
	/** Pool of which this entry is announced to the agent as the home. */
	assumedHomePool: string | undefined;
	readonly relayedJobs: JobSubmission[] = [];
	readonly relayedAnswers: RelayAnswer[] = [];
	readonly relayedCancels: string[] = [];
	readonly cancelledJobIds: string[] = [];
	readonly otherEntryMessages: EntryToEntryMessage[] = [];
}

/** Outgoing messages of the current tick, by session. */
export class Outbox {
	private readonly _sessions = new Map<number, SessionOutbox>();

	constructor(private readonly _stats: EntryStats) {}

	/** Returns the outgoing messages for one session. */
	forSession(sessionId: number): SessionOutbox {
		let session = this._sessions.get(sessionId);
		if (session === undefined) {
			session = new SessionOutbox();
			this._sessions.set(sessionId, session);
		}
		return session;
	}

	/** Adds a fence message for a task: it asks for the outcome, and fences the task up to an attempt. */
	addFence(sessionId: number, identity: TaskIdentity, attempt: number): void {
		const { fences } = this.forSession(sessionId);
		const tasks = fences.get(attempt) ?? [];
		tasks.push(identity);
		fences.set(attempt, tasks);
	}

	/** Adds a task to the start frame for a session. */
	addStart(
		sessionId: number,
		job: JobRow,
		{ taskIndex, attempt, answerTo }: OutgoingStart,
		nowMs: number,
	): void {
		const { starts } = this.forSession(sessionId);
		let batch = starts.get(job);
		if (batch === undefined) {
			const { submissionId, route, team, needs } = job.submission;
			const remainingMs = Math.max(0, Math.round(job.deadlineMs - nowMs));
			batch = {
				submissionId,
				route,
				team,
				needs,
				startWithinMs: remainingMs,
				leaseMs: remainingMs,
				...(answerTo === undefined ? {} : { answerTo }),
				tasks: [],
			};
			starts.set(job, batch);
		}
		const payloadJson = job.submission.payloadsJson[taskIndex] ?? 'null';
		batch.tasks.push(attempt === 0 ? { taskIndex, payloadJson } : { taskIndex, payloadJson, attempt });
	}

	/** Appends the collected messages to `frames` and clears the outbox. */
	flush(stamp: TablesStamp, frames: OutgoingFrame[]): void {
		for (const [sessionId, session] of this._sessions) {
			for (const message of this._buildMessages(session, stamp)) {
				frames.push({ sessionId, message });
			}
		}
		this._sessions.clear();
	}

	private _buildMessages(
		session: SessionOutbox,
		stamp: TablesStamp,
	): (EntryToAgentMessage | EntryToEntryMessage)[] {
		return [...this._buildAgentMessages(session, stamp), ...this._buildEntryMessages(session, stamp)];
	}

	/** Builds the messages for an agent. Fences precede starts, so that a task is fenced before its next start arrives. */
	private _buildAgentMessages(
		session: SessionOutbox,
		{ revision, epoch, ageMs }: TablesStamp,
	): EntryToAgentMessage[] {
		const stats = this._stats;
		const messages: EntryToAgentMessage[] = [];
		if (session.assumedHomePool !== undefined) {
			stats.countWasted('assumptions', 1);
			messages.push({ kind: 'assumeHome', revision, epoch, pool: session.assumedHomePool });
		}
		for (const [attempt, tasks] of session.fences) {
			stats.countWasted('fences', tasks.length);
			messages.push({ kind: 'fenceTasks', revision, epoch, attempt, tasks });
		}
		if (session.cancels.length > 0) {
			stats.countWasted('cancels', session.cancels.length);
			messages.push({ kind: 'cancelTasks', revision, tasks: session.cancels });
		}
		if (session.acknowledgements.length > 0) {
			stats.countWasted('acknowledgements', session.acknowledgements.length);
			messages.push({ kind: 'acknowledgeOutcomes', revision, tasks: session.acknowledgements });
		}
		if (session.starts.size > 0) {
			stats.startFrames += 1;
			messages.push({ kind: 'startTasks', revision, epoch, ageMs, batches: [...session.starts.values()] });
		}
		return messages;
	}

	private _buildEntryMessages(
		session: SessionOutbox,
		{ revision, epoch }: TablesStamp,
	): EntryToEntryMessage[] {
		const messages: EntryToEntryMessage[] = [...session.otherEntryMessages];
		if (session.relayedJobs.length > 0) {
			this._stats.relayedJobs += session.relayedJobs.length;
			messages.push({ kind: 'relayJobs', revision, epoch, jobs: session.relayedJobs });
		}
		if (session.relayedAnswers.length > 0) {
			this._stats.relayedAnswers += session.relayedAnswers.length;
			messages.push({ kind: 'relayAnswers', revision, answers: session.relayedAnswers });
		}
		if (session.relayedCancels.length > 0) {
			this._stats.countWasted('cancels', session.relayedCancels.length);
			messages.push({ kind: 'relayCancel', revision, submissionIds: session.relayedCancels });
		}
		if (session.cancelledJobIds.length > 0) {
			this._stats.countWasted('cancels', session.cancelledJobIds.length);
			messages.push({ kind: 'cancelJobs', revision, jobIds: session.cancelledJobIds });
		}
		return messages;
	}
}
