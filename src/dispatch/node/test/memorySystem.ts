/** Entries and agents in one process, connected in memory, for tests of what they do together. */

import type { ExecutionContext } from 'ava';
import { monotonicClock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { ILogService } from '../../../services/log/common/log.js';
import type { IConnection, Message, PeerIdentity } from '../../../services/transport/common/transport.js';
import { isStartTasks, isStopTasks, readMessage } from '../../common/dispatchMessageChecks.js';
import type { TaskNeeds } from '../../common/dispatchMessages.js';
import type { JobOutcome, JobRequest } from '../../common/jobs.js';
import { Dispatcher } from '../dispatcher.js';
import { TaskExecutor } from '../taskExecutor.js';
import { CrashableWorker, type CarriedOutStart, type TaskScript } from './crashableWorker.js';
import { MemoryLog } from './memoryLog.js';
import { PausableWorker } from './pausableWorker.js';

const waitTimeoutMs = 20_000;
const announcementIntervalMs = 300;
const silenceTimeoutMs = 200;
/** Time by which an agent may notice a silence late. */
const detectionDelayMs = 100;

/** One end of a connection in memory; messages are copied, as a codec would. */
class MemoryConnection implements IConnection {
	private readonly _onDidReceive = new Emitter<Message>();
	readonly onDidReceive = this._onDidReceive.event;
	private readonly _onDidClose = new Emitter<string>();
	readonly onDidClose = this._onDidClose.event;
	isOpen = true;
	other: MemoryConnection | undefined;
	private _lastReceivedMs = performance.now();
	/** Events that this end has not handled yet, since its process is paused; `undefined` while it runs. */
	private _pending: (() => void)[] | undefined;

	constructor(readonly peer: PeerIdentity) {}

	get silenceMs(): number {
		return performance.now() - this._lastReceivedMs;
	}

	send(message: Message): boolean {
		const copy = structuredClone(message);
		setImmediate(() => {
			this.other?._handle(() => {
				if (this.other?.isOpen === true) {
					this.other._lastReceivedMs = performance.now();
					this.other._onDidReceive.fire(copy);
				}
			});
		});
		return this.isOpen;
	}

	/** Number of messages and closings that wait for the paused process at this end. */
	get pendingCount(): number {
		return this._pending?.length ?? 0;
	}

	/** Pauses the process at this end: what arrives waits, as in the buffer of a socket. */
	pause(): void {
		this._pending ??= [];
	}

	resume(): void {
		const pending = this._pending ?? [];
		this._pending = undefined;
		for (const handle of pending) {
			handle();
		}
	}

	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this._onDidClose.fire('closed');
			this.other?._handle(() => this.other?.close());
		}
	}

	private _handle(event: () => void): void {
		if (this._pending === undefined) {
			event();
		} else {
			this._pending.push(event);
		}
	}

	end(): void {
		this.close();
	}

	dispose(): void {
		this.close();
	}
}

function connectInMemory(left: PeerIdentity, right: PeerIdentity): [MemoryConnection, MemoryConnection] {
	const toRight = new MemoryConnection(right);
	const toLeft = new MemoryConnection(left);
	toRight.other = toLeft;
	toLeft.other = toRight;
	return [toRight, toLeft];
}

class MemoryEntry {
	readonly identity: PeerIdentity;
	readonly connections = new Set<MemoryConnection>();
	readonly peers = new Set<MemoryConnection>();
	readonly dispatcher: Dispatcher;

	constructor(name: string, life: number, countOtherEntries: () => number, log: ILogService) {
		this.identity = { role: 'entry', processId: name, incarnation: `life-${life}` };
		this.dispatcher = new Dispatcher({
			silenceTimeoutMs,
			countOtherEntries,
			broadcastToEntries: (message) => {
				for (const peer of this.peers) {
					peer.send(message);
				}
			},
			clock: monotonicClock,
			log,
		});
	}

	stop(): void {
		for (const connection of [...this.connections, ...this.peers]) {
			connection.close();
		}
		this.dispatcher.dispose();
	}
}

class MemoryAgent {
	readonly identity: PeerIdentity;
	readonly links = new Map<number, MemoryConnection>();
	readonly executor: TaskExecutor;
	private readonly _pausableWorker: PausableWorker;
	private _nextLinkId = 1;

	constructor(
		name: string,
		readonly life: number,
		readonly worker: CrashableWorker,
		log: ILogService,
	) {
		this.identity = { role: 'agent', processId: name, incarnation: `life-${life}` };
		this._pausableWorker = new PausableWorker(worker);
		this.executor = new TaskExecutor(
			{
				send: (linkId, message) => {
					this.links.get(linkId)?.send(message);
				},
			},
			this._pausableWorker,
			{ workerAddress: '127.0.0.1:1', fencingToken: 100 * life, clock: monotonicClock, log },
		);
	}

	accept(connection: MemoryConnection): void {
		const linkId = this._nextLinkId;
		this._nextLinkId += 1;
		this.links.set(linkId, connection);
		connection.onDidReceive((message) => {
			if (message.kind === 'startTasks') {
				this.executor.handleStartTasks(linkId, readMessage(message, isStartTasks));
			}
			if (message.kind === 'stopTasks') {
				this.executor.handleStopTasks(linkId, readMessage(message, isStopTasks));
			}
		});
		connection.onDidClose(() => {
			this.links.delete(linkId);
			this.executor.handleEntryLost(linkId, connection.silenceMs);
		});
		this.executor.handleEntryConnected(linkId, connection.peer.processId, connection.peer.incarnation);
	}

	pause(): void {
		this._pausableWorker.pause();
		this.links.forEach((link) => {
			link.pause();
		});
	}

	resume(): void {
		this._pausableWorker.resume();
		this.links.forEach((link) => {
			link.resume();
		});
	}

	stop(): void {
		for (const link of [...this.links.values()]) {
			link.close();
		}
		this.executor.dispose();
		this._pausableWorker.resume();
	}
}

export interface MemorySystemOptions {
	readonly entryCount: number;
	readonly workerCount: number;
	readonly capacity: TaskNeeds;
	readonly workerRestartMs: number;
}

/** Runs until the test ends. Its processes can be restarted and cut off from each other. */
export class MemorySystem {
	readonly log = new MemoryLog();
	readonly workers: CrashableWorker[];
	readonly entries: MemoryEntry[] = [];
	private readonly _agents: MemoryAgent[] = [];
	private readonly _cutPairs = new Set<string>();
	private readonly _cutEntryPairs = new Set<string>();
	private _lives = 1;
	private readonly _troubleLog = this.log.createLogService('test');

	constructor(t: ExecutionContext, options: MemorySystemOptions) {
		this.workers = Array.from(
			{ length: options.workerCount },
			(_, index) => new CrashableWorker(`w-${index}`, options.capacity, options.workerRestartMs),
		);
		for (const [index, worker] of this.workers.entries()) {
			worker.onDidAnnounce((announcement) => {
				this._agents[index]?.executor.handleAnnouncement(announcement);
			});
			this._agents.push(this._createAgent(index, 1));
		}
		for (let index = 0; index < options.entryCount; index += 1) {
			this.entries.push(this._createEntry(index));
		}
		this._connectAll();
		const timer = setInterval(() => {
			this._announceAll();
		}, announcementIntervalMs);
		this._announceAll();
		t.teardown(() => {
			clearInterval(timer);
			this.entries.forEach((entry) => {
				entry.stop();
			});
			this._agents.forEach((agent) => {
				agent.stop();
			});
			this.workers.forEach((worker) => {
				worker.dispose();
			});
		});
	}

	/** Starts of one task that workers have carried out, the oldest first. */
	getStarts(taskKey: string): readonly CarriedOutStart[] {
		return this.workers
			.flatMap(({ starts }) => starts)
			.filter((start) => start.taskKey === taskKey)
			.sort((left, right) => left.atMs - right.atMs);
	}

	async waitUntilReady(): Promise<void> {
		await waitUntil(() =>
			this.entries.every(
				({ dispatcher }) => dispatcher.workerCount === this.workers.filter(({ isUp }) => isUp).length,
			),
		);
	}

	/** Submits a job at an entry; resolves with its outcome, or with `abandoned` if the caller leaves when the signal aborts. */
	async submit(
		entryIndex: number,
		script: TaskScript,
		change: Partial<JobRequest> = {},
		signal?: AbortSignal,
	): Promise<JobOutcome> {
		const request: JobRequest = {
			jobId: 'job',
			route: 'route',
			pool: 'pool',
			isCapacityEnforced: false,
			payload: JSON.stringify(script),
			taskCount: 1,
			needs: script.needs,
			awayFactor: 1,
			estimateMs: script.durationMs,
			priority: 1,
			maxAttempts: 3,
			stretch: 4,
			objectiveMs: 500,
			waitMs: 3000,
			...change,
		};
		return new Promise((resolve) => {
			const withdraw = this.entries[entryIndex]?.dispatcher.submit(request, resolve);
			signal?.addEventListener('abort', () => {
				withdraw?.();
				resolve({ kind: 'abandoned' });
			});
		});
	}

	/** Replaces an entry by a new incarnation, as after a kill. */
	restartEntry(index: number): void {
		this._troubleLog.info('restartEntry', { entry: index });
		this.entries[index]?.stop();
		this.entries[index] = this._createEntry(index);
		this._connectAll();
	}

	/** Replaces an agent by a new incarnation, as after a kill. */
	restartAgent(index: number): void {
		this._troubleLog.info('restartAgent', { agent: index });
		const worker = this.workers[index]!;
		this._agents[index]?.stop();
		this._lives += 1;
		this._agents[index] = this._createAgent(index, this._lives);
		worker.announce();
		this._connectAll();
	}

	/** Pauses an agent, as SIGSTOP does: what it receives, its orders and their answers wait; its worker goes on. */
	pauseAgent(index: number): void {
		this._troubleLog.info('pauseAgent', { agent: index });
		this._agents[index]?.pause();
	}

	resumeAgent(index: number): void {
		this._troubleLog.info('resumeAgent', { agent: index });
		this._agents[index]?.resume();
	}

	/** Crashes a worker, which restarts under its ID after a while. */
	crashWorker(index: number, restartMs: number): void {
		this._troubleLog.info('crashWorker', { worker: index, restartMs });
		this.workers[index]?.crash(restartMs);
	}

	/** Pauses what an entry receives from agents; its own timers go on. Connections that are opened later are not paused. */
	pauseEntry(index: number): void {
		this.entries[index]?.connections.forEach((link) => {
			link.pause();
		});
	}

	resumeEntry(index: number): void {
		this.entries[index]?.connections.forEach((link) => {
			link.resume();
		});
	}

	/** Lets an agent lose its connection to an entry, and connect again at once; a paused entry learns of the loss later. */
	reconnectAgent(agentIndex: number, entryIndex: number): void {
		const entryId = this.entries[entryIndex]?.identity.processId;
		for (const link of [...(this._agents[agentIndex]?.links.values() ?? [])]) {
			if (link.peer.processId === entryId) {
				link.close();
			}
		}
		this._connectAll();
	}

	/** Returns the number of messages that wait for a paused agent. */
	countPendingMessages(index: number): number {
		return [...(this._agents[index]?.links.values() ?? [])].reduce((sum, link) => sum + link.pendingCount, 0);
	}

	/** Cuts an entry off from an agent. */
	cut(entryIndex: number, agentIndex: number): void {
		this._troubleLog.info('cut', { entry: entryIndex, agent: agentIndex });
		this._cutPairs.add(`${entryIndex}-${agentIndex}`);
		const agentId = this._agents[agentIndex]?.identity.processId;
		for (const connection of this.entries[entryIndex]?.connections ?? []) {
			if (connection.peer.processId === agentId) {
				connection.close();
			}
		}
	}

	/** Cuts an entry off from an agent, which hears nothing from it and notices the loss only after its silence timeout. */
	async cutUnnoticed(entryIndex: number, agentIndex: number): Promise<void> {
		const entryId = this.entries[entryIndex]?.identity.processId;
		const links = [...(this._agents[agentIndex]?.links.values() ?? [])].filter(
			({ peer }) => peer.processId === entryId,
		);
		links.forEach((link) => {
			link.pause();
		});
		this.cut(entryIndex, agentIndex);
		await new Promise((resolve) => setTimeout(resolve, silenceTimeoutMs + detectionDelayMs));
		links.forEach((link) => {
			link.resume();
		});
	}

	/** Closes the connections between two entries. One of them may take its ends for open until it notices. */
	cutEntries(entryIndex: number, otherIndex: number, unnoticedBy?: number): void {
		this._troubleLog.info('cutEntries', { entries: `${entryIndex} ${otherIndex}`, unnoticedBy });
		this._cutEntryPairs.add(`${entryIndex}-${otherIndex}`).add(`${otherIndex}-${entryIndex}`);
		for (const [from, to] of [
			[entryIndex, otherIndex],
			[otherIndex, entryIndex],
		] as const) {
			const toId = this.entries[to]?.identity.processId;
			for (const link of [...(this.entries[from]?.peers ?? [])].filter(
				({ peer }) => peer.processId === toId,
			)) {
				const unnoticedEnd = unnoticedBy === from ? link : link.other;
				if (unnoticedBy !== undefined) {
					unnoticedEnd?.pause();
				}
				unnoticedEnd?.other?.close();
			}
		}
	}

	/** Lets an entry notice which of its connections with other entries are closed. */
	noticeClosedPeers(index: number): void {
		for (const entry of this.entries) {
			for (const link of entry.peers) {
				(entry === this.entries[index] ? link : link.other)?.resume();
			}
		}
	}

	/** Ends all cuts. */
	heal(): void {
		this._cutEntryPairs.clear();
		this.healAgents();
	}

	/** Ends the cuts between entries and agents. */
	healAgents(): void {
		this._troubleLog.info('heal', {});
		this._cutPairs.clear();
		this._connectAll();
	}

	private _createEntry(index: number): MemoryEntry {
		this._lives += 1;
		const name = `entry-${index}`;
		const log = this.log.createLogService(name);
		return new MemoryEntry(name, this._lives, () => this.entries.length - 1, log);
	}

	private _createAgent(index: number, life: number): MemoryAgent {
		const name = `agent-${index}`;
		return new MemoryAgent(name, life, this.workers[index]!, this.log.createLogService(name));
	}

	private _announceAll(): void {
		for (const worker of this.workers) {
			worker.announce();
		}
	}

	/** Opens the connections that are missing: from each agent to each entry, and from each entry to each other one. */
	private _connectAll(): void {
		for (const [entryIndex, entry] of this.entries.entries()) {
			for (const [agentIndex, agent] of this._agents.entries()) {
				const isConnected = [...agent.links.values()].some(
					({ peer, isOpen }) =>
						isOpen &&
						peer.processId === entry.identity.processId &&
						peer.incarnation === entry.identity.incarnation,
				);
				if (!isConnected && !this._cutPairs.has(`${entryIndex}-${agentIndex}`)) {
					const [toEntry, toAgent] = connectInMemory(agent.identity, entry.identity);
					entry.connections.add(toAgent);
					entry.dispatcher.accept(toAgent);
					agent.accept(toEntry);
				}
			}
			for (const [otherIndex, other] of this.entries.entries()) {
				if (!this._cutEntryPairs.has(`${entryIndex}-${otherIndex}`)) {
					this._connectEntries(entry, other);
				}
			}
		}
	}

	private _connectEntries(entry: MemoryEntry, other: MemoryEntry): void {
		const isConnected = [...entry.peers].some(
			({ peer, isOpen }) =>
				isOpen &&
				peer.processId === other.identity.processId &&
				peer.incarnation === other.identity.incarnation,
		);
		if (entry === other || isConnected) {
			return;
		}
		const [toOther, toEntry] = connectInMemory(entry.identity, other.identity);
		entry.peers.add(toOther);
		other.dispatcher.accept(toEntry);
		entry.dispatcher.sendRemembered(toOther);
	}
}

/** Waits until a condition is met. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
	const deadlineMs = performance.now() + waitTimeoutMs;
	while (!isMet()) {
		if (performance.now() > deadlineMs) {
			throw new Error(`The condition was not met within ${waitTimeoutMs} ms.`);
		}
		await new Promise((resolve) => setTimeout(resolve, 5));
	}
}
