/** Cores of entries with simulated agents and keepers, on simulated time: a whole run depends on its seed only. */

import { Heap } from 'heap-js';
import { SeededRandom } from '../../base/common/random.js';
import type {
	AgentToEntryMessage,
	EntryToAgentMessage,
	TaskEnd,
} from '../../protocol/common/agentMessages.js';
import type { EntryToEntryMessage } from '../../protocol/common/entryMessages.js';
import { noNeeds, taskKey, type JobAnswer, type JobSubmission } from '../../protocol/common/jobs.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import type { Tables } from '../../declarations/common/tables.js';
import { EntryCore } from '../common/entryCore.js';
import { createPolicy, type PolicyName } from '../common/policies/createPolicy.js';
import type { EntryInput } from '../common/tickTypes.js';
import { FakeClaims, testTables } from './fakeControlPlane.js';
import { SimulatedAgent } from './simulatedAgent.js';

interface SimulatedEntry {
	readonly processId: string;
	incarnation: string;
	core: EntryCore;
	isAlive: boolean;
	/** Whether the entry hears from the keepers. */
	isCutOff: boolean;
	/** Whether the process is stopped; input waits. */
	isFrozen: boolean;
	isDraining: boolean;
	/** When the keepers last heard from the entry. */
	heardAtMs: number;
	/** Time at the keepers of the newest directory that the entry has got. */
	freshAtMs: number;
	inputs: EntryInput[];
	nextTimerMs: number;
}

/** One end of a connection. */
interface Session {
	readonly id: number;
	isOpen: boolean;
	readonly entry: SimulatedEntry;
	readonly incarnation: string;
	readonly peer: { readonly agent: string } | { readonly session: Session };
	/** When the last message from each side arrives; messages of a connection stay in order. */
	toEntryMs: number;
	toPeerMs: number;
}

/** What a run is made of. */
export interface SimulationOptions {
	readonly seed: number;
	readonly entries: number;
	readonly agents: number;
	readonly slots: number;
	readonly oneWayMs: number;
	readonly jitterMs: number;
	readonly policy?: PolicyName;
	readonly tables?: Tables;
	/** Pools of the agents, by turns. */
	readonly pools?: readonly string[];
	/** Share of the messages about quotas that come once more, up to a second later. */
	readonly doubledShare?: number;
	/** Called with each message that an entry sends, and its session. */
	readonly onSent?: (sessionId: number, message: EntryToAgentMessage | EntryToEntryMessage) => void;
	/** Time that a task runs. */
	readonly runMs: (random: SeededRandom) => number;
	readonly failureShare?: number;
}

/** One answer that a reader got. */
export interface ReceivedAnswer {
	readonly submission: JobSubmission;
	readonly answer: JobAnswer;
	readonly submittedMs: number;
	readonly answeredMs: number;
}

const leaseMs = 1500;
const pool = 'ledger';

/** A whole system in one thread. */
export class SimulatedSystem {
	nowMs = 0;
	readonly random: SeededRandom;
	readonly entries: SimulatedEntry[] = [];
	readonly answers: ReceivedAnswer[] = [];
	/** Runs of agents that started each task, in order. */
	readonly starts = new Map<string, SimulatedAgent[]>();
	/** Tasks that started again while the agent that had started them before could still tell. */
	readonly doubleStarts: string[] = [];
	/** Tasks that started again after the agent that had started them before was lost. */
	readonly repeatedStarts: string[] = [];
	readonly startsBySubmission = new Map<string, number>();
	/** Times that each submission was submitted. */
	readonly submissions = new Map<string, number>();
	/** Submissions that may start again once every memory of them is lost. */
	readonly repeatableKeys = new Set<string>();
	private readonly _agents = new Map<string, { agent: SimulatedAgent; incarnation: string }>();
	private readonly _sessions = new Map<number, Session>();
	private readonly _events = new Heap<{ atMs: number; order: number; run: () => void }>(
		(a, b) => a.atMs - b.atMs || a.order - b.order,
	);
	private readonly _claims = new FakeClaims();
	private readonly _readers = new Map<number, { submission: JobSubmission; submittedMs: number }>();
	private _directory: { epoch: number; entries: EntryMember[] } = { epoch: 0, entries: [] };
	private _lastId = 0;

	constructor(private readonly _options: SimulationOptions) {
		this.random = new SeededRandom(_options.seed);
		for (let index = 0; index < _options.agents; index += 1) {
			this._startAgent(`agent-${index}`);
		}
		for (let index = 0; index < _options.entries; index += 1) {
			this._startEntry(`entry-${index}`);
		}
		this._beat();
	}

	/** Runs until a time. */
	runUntil(atMs: number): void {
		for (;;) {
			const next = this._events.peek();
			if (next === undefined || next.atMs > atMs) {
				break;
			}
			this._events.pop();
			this.nowMs = next.atMs;
			next.run();
		}
		this.nowMs = atMs;
	}

	/** The entry that is the home of the pool by its own account. */
	get home(): SimulatedEntry {
		const home = this.entries.find(
			(entry) => entry.isAlive && entry.core.tables.pools.get(pool)?.home.kind === 'self',
		);
		if (home === undefined) {
			throw new Error('No entry is the home of the pool.');
		}
		return home;
	}

	/** Runs something later. */
	after(waitMs: number, run: () => void): void {
		this._events.push({ atMs: this.nowMs + waitMs, order: (this._lastId += 1), run });
	}

	/** Submits a job through an entry; a dead one takes nothing. */
	submit(entryIndex: number, submission: JobSubmission): number {
		const readerId = (this._lastId += 1);
		const entry = this.entries[entryIndex];
		if (entry?.isAlive !== true) {
			return readerId;
		}
		const { submissionId } = submission;
		if (submission.isKeyed && submission.repeatable) {
			this.repeatableKeys.add(submissionId);
		}
		this.submissions.set(submissionId, (this.submissions.get(submissionId) ?? 0) + 1);
		this._readers.set(readerId, { submission, submittedMs: this.nowMs });
		this._push(entry, { kind: 'submit', readerId, jobId: `job-${readerId}`, submission });
		return readerId;
	}

	/** Lets a reader go away. */
	leave(entryIndex: number, readerId: number): void {
		const entry = this.entries[entryIndex];
		if (entry?.isAlive === true && this._readers.delete(readerId)) {
			this._push(entry, { kind: 'readerGone', readerId });
		}
	}

	/** Breaks one random connection; it comes back later. */
	breakConnection(): void {
		const open = [...this._sessions.values()].filter((session) => session.isOpen);
		if (open.length > 0) {
			this._close(this.random.pick(open), true);
		}
	}

	/** Ends an agent for good. */
	loseAgent(name: string): void {
		this._endAgent(name);
		this._agents.delete(name);
	}

	private _endAgent(name: string): void {
		const known = this._agents.get(name);
		if (known !== undefined) {
			known.agent.isGone = true;
		}
		this._closeAll((session) => 'agent' in session.peer && session.peer.agent === name);
	}

	/** Ends an agent; a new run follows. */
	restartAgent(): void {
		const name = this.random.pick([...this._agents.keys()]);
		this._endAgent(name);
		this._startAgent(name);
		this.after(this.random.integer(20, 400), () => {
			for (const entry of this.entries) {
				this._connectAgent(entry, name);
			}
		});
	}

	/** Kills an entry; a new run follows. */
	killEntry(): void {
		const entry = this.random.pick(this.entries);
		if (!entry.isAlive || this.entries.filter((other) => other.isAlive).length < 2) {
			return;
		}
		this._replace(entry);
	}

	/** Kills an entry for good. */
	loseEntry(entry: SimulatedEntry): void {
		entry.isAlive = false;
		this._closeAll((session) => session.entry === entry);
	}

	private _replace(entry: SimulatedEntry): void {
		this.loseEntry(entry);
		this.after(this.random.integer(200, 3000), () => {
			this._startEntry(entry.processId);
		});
	}

	/** Cuts an entry off from the keepers, so that it goes on with an old directory, or stops its process. */
	isolate(how: 'isCutOff' | 'isFrozen', forMs: number): void {
		const entry = this.random.pick(this.entries);
		entry[how] = true;
		this.after(forMs, () => {
			entry[how] = false;
			this._schedule(entry);
		});
	}

	/** Drains an entry and ends it once its jobs are answered; a new run follows. */
	drainEntry(index = this.random.integer(0, this.entries.length - 1), answerWithinMs = Infinity): void {
		const entry = this.entries[index];
		if (
			entry?.isAlive !== true ||
			entry.isDraining ||
			this.entries.filter((other) => other.isAlive).length < 2
		) {
			return;
		}
		entry.isDraining = true;
		this._push(entry, { kind: 'drain', answerWithinMs });
		this._endOnceIdle(entry);
	}

	private _endOnceIdle(entry: SimulatedEntry): void {
		this.after(1000, () => {
			if (entry.isAlive && entry.core.tables.jobs.size === 0) {
				this._replace(entry);
			} else if (entry.isAlive) {
				this._endOnceIdle(entry);
			}
		});
	}

	private _startAgent(name: string): void {
		const incarnation = `run-${(this._lastId += 1)}`;
		const agent = new SimulatedAgent(this._options.slots, {
			started: (identity) => {
				this._noteStart(taskKey(identity), agent);
				const { submissionId } = identity;
				this.startsBySubmission.set(submissionId, (this.startsBySubmission.get(submissionId) ?? 0) + 1);
			},
			endLater: (finish) => {
				this.after(this._options.runMs(this.random), finish);
			},
			tell: (session, message) => {
				this._toEntry(session, message);
			},
			reply: (session, outcomes) => {
				this._toEntry(session, { kind: 'taskOutcomes', revision: 1, outcomes });
			},
			endOf: (_identity, payloadJson): TaskEnd =>
				this.random.next() < (this._options.failureShare ?? 0)
					? { state: 'failed', message: 'It failed.', runMs: 50 }
					: { state: 'done', resultJson: payloadJson, runMs: 50 },
		});
		// A run of an agent obeys no home of an epoch before the first directory that it got.
		agent.epoch = this._directory.epoch;
		this._agents.set(name, { agent, incarnation });
	}

	private _noteStart(key: string, agent: SimulatedAgent): void {
		const earlier = this.starts.get(key) ?? [];
		if (earlier.some((other) => !other.isGone)) {
			this.doubleStarts.push(key);
		} else if (earlier.length > 0) {
			this.repeatedStarts.push(key);
		}
		this.starts.set(key, [...earlier, agent]);
	}

	private _startEntry(processId: string): void {
		const incarnation = `run-${(this._lastId += 1)}`;
		const core = new EntryCore(
			{
				processId,
				incarnation,
				dataCentre: 'dc-1',
				freshnessLimitMs: 3000,
				maxOpenJobs: 10_000,
				keyRetentionMs: 600_000,
			},
			createPolicy(this._options.policy ?? 'home'),
			this._lastId,
		);
		const entry: SimulatedEntry = {
			processId,
			incarnation,
			core,
			isAlive: true,
			isCutOff: false,
			isFrozen: false,
			isDraining: false,
			heardAtMs: this.nowMs,
			freshAtMs: this.nowMs,
			inputs: [],
			nextTimerMs: Infinity,
		};
		const index = this.entries.findIndex((known) => known.processId === processId);
		this.entries.splice(index === -1 ? this.entries.length : index, 1, entry);
		this._push(entry, { kind: 'controlState', state: { tables: this._tables, directory: this._directory } });
		for (const name of this._agents.keys()) {
			this._connectAgent(entry, name);
		}
		for (const other of this.entries) {
			this._connectEntries(entry, other);
		}
	}

	private get _tables(): Tables {
		return this._options.tables ?? testTables;
	}

	/** The keepers: leases of entries, and the directory, which reaches each entry after a while. */
	private _beat(): void {
		this.after(50, () => {
			this._beat();
		});
		for (const entry of this.entries) {
			if (entry.isAlive && !entry.isCutOff && !entry.isFrozen) {
				entry.heardAtMs = this.nowMs;
			}
		}
		const live = this.entries
			.filter((entry) => entry.isAlive && this.nowMs - entry.heardAtMs < leaseMs)
			.map(({ processId, incarnation, isDraining }): EntryMember => ({
				processId,
				incarnation,
				isDraining,
				peerAddress: '127.0.0.1:1',
				dataCentre: 'dc-1',
			}));
		if (JSON.stringify(live) !== JSON.stringify(this._directory.entries)) {
			this._directory = { epoch: this._directory.epoch + 1, entries: live };
		}
		const directory = this._directory;
		for (const entry of this.entries) {
			if (!entry.isCutOff && !entry.isFrozen && entry.core.tables.epoch === directory.epoch) {
				entry.freshAtMs = this.nowMs;
			}
			if (!entry.isCutOff && entry.core.tables.epoch !== directory.epoch) {
				const sentMs = this.nowMs;
				this.after(this.random.integer(0, 40), () => {
					entry.freshAtMs = sentMs;
					this._push(entry, { kind: 'controlState', state: { tables: this._tables, directory } });
				});
			}
		}
	}

	private _connectAgent(entry: SimulatedEntry, name: string): void {
		const known = this._agents.get(name);
		if (!entry.isAlive || known === undefined) {
			return;
		}
		const session = this._open(entry, { agent: name });
		known.agent.sessions.add(session.id);
		this._push(entry, {
			kind: 'peerOpened',
			sessionId: session.id,
			peer: { role: 'agent', processId: name, incarnation: known.incarnation },
		});
		this._toEntry(session.id, {
			kind: 'agentState',
			revision: 1,
			dataCentre: 'dc-1',
			rack: 'rack-1',
			offer: {
				pool: this._poolOf(name),
				slots: this._options.slots,
				connections: 64,
				cores: 32,
				memoryBytes: 2 ** 36,
				accelerators: 0,
			},
			isLeaving: false,
			epoch: known.agent.epoch,
			knownTasks: [],
		});
	}

	private _poolOf(agent: string): string {
		const { pools = [pool] } = this._options;
		return pools[Number(agent.split('-')[1]) % pools.length] ?? pool;
	}

	private _connectEntries(one: SimulatedEntry, other: SimulatedEntry): void {
		if (one === other || !one.isAlive || !other.isAlive) {
			return;
		}
		const first = this._open(one, { session: undefined as unknown as Session });
		const second = this._open(other, { session: first });
		(first as { peer: Session['peer'] }).peer = { session: second };
		for (const [session, peer] of [
			[first, other],
			[second, one],
		] as const) {
			this._push(session.entry, {
				kind: 'peerOpened',
				sessionId: session.id,
				peer: { role: 'entry', processId: peer.processId, incarnation: peer.incarnation },
			});
		}
	}

	private _open(entry: SimulatedEntry, peer: Session['peer']): Session {
		const id = (this._lastId += 1);
		const session: Session = {
			id,
			isOpen: true,
			entry,
			incarnation: entry.incarnation,
			peer,
			toEntryMs: 0,
			toPeerMs: 0,
		};
		this._sessions.set(id, session);
		return session;
	}

	private _closeAll(isMeant: (session: Session) => boolean): void {
		for (const session of [...this._sessions.values()]) {
			if (session.isOpen && isMeant(session)) {
				this._close(session, false);
			}
		}
	}

	private _close(session: Session, comesBack: boolean): void {
		const { entry, peer } = session;
		this._shut(session);
		if ('agent' in peer) {
			const agent = this._agents.get(peer.agent)?.agent;
			this.after(this.random.integer(0, 300), () => {
				agent?.close(session.id);
			});
			if (comesBack) {
				this.after(this.random.integer(1, 800), () => {
					if (this.entries.includes(entry)) {
						this._connectAgent(entry, peer.agent);
					}
				});
			}
			return;
		}
		this._shut(peer.session);
		const other = peer.session.entry;
		if (comesBack) {
			this.after(this.random.integer(1, 800), () => {
				if (this.entries.includes(entry) && this.entries.includes(other)) {
					this._connectEntries(entry, other);
				}
			});
		}
	}

	/** The entry learns later than the other end that a connection is gone; what is on its way is lost. */
	private _shut(session: Session): void {
		session.isOpen = false;
		this._sessions.delete(session.id);
		this.after(this.random.integer(0, 300), () => {
			this._push(session.entry, { kind: 'peerClosed', sessionId: session.id });
		});
	}

	private _delayMs(): number {
		return this._options.oneWayMs + this._options.jitterMs * this.random.next();
	}

	private _toEntry(sessionId: number, message: AgentToEntryMessage): void {
		const session = this._sessions.get(sessionId);
		if (session === undefined) {
			return;
		}
		session.toEntryMs = Math.max(session.toEntryMs, this.nowMs + this._delayMs());
		this.after(session.toEntryMs - this.nowMs, () => {
			if (session.isOpen) {
				this._push(session.entry, { kind: 'agentMessage', sessionId, message });
			}
		});
	}

	private _send(sessionId: number, message: EntryToAgentMessage | EntryToEntryMessage): void {
		const session = this._sessions.get(sessionId);
		if (session === undefined) {
			return;
		}
		this._options.onSent?.(sessionId, message);
		session.toPeerMs = Math.max(session.toPeerMs, this.nowMs + this._delayMs());
		this._deliver(session, message, session.toPeerMs - this.nowMs);
		const { doubledShare = 0 } = this._options;
		if (message.kind.startsWith('quota') && doubledShare > 0 && this.random.next() < doubledShare) {
			this._deliver(session, message, session.toPeerMs - this.nowMs + this.random.integer(0, 1000));
		}
	}

	private _deliver(
		session: Session,
		message: EntryToAgentMessage | EntryToEntryMessage,
		waitMs: number,
	): void {
		const { peer } = session;
		this.after(waitMs, () => {
			if (!session.isOpen) {
				return;
			}
			if ('agent' in peer) {
				this._agents.get(peer.agent)?.agent.receive(session.id, message as EntryToAgentMessage);
			} else {
				this._push(peer.session.entry, {
					kind: 'entryMessage',
					sessionId: peer.session.id,
					message: message as EntryToEntryMessage,
				});
			}
		});
	}

	private _push(entry: SimulatedEntry, input: EntryInput): void {
		entry.inputs.push(input);
		this._schedule(entry);
	}

	private _schedule(entry: SimulatedEntry): void {
		this.after(0, () => {
			this._tick(entry);
		});
	}

	private _tick(entry: SimulatedEntry): void {
		if (!entry.isAlive || entry.isFrozen || (entry.inputs.length === 0 && this.nowMs < entry.nextTimerMs)) {
			return;
		}
		const inputs = entry.inputs;
		entry.inputs = [];
		const outputs = entry.core.tick(inputs, {
			nowMs: this.nowMs,
			tablesAgeMs: this.nowMs - entry.freshAtMs,
		});
		for (const { sessionId, message } of outputs.frames) {
			this._send(sessionId, structuredClone(message));
		}
		for (const { readerId, answer } of outputs.answers) {
			this._take(readerId, answer);
		}
		for (const claim of outputs.claims) {
			this.after(this._delayMs() * 2, () => {
				const outcome = entry.isCutOff ? 'unknown' : this._claims.claim(claim);
				this._push(entry, { kind: 'claimAnswered', claim, outcome });
			});
		}
		for (const release of outputs.releases) {
			this._claims.release(release);
		}
		entry.nextTimerMs = Math.max(this.nowMs + 1, outputs.nextTickMs);
		this.after(entry.nextTimerMs - this.nowMs, () => {
			this._tick(entry);
		});
	}

	private _take(readerId: number, answer: JobAnswer): void {
		const reader = this._readers.get(readerId);
		if (reader === undefined) {
			return;
		}
		this._readers.delete(readerId);
		this.answers.push({ ...reader, answer, answeredMs: this.nowMs });
	}
}

/** A submission for the route `lookup`. */
export function submissionOf(
	submissionId: string,
	taskCount: number,
	options: Partial<JobSubmission> = {},
): JobSubmission {
	return {
		submissionId,
		route: 'lookup',
		team: 'galleries',
		isKeyed: false,
		repeatable: true,
		remainingMs: 4000,
		needs: noNeeds,
		payloadsJson: Array.from({ length: taskCount }, (_unused, index) => `"${submissionId}/${index}"`),
		...options,
	};
}
