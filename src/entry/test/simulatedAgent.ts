/** An agent's promises in small: starts once, fences, remembers, refuses older epochs. */

import type {
	EntryRun,
	EntryToAgentMessage,
	KnownSubmissionsMessage,
	NotStartedReason,
	TaskEnd,
	TaskOutcome,
} from '../../protocol/common/agentMessages.js';
import { taskKey, type TaskIdentity } from '../../protocol/common/jobs.js';

interface Record {
	readonly identity: TaskIdentity;
	state: 'queued' | 'running' | 'ended' | 'fenced';
	attempt: number;
	payloadJson: string;
	end: TaskEnd | undefined;
	/** Sessions that hear of the end. */
	readonly recipients: Set<number>;
	session: number;
	readonly answerTo: EntryRun | undefined;
}

/** What an agent needs from its surroundings. */
export interface SimulatedAgentHost {
	/** Called once for each task that the upstream is given. */
	started(identity: TaskIdentity): void;
	/** Lets the end of a task come later. */
	endLater(finish: () => void): void;
	tell(session: number, message: KnownSubmissionsMessage): void;
	reply(session: number, outcomes: readonly TaskOutcome[]): void;
	endOf(identity: TaskIdentity, payloadJson: string): TaskEnd;
}

const everyAttempt = Number.MAX_SAFE_INTEGER;
const maxQueued = 8;

/** One run of an agent. */
export class SimulatedAgent {
	epoch = 0;
	isGone = false;
	readonly sessions = new Map<number, EntryRun>();
	private readonly _records = new Map<string, Record>();
	private _running = 0;

	constructor(
		readonly slots: number,
		private readonly _host: SimulatedAgentHost,
	) {}

	/** A connection has ended: tasks that came on it and still wait are not started any more. */
	close(session: number): void {
		this.sessions.delete(session);
		for (const record of this._records.values()) {
			if (record.state === 'queued' && record.session === session) {
				this._end(record, { state: 'notStarted', reason: 'connectionLost' });
			}
		}
	}

	receive(session: number, message: EntryToAgentMessage): void {
		if (this.isGone || !this.sessions.has(session)) {
			return;
		}
		if (message.kind === 'startTasks') {
			const isOlder = message.epoch < this.epoch;
			this.epoch = Math.max(this.epoch, message.epoch);
			for (const { submissionId, tasks, answerTo } of message.batches) {
				for (const { taskIndex, payloadJson, attempt } of tasks) {
					const identity = { submissionId, taskIndex };
					const refusal = isOlder ? 'olderEpoch' : undefined;
					this._start(session, identity, attempt ?? 0, payloadJson, refusal, answerTo);
				}
			}
		}
		if (message.kind === 'assumeHome') {
			this.epoch = Math.max(this.epoch, message.epoch);
			const submissionIds = [...this._records.values()].map(({ identity }) => identity.submissionId);
			this._host.tell(session, { ...message, kind: 'knownSubmissions', submissionIds });
		}
		if (message.kind === 'fenceTasks') {
			this.epoch = Math.max(this.epoch, message.epoch);
			for (const identity of message.tasks) {
				this._fence(session, identity, message.attempt ?? everyAttempt, 'fenced');
			}
		}
		if (message.kind === 'cancelTasks') {
			for (const identity of message.tasks) {
				this._cancel(session, identity);
			}
		}
	}

	private _start(
		session: number,
		identity: TaskIdentity,
		attempt: number,
		payloadJson: string,
		refusal: NotStartedReason | undefined,
		answerTo: EntryRun | undefined,
	): void {
		const known = this._records.get(taskKey(identity));
		if (known !== undefined && !(known.state === 'fenced' && attempt > known.attempt)) {
			this._answer(session, known);
			return;
		}
		const waiting = [...this._records.values()].filter((record) => record.state === 'queued').length;
		const reason = refusal ?? (waiting >= maxQueued ? 'queueFull' : undefined);
		if (reason !== undefined) {
			this._fence(session, identity, attempt, reason);
			return;
		}
		this._records.set(taskKey(identity), {
			identity,
			state: 'queued',
			attempt,
			payloadJson,
			end: undefined,
			recipients: new Set([session]),
			session,
			answerTo,
		});
		this._run();
	}

	private _fence(session: number, identity: TaskIdentity, attempt: number, reason: NotStartedReason): void {
		const known = this._records.get(taskKey(identity));
		if (known === undefined || known.state === 'fenced') {
			this._records.set(taskKey(identity), {
				identity,
				state: 'fenced',
				attempt: Math.max(attempt, known?.attempt ?? 0),
				payloadJson: '',
				end: undefined,
				recipients: new Set(),
				session,
				answerTo: undefined,
			});
			this._host.reply(session, [{ ...identity, end: { state: 'notStarted', reason } }]);
			return;
		}
		if (known.state === 'queued' && known.attempt <= attempt) {
			known.attempt = attempt;
			known.recipients.add(session);
			this._end(known, { state: 'notStarted', reason: 'fenced' });
			return;
		}
		this._answer(session, known);
	}

	private _cancel(session: number, identity: TaskIdentity): void {
		const known = this._records.get(taskKey(identity));
		if (known === undefined) {
			this._fence(session, identity, everyAttempt, 'cancelled');
		} else if (known.state === 'queued') {
			known.attempt = everyAttempt;
			this._end(known, { state: 'notStarted', reason: 'cancelled' });
		} else if (known.state === 'running') {
			this._running -= 1;
			this._end(known, { state: 'stopped', message: 'cancelled', runMs: 1 });
			this._run();
		}
	}

	private _answer(session: number, record: Record): void {
		if (record.state === 'queued' || record.state === 'running') {
			record.recipients.add(session);
			return;
		}
		const end = record.end ?? { state: 'notStarted', reason: 'fenced' };
		this._host.reply(session, [{ ...record.identity, end }]);
	}

	private _run(): void {
		for (const record of this._records.values()) {
			if (this._running >= this.slots) {
				return;
			}
			if (record.state !== 'queued') {
				continue;
			}
			record.state = 'running';
			this._running += 1;
			this._host.started(record.identity);
			this._host.endLater(() => {
				if (!this.isGone && record.state === 'running') {
					this._running -= 1;
					this._end(record, this._host.endOf(record.identity, record.payloadJson));
					this._run();
				}
			});
		}
	}

	private _end(record: Record, end: TaskEnd): void {
		record.state = end.state === 'notStarted' ? 'fenced' : 'ended';
		record.end = end.state === 'notStarted' ? undefined : end;
		const answeredEntry = end.state === 'done' ? this._answerDirectly(record, end) : undefined;
		for (const session of record.recipients) {
			this._host.reply(session, [{ ...record.identity, end, answeredEntry }]);
		}
		record.recipients.clear();
	}

	/** Answers the entry that the reader waits at; the newest of its connections counts. */
	private _answerDirectly({ answerTo, identity, recipients }: Record, end: TaskEnd): EntryRun | undefined {
		const [session] = [...this.sessions]
			.filter(([, run]) => run.entryId === answerTo?.entryId && run.incarnation === answerTo.incarnation)
			.map(([id]) => id)
			.sort((a, b) => b - a);
		if (session === undefined || recipients.has(session)) {
			return undefined;
		}
		this._host.reply(session, [{ ...identity, end, isDirectAnswer: true }]);
		return answerTo;
	}
}
