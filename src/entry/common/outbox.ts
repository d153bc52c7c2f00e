/** Collects what a tick sends, so that each peer gets at most one frame of a kind a tick. */

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

/** What the sender's tables were when a frame was made. */
export interface TablesStamp {
	readonly revision: number;
	readonly epoch: number;
	/** Greatest possible age; a whole, finite number. */
	readonly ageMs: number;
}

/** One task to start. */
export interface OutgoingStart {
	readonly taskIndex: number;
	readonly attempt: number;
	/** Entry that the agent answers besides this one; the same for all tasks of a job in a tick. */
	readonly answerTo: EntryRun | undefined;
}

/** Everything for one session in one tick. */
class SessionOutbox {
	readonly starts = new Map<JobRow, StartBatch & { readonly tasks: TaskStart[] }>();
	readonly cancels: TaskIdentity[] = [];
	/** Questions by the attempt up to which they fence: a fence that holds further would refuse this entry's next start. */
	readonly fences = new Map<number, TaskIdentity[]>();
	readonly acknowledgements: TaskIdentity[] = [];
	/** Pool that this entry is the home of, to be told to the agent. */
	assumedPool: string | undefined;
	readonly relayedJobs: JobSubmission[] = [];
	readonly relayedAnswers: RelayAnswer[] = [];
	readonly relayedCancels: string[] = [];
	readonly cancelledJobIds: string[] = [];
	readonly others: EntryToEntryMessage[] = [];
}

/** Outgoing messages of the present tick, by session. */
export class Outbox {
	private readonly _sessions = new Map<number, SessionOutbox>();

	constructor(private readonly _stats: EntryStats) {}

	/** The collection for one session. */
	to(sessionId: number): SessionOutbox {
		let session = this._sessions.get(sessionId);
		if (session === undefined) {
			session = new SessionOutbox();
			this._sessions.set(sessionId, session);
		}
		return session;
	}

	/** Asks about a task, and fences it up to an attempt. */
	fence(sessionId: number, identity: TaskIdentity, attempt: number): void {
		const { fences } = this.to(sessionId);
		const tasks = fences.get(attempt) ?? [];
		tasks.push(identity);
		fences.set(attempt, tasks);
	}

	/** Adds a task to the start frame of a session. */
	start(
		sessionId: number,
		job: JobRow,
		{ taskIndex, attempt, answerTo }: OutgoingStart,
		nowMs: number,
	): void {
		const { starts } = this.to(sessionId);
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

	/** Turns the collections into frames and empties them. */
	flush(stamp: TablesStamp, frames: OutgoingFrame[]): void {
		for (const [sessionId, session] of this._sessions) {
			for (const message of this._messagesOf(session, stamp)) {
				frames.push({ sessionId, message });
			}
		}
		this._sessions.clear();
	}

	private _messagesOf(
		session: SessionOutbox,
		stamp: TablesStamp,
	): (EntryToAgentMessage | EntryToEntryMessage)[] {
		return [...this._agentMessagesOf(session, stamp), ...this._entryMessagesOf(session, stamp)];
	}

	/** Questions go before starts, so that an agent has fenced a task before another start can follow. */
	private _agentMessagesOf(
		session: SessionOutbox,
		{ revision, epoch, ageMs }: TablesStamp,
	): EntryToAgentMessage[] {
		const stats = this._stats;
		const messages: EntryToAgentMessage[] = [];
		if (session.assumedPool !== undefined) {
			stats.countWasted('assumptions', 1);
			messages.push({ kind: 'assumeHome', revision, epoch, pool: session.assumedPool });
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

	private _entryMessagesOf(session: SessionOutbox, { revision, epoch }: TablesStamp): EntryToEntryMessage[] {
		const messages: EntryToEntryMessage[] = [...session.others];
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
