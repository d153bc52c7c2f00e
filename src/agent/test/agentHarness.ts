/** Real agent and upstream processes between a fake keeper and fake entries on the wire. */

import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, existsSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { Deferred, waitFor } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { Tables } from '../../declarations/common/tables.js';
import {
	defaultConnectionLimits,
	type IConnection,
	type Message,
	type PeerIdentity,
} from '../../services/transport/common/transport.js';
import { FrameListener } from '../../services/transport/node/frameListener.js';
import type {
	AgentStateMessage,
	EntryToAgentMessage,
	StartBatch,
	TaskOutcome,
} from '../../protocol/common/agentMessages.js';
import { taskKey } from '../../protocol/common/jobs.js';
import type { EntryDirectory, MemberToKeeperMessage } from '../../protocol/common/keeperMessages.js';
import { tablesAt } from './coreModel.js';

const sharedSecret = 'a-secret-for-the-agent-tests';
const program = path.resolve('out/src/code/node/main.js');
/** Time for a condition of a test; reached only when it fails. */
export const patienceMs = 10_000;

function listenAs(identity: PeerIdentity, address = '127.0.0.1:0'): Promise<FrameListener> {
	return FrameListener.listen(address, { identity, secret: sharedSecret, limits: defaultConnectionLimits });
}

/** A keeper that publishes what the test says, or falls silent. */
export class FakeKeeper extends Disposable {
	tables: Tables = tablesAt(1);
	directory: EntryDirectory = { epoch: 1, entries: [] };
	isSilent = false;
	private readonly _subscribers = new Set<IConnection>();
	private _lastProbe = 0;

	private constructor(private readonly _listener: FrameListener) {
		super();
		this._register(_listener);
		_listener.onDidConnect((connection) => {
			connection.onDidReceive((message) => {
				this._receive(connection, message);
			});
		});
	}

	static async start(): Promise<FakeKeeper> {
		return new FakeKeeper(await listenAs({ role: 'keeper', processId: 'keeper-1', incarnation: 'run-1' }));
	}

	get address(): string {
		return this._listener.address;
	}

	/** Publishes new tables, or new entries. */
	publish(change: { tables?: Tables; directory?: EntryDirectory }): void {
		this.tables = change.tables ?? this.tables;
		this.directory = change.directory ?? this.directory;
		for (const connection of this._subscribers) {
			this._sendSnapshot(connection);
		}
	}

	private _receive(connection: IConnection, message: Message): void {
		const { kind, ...rest } = message as MemberToKeeperMessage;
		if ('probe' in rest) {
			this._lastProbe = rest.probe;
		}
		if (this.isSilent || kind === 'leave') {
			return;
		}
		this._subscribers.add(connection);
		this._sendSnapshot(connection);
	}

	private _sendSnapshot(connection: IConnection): void {
		const { tables, directory } = this;
		const probe = this._lastProbe;
		connection.send({
			kind: 'controlSnapshot',
			historyId: 'h',
			tables,
			directory,
			ageMs: 0,
			probe,
		} as Message);
	}
}

/** An entry that sends what the test says, and remembers what agents told it. */
export class FakeEntry extends Disposable {
	readonly states: AgentStateMessage[] = [];
	readonly outcomes: TaskOutcome[] = [];
	/** Incarnations of the agents that connected, in order. */
	readonly agentIncarnations: string[] = [];
	connection: IConnection | undefined;

	private constructor(
		private readonly _listener: FrameListener,
		readonly processId: string,
	) {
		super();
		this._register(_listener);
		_listener.onDidConnect((connection) => {
			this.connection = connection;
			this.agentIncarnations.push(connection.peer.incarnation);
			connection.onDidReceive((message) => {
				this._receive(message);
			});
		});
	}

	static async start(processId = 'entry-1'): Promise<FakeEntry> {
		return new FakeEntry(await listenAs({ role: 'entry', processId, incarnation: 'run-1' }), processId);
	}

	get address(): string {
		return this._listener.address;
	}

	/** The latest state that an agent told. */
	get state(): AgentStateMessage | undefined {
		return this.states.at(-1);
	}

	get isReady(): boolean {
		return this.connection?.isOpen === true && this.state?.offer !== undefined && !this.state.isLeaving;
	}

	send(message: EntryToAgentMessage): void {
		this.connection?.send(message);
	}

	/** Sends one batch of starts. */
	start(batch: StartBatch, change: { epoch?: number; ageMs?: number; revision?: number } = {}): void {
		this.send({ kind: 'startTasks', revision: 1, epoch: 1, batches: [batch], ...change });
	}

	/** Ends that were told of a task. */
	endsOf(submissionId: string, taskIndex: number): readonly TaskOutcome['end'][] {
		const key = taskKey({ submissionId, taskIndex });
		return this.outcomes.filter((outcome) => taskKey(outcome) === key).map(({ end }) => end);
	}

	private _acknowledge(outcomes: readonly TaskOutcome[]): void {
		const tasks = outcomes.map(({ submissionId, taskIndex }) => ({ submissionId, taskIndex }));
		this.send({ kind: 'acknowledgeOutcomes', revision: 1, tasks });
	}

	private _receive(message: Message): void {
		if (message.kind === 'agentState') {
			this.states.push(message as AgentStateMessage);
		}
		if (message.kind === 'taskOutcomes') {
			const { outcomes } = message as Message & { outcomes: readonly TaskOutcome[] };
			this.outcomes.push(...outcomes);
			this._acknowledge(outcomes);
		}
	}
}

/** A process of the system, with the events that it logged. */
export class TestProcess extends Disposable {
	private readonly _child: ChildProcess;
	private readonly _exited = new Deferred<number | null>();
	private _output = '';

	constructor(args: readonly string[]) {
		super();
		this._child = spawn(process.execPath, [program, ...args], { stdio: ['ignore', 'ignore', 'pipe'] });
		this._child.stderr?.on('data', (chunk: Buffer) => {
			this._output += chunk.toString();
		});
		this._child.on('exit', (code) => {
			this._exited.resolve(code);
		});
		this._register(
			toDisposable(() => {
				this._child.kill('SIGKILL');
			}),
		);
	}

	/** Resolves with the exit code, or null after a signal. */
	get exited(): Promise<number | null> {
		return this._exited.promise;
	}

	get pid(): number {
		return this._child.pid ?? 0;
	}

	signal(signal: NodeJS.Signals): void {
		this._child.kill(signal);
	}

	/** Waits for an event and returns its fields. */
	async event(name: string): Promise<Record<string, unknown>> {
		const find = (): string | undefined =>
			this._output.split('\n').find((line) => line.includes(`"event":"${name}"`));
		await waitFor(`${name} is logged`, patienceMs, () => find() !== undefined);
		return JSON.parse(find() ?? '{}') as Record<string, unknown>;
	}
}

/** One agent, its upstream, a keeper and an entry. */
export class AgentHarness extends Disposable {
	readonly folder = mkdtempSync(path.join(tmpdir(), 'yuccaarch-agent-'));
	private _upstreams = 0;
	private _announceAddress = '127.0.0.1:0';
	agent!: TestProcess;
	upstream!: TestProcess;

	private constructor(
		readonly keeper: FakeKeeper,
		readonly entry: FakeEntry,
	) {
		super();
		this._register(keeper);
		this._register(entry);
		this._register(
			toDisposable(() => {
				rmSync(this.folder, { recursive: true, force: true });
			}),
		);
	}

	/** Starts everything, and waits until the entry may send starts. */
	static async start(upstreamArgs: readonly string[] = [], agentSettings = ''): Promise<AgentHarness> {
		const harness = new AgentHarness(await FakeKeeper.start(), await FakeEntry.start());
		harness.publishEntries(1, [harness.entry]);
		await harness.startAgent(agentSettings);
		await harness.startUpstream(upstreamArgs);
		await waitFor('the agent offers its upstream', patienceMs, () => harness.entry.isReady);
		return harness;
	}

	/** Address that the agent takes announcements on. */
	get announceAddress(): string {
		return this._announceAddress;
	}

	publishEntries(epoch: number, entries: readonly FakeEntry[]): void {
		const members = entries.map(({ processId, address }) => ({
			processId,
			incarnation: 'run-1',
			peerAddress: address,
			dataCentre: 'dc-1',
			isDraining: false,
		}));
		this.keeper.publish({ directory: { epoch, entries: members } });
	}

	/** Starts an agent on the announce address of the one before, if there was one. */
	async startAgent(settings = ''): Promise<void> {
		const file = path.join(this.folder, 'agent.toml');
		const lines = [
			'processId = "agent-1"',
			'dataCentre = "dc-1"',
			`sharedSecret = "${sharedSecret}"`,
			`announceAddress = "${this._announceAddress}"`,
			settings,
			'[[keepers]]',
			'processId = "keeper-1"',
			`address = "${this.keeper.address}"`,
		];
		writeFileSync(file, lines.join('\n'));
		this.agent = this._register(new TestProcess(['agent', file]));
		const ready = await this.agent.event('process.ready');
		this._announceAddress = String(ready.announceAddress);
	}

	async startUpstream(args: readonly string[] = []): Promise<void> {
		this._upstreams += 1;
		const id = `up-${this._upstreams}`;
		const common = ['--announce', this._announceAddress, '--pool', 'ledger', '--upstream-id', id];
		const journal = ['--journal', path.join(this.folder, 'journal.jsonl')];
		this.upstream = this._register(new TestProcess(['upstream', ...common, ...journal, ...args]));
		await this.upstream.event('process.ready');
	}

	/** How often each task was started, from the upstreams' journals. */
	starts(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const key of this.journaled('start')) {
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}
		return counts;
	}

	/** Identities of the tasks that an event was recorded for. */
	journaled(event: string): readonly string[] {
		const file = path.join(this.folder, 'journal.jsonl');
		const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
		const lines = text.split('\n').slice(0, -1);
		const events = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
		return events
			.filter((line) => line.event === event)
			.map((line) => `${String(line.submissionId)}/${String(line.taskIndex)}`);
	}
}
