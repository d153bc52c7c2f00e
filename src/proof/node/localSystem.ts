/** Runs a complete system as real processes on loopback: keepers, entries, agents and stand-in upstreams. */

import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { waitFor } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { JournalText } from '../common/journalStarts.js';
import { FaultProxy, type LinkDelays } from './faultProxy.js';
import { identifyByHello } from './identifyClient.js';
import {
	LocalAgent,
	LocalEntry,
	LocalKeeper,
	LocalUpstream,
	writeSettings,
	type LocalDaemon,
} from './localDaemon.js';
import { LocalProcess, LocalProcessError, type ExitStatus } from './localProcess.js';
import { reservePort } from './portReservation.js';
import { PreciseTimer } from '../../base/node/preciseTimer.js';

/** Kinds of addresses that a proxy can be placed in front of. */
export type ProxiedAddress = 'keeperPeer' | 'entryPeer' | 'entryHttp' | 'announce';

/** Options of an agent and its stand-in upstream. */
export interface AgentOptions {
	/** Pool that the upstream announces. */
	readonly pool: string;
	/** Tasks that the upstream runs at the same time; 8 by default. */
	readonly slots?: number;
	/** Data centre; by default the agents are distributed over the system's data centres in turn. */
	readonly dataCentre?: string;
	/** Rack; by default three agents share one. */
	readonly rack?: string;
	/** Additional flags of `yuccaarch upstream`. */
	readonly upstreamArgs?: readonly string[];
	/** Settings that override the defaults. */
	readonly settings?: object;
}

/** Options of a local system. */
export interface LocalSystemOptions {
	readonly keepers: number;
	readonly entries: number;
	readonly agents: readonly AgentOptions[];
	/** Number of data centres that the processes are distributed over; 1 by default. */
	readonly dataCentres?: number;
	/** Addresses with a {@link FaultProxy} in front of them; none by default. */
	readonly proxies?: readonly ProxiedAddress[];
	/** Initial one-way delays of the proxies; none by default. */
	readonly delays?: Partial<Readonly<Record<ProxiedAddress, LinkDelays>>>;
	/** Settings that override the defaults of every keeper. */
	readonly keeperSettings?: object;
	/** Settings that override the defaults of every entry. */
	readonly entrySettings?: object;
	/** Settings that override the defaults of every agent. */
	readonly agentSettings?: object;
}

/** Shared secret with which the processes of every local system authenticate to each other. */
export const localSharedSecret = 'a-shared-secret-for-loopback';

/** Operator token of every local system. */
export const localOperatorToken = 'an-operator-token-for-loopback';

/** Exit code of an operator command that made a change. */
const changedExitCode = 10;

const readyTimeoutMs = 20_000;

const agentsPerRack = 3;

/** Retries when the folder is removed, since a killed process may still be writing to it. */
const folderRemovalRetries = 10;

interface ProcessSettings {
	readonly processId: string;
	readonly dataCentre: string;
	readonly sharedSecret: string;
}

interface ReservedKeeper {
	readonly name: string;
	readonly boundAddress: string;
	readonly peerAddress: string;
	readonly peerProxy: FaultProxy | undefined;
}

/**
 * Owns the processes, proxies, ports and folders of one system. Disposing it kills every running process.
 *
 * @example
 * const system = await LocalSystem.start({ keepers: 1, entries: 2, agents: [{ pool: 'ledger' }] });
 * await system.applyDeclarations([exampleFiles.registroRioplatense]);
 * await system.waitUntilServing();
 * const response = await fetch(`${system.entries[0].url}/v1/routes/terms/jobs`, { method: 'POST', body });
 * await system.drain();
 * await system.close();
 */
export class LocalSystem extends Disposable {
	private readonly _timer = this._register(new PreciseTimer());
	private _keeperEndpoints: readonly { processId: string; address: string }[] = [];
	private readonly _keepers: LocalKeeper[] = [];
	private readonly _entries: LocalEntry[] = [];
	private readonly _agents: LocalAgent[] = [];

	private constructor(
		/** Folder of settings, journals and data; deleted when the system is disposed. */
		readonly folder: string,
		private readonly _options: LocalSystemOptions,
	) {
		super();
		this._register(
			toDisposable(() => {
				rmSync(folder, { recursive: true, force: true, maxRetries: folderRemovalRetries });
			}),
		);
	}

	/** The keepers, `keeper-1` first. */
	get keepers(): readonly LocalKeeper[] {
		return this._keepers;
	}

	/** The entries, `entry-1` first. */
	get entries(): readonly LocalEntry[] {
		return this._entries;
	}

	/** The agents, `agent-1` first, each with its upstream. */
	get agents(): readonly LocalAgent[] {
		return this._agents;
	}

	/** Returns the journals that the upstreams have written so far. */
	readJournals(): JournalText[] {
		return this._agents
			.map(({ upstream }) => upstream)
			.filter(({ journalFile }) => existsSync(journalFile))
			.map(({ name, journalFile }) => ({ upstream: name, text: readFileSync(journalFile, 'utf8') }));
	}

	/**
	 * Starts every process and waits until each reports that it is ready.
	 *
	 * @throws LocalProcessError when a process doesn't become ready; all processes and files are removed first
	 */
	static async start(options: LocalSystemOptions): Promise<LocalSystem> {
		const system = new LocalSystem(mkdtempSync(path.join(tmpdir(), 'yuccaarch-')), options);
		try {
			await system._startAll();
		} catch (error) {
			await system.close();
			throw error;
		}
		return system;
	}

	/**
	 * Applies declaration files with the operator command `apply`, and waits until they are in force everywhere,
	 * or only until they are accepted.
	 *
	 * @returns the standard output of the command
	 * @throws LocalProcessError when the command fails
	 */
	async applyDeclarations(files: readonly string[], { isWaiting } = { isWaiting: true }): Promise<string> {
		const args = isWaiting ? [...files, '--wait'] : files;
		const { exit, output, errorText } = await this.runOperatorCommand('apply', args);
		if (exit.code !== changedExitCode && exit.code !== 0) {
			const lines = [...output, errorText].join('\n');
			throw new LocalProcessError(`"yuccaarch apply" ended with ${JSON.stringify(exit)}.\n${lines}`);
		}
		return output.join('\n');
	}

	/** Runs an operator command against the keepers and returns its exit status and output. */
	async runOperatorCommand(
		command: string,
		args: readonly string[],
	): Promise<{ exit: ExitStatus; output: readonly string[]; errorText: string }> {
		const operators = this._keepers.map((keeper) => keeper.operatorAddress).join(',');
		const connection = ['--operator', operators, '--token', localOperatorToken];
		const child = this._register(
			LocalProcess.start({ name: command, args: [command, ...args, ...connection] }),
		);
		const exit = await child.waitForExit();
		return { exit, output: child.outputLines, errorText: child.errorText };
	}

	/** Waits until the readiness check of every entry succeeds. */
	async waitUntilServing(timeoutMs = readyTimeoutMs): Promise<void> {
		for (const entry of this._entries) {
			await waitFor(`${entry.name} is ready for readers`, timeoutMs, () => isServing(entry));
		}
	}

	/** Starts an additional agent with its upstream. */
	async addAgent(plan: AgentOptions): Promise<LocalAgent> {
		const agent = await this._createAgent(plan, this._agents.length);
		this._agents.push(agent);
		await startAgent(agent);
		return agent;
	}

	/**
	 * Drains every running process by SIGTERM, in the order entries, upstreams, agents, keepers.
	 *
	 * @throws LocalProcessError when a process doesn't exit with code 0
	 */
	async drain(): Promise<void> {
		await drainAll(this._entries);
		await drainAll(this._agents.map((agent) => agent.upstream));
		await drainAll(this._agents);
		await drainAll(this._keepers);
	}

	/** Kills every running process, waits until it has ended, and deletes every file. */
	async close(): Promise<void> {
		const agents = this._agents.flatMap((agent) => [agent, agent.upstream]);
		const running = [...this._entries, ...agents, ...this._keepers].filter((daemon) => daemon.isRunning);
		await Promise.all(running.map((daemon) => daemon.kill()));
		this.dispose();
	}

	private async _startAll(): Promise<void> {
		await this._startKeepers();
		for (const [index, plan] of this._options.agents.entries()) {
			this._agents.push(await this._createAgent(plan, index));
		}
		for (let index = 0; index < this._options.entries; index += 1) {
			this._entries.push(await this._createEntry(index));
		}
		await Promise.all([
			...this._agents.map((agent) => startAgent(agent)),
			...this._entries.map((entry) => entry.start()),
		]);
	}

	private async _startKeepers(): Promise<void> {
		const reserved: ReservedKeeper[] = [];
		for (let index = 0; index < this._options.keepers; index += 1) {
			reserved.push(await this._reserveKeeper(`keeper-${index + 1}`));
		}
		this._keeperEndpoints = reserved.map(({ name, peerAddress }) => ({
			processId: name,
			address: peerAddress,
		}));
		for (const [index, keeper] of reserved.entries()) {
			this._keepers.push(await this._createKeeper(keeper, index));
		}
		await Promise.all(this._keepers.map((keeper) => keeper.start()));
	}

	private async _reserveKeeper(name: string): Promise<ReservedKeeper> {
		const boundAddress = await this._reserveAddress();
		const peerProxy = await this._createProxy('keeperPeer', boundAddress);
		return { name, boundAddress, peerProxy, peerAddress: peerProxy?.address ?? boundAddress };
	}

	private async _createKeeper(reserved: ReservedKeeper, index: number): Promise<LocalKeeper> {
		const { name, boundAddress, peerAddress, peerProxy } = reserved;
		const operatorAddress = await this._reserveAddress();
		const dataFolder = path.join(this.folder, `${name}-data`);
		const file = writeSettings(this.folder, name, {
			...this._createProcessSettings(name, index),
			peerAddress: boundAddress,
			operatorAddress,
			operatorToken: localOperatorToken,
			dataFolder,
			members: this._keeperEndpoints,
			...this._options.keeperSettings,
		});
		const options = { name, role: 'keeper', args: [file] } as const;
		return this._register(new LocalKeeper(options, peerAddress, operatorAddress, dataFolder, peerProxy));
	}

	private async _createEntry(index: number): Promise<LocalEntry> {
		const name = `entry-${index + 1}`;
		const httpAddress = await this._reserveAddress();
		const peerAddress = await this._reserveAddress();
		const httpProxy = await this._createProxy('entryHttp', httpAddress);
		const peerProxy = await this._createProxy('entryPeer', peerAddress);
		const file = writeSettings(this.folder, name, {
			...this._createProcessSettings(name, index),
			httpAddress,
			peerAddress,
			...(peerProxy === undefined ? {} : { advertisedPeerAddress: peerProxy.address }),
			keepers: this._keeperEndpoints,
			operatorToken: localOperatorToken,
			...this._options.entrySettings,
		});
		const options = { name, role: 'entry', args: [file] } as const;
		const readerAddress = httpProxy?.address ?? httpAddress;
		return this._register(new LocalEntry(options, readerAddress, httpProxy, peerProxy));
	}

	private async _createAgent(plan: AgentOptions, index: number): Promise<LocalAgent> {
		const name = `agent-${index + 1}`;
		const announceAddress = await this._reserveAddress();
		const place = this._createProcessSettings(name, index);
		const file = writeSettings(this.folder, name, {
			...place,
			dataCentre: plan.dataCentre ?? place.dataCentre,
			rack: plan.rack ?? `rack-${Math.floor(index / agentsPerRack) + 1}`,
			announceAddress,
			keepers: this._keeperEndpoints,
			...this._options.agentSettings,
			...plan.settings,
		});
		const announceProxy = await this._createProxy('announce', announceAddress);
		const upstream = this._createUpstream(plan, announceProxy?.address ?? announceAddress, index);
		const options = { name, role: 'agent', args: [file] } as const;
		return this._register(new LocalAgent(options, announceAddress, plan.pool, upstream, announceProxy));
	}

	private _createUpstream(plan: AgentOptions, announceAddress: string, index: number): LocalUpstream {
		const name = `upstream-${index + 1}`;
		const journalFile = path.join(this.folder, `${name}.journal`);
		const args = [
			'--announce',
			announceAddress,
			'--pool',
			plan.pool,
			'--slots',
			String(plan.slots ?? 8),
			'--journal',
			journalFile,
			...(plan.upstreamArgs ?? []),
		];
		return this._register(new LocalUpstream({ name, role: 'upstream', args }, journalFile));
	}

	private _createProcessSettings(processId: string, index: number): ProcessSettings {
		const dataCentre = `dc-${(index % (this._options.dataCentres ?? 1)) + 1}`;
		return { processId, dataCentre, sharedSecret: localSharedSecret };
	}

	private async _reserveAddress(): Promise<string> {
		return this._register(await reservePort()).address;
	}

	private async _createProxy(kind: ProxiedAddress, target: string): Promise<FaultProxy | undefined> {
		if (this._options.proxies?.includes(kind) !== true) {
			return undefined;
		}
		const delays = this._options.delays?.[kind];
		const proxy = await FaultProxy.listen({
			target,
			timer: this._timer,
			...(delays === undefined ? {} : { delays }),
			...(kind === 'entryPeer' || kind === 'keeperPeer' ? { identifyClient: identifyByHello } : {}),
		});
		return this._register(proxy);
	}
}

async function startAgent(agent: LocalAgent): Promise<void> {
	await agent.start();
	await agent.upstream.start();
}

async function isServing(entry: LocalEntry): Promise<boolean> {
	try {
		const response = await fetch(`${entry.url}/readyz`);
		await response.body?.cancel();
		return response.ok;
	} catch {
		return false;
	}
}

async function drainAll(daemons: readonly LocalDaemon[]): Promise<void> {
	const running = daemons.filter((daemon) => daemon.isRunning);
	await Promise.all(running.map((daemon) => drainDaemon(daemon)));
}

async function drainDaemon(daemon: LocalDaemon): Promise<void> {
	const exit = await daemon.stop();
	if (exit.code !== 0) {
		const events = daemon.process.events.slice(-5).map((line) => JSON.stringify(line));
		throw new LocalProcessError(
			`${daemon.name} exited with ${JSON.stringify(exit)} instead of code 0.\n${events.join('\n')}`,
		);
	}
}
