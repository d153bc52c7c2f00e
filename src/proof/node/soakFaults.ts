/** Injects the faults of a soak, one on a process at a time, and takes them back. */

import { match } from 'ts-pattern';
import { delay, waitFor } from '../../base/common/async.js';
import type { IDisposable } from '../../base/common/disposable.js';
import type { SoakFault } from '../common/soakPlan.js';
import { leavingGraceMs } from '../common/auditor.js';
import { awaitRepair, loseDisk } from './diskLoss.js';
import type { LocalAgent, LocalDaemon, LocalEntry, LocalKeeper } from './localDaemon.js';
import type { OperatorLoad } from './operatorLoad.js';
import type { ProofRun } from './proofRun.js';

/** Longest added one-way delay. */
const addedDelayMs = 100;

/** Longest time for a drain to reach an agent while keepers have faults; the auditor judges how long it took. */
const inForceTimeoutMs = 30_000;

/** Faults on the processes of one run. */
export class SoakFaults {
	private readonly _busy = new Set<LocalDaemon>();
	private readonly _unready = new Set<LocalEntry>();
	private readonly _failures: string[] = [];

	private readonly _faultyKeepers = new Set<LocalKeeper>();
	private _lostDisks = 0;

	constructor(
		private readonly _run: ProofRun,
		private readonly _operators: OperatorLoad,
	) {}

	/** Processes that ended otherwise than they must, as sentences. */
	get failures(): readonly string[] {
		return this._failures;
	}

	/** Entries that the balancer sends readers to now. */
	servingEntries(): LocalEntry[] {
		return this._run.system.entries.filter((entry) => entry.isRunning && !this._unready.has(entry));
	}

	/** The entry, agent and keeper that a fault's target stands for. */
	describeTargets(target: number): string {
		const { entries, agents, keepers } = this._run.system;
		return [entries, agents, keepers].map((daemons) => pick<LocalDaemon>(daemons, target).name).join(' ');
	}

	/** Injects a fault and takes it back after its time. Returns false when its target has another fault. */
	async inject(fault: SoakFault): Promise<boolean> {
		const { system } = this._run;
		const entry = pick(system.entries, fault.target);
		const agent = pick(system.agents, fault.target);
		const keeper = pick(system.keepers, fault.target);
		const ms = fault.durationMs;
		return match(fault.kind)
			.with('killEntry', () => this._onEntry(entry, () => killFor(entry, ms)))
			.with('freezeEntry', () => this._onEntry(entry, () => this._freezeFor(entry, ms)))
			.with('drainEntry', () => this._on(entry, () => this._drainEntry(entry, ms)))
			.with('killAgent', () => this._on(agent, () => killFor(agent, ms)))
			.with('freezeAgent', () => this._on(agent, () => this._freezeFor(agent, ms)))
			.with('drainAgent', () => this._onLeaving(agent, () => this._drainFor(agent, ms)))
			.with('drainAgentByOperator', () => this._on(agent, () => this._drainByOperator(agent, ms)))
			.with('killUpstream', () => this._on(agent.upstream, () => killFor(agent.upstream, ms)))
			.with('drainUpstream', () => this._on(agent.upstream, () => this._drainUpstream(agent, ms)))
			.with('killKeeper', () => this._onKeeper(keeper, () => killFor(keeper, ms)))
			.with('freezeKeeper', () => this._onKeeper(keeper, () => this._freezeFor(keeper, ms)))
			.with('loseKeeperDisk', () => this._onKeeper(keeper, () => this._loseDisk(keeper, ms)))
			.with('cutAgentToEntry', () => holdAll(ms, [entry.peerProxy?.cut('toServer', { client: agent.name })]))
			.with('cutEntryToAgent', () => holdAll(ms, [entry.peerProxy?.cut('toClient', { client: agent.name })]))
			.with('cutEntryToKeeper', () =>
				holdAll(ms, [
					this._run.expectStaleTables(entry.name),
					...system.keepers.map(({ peerProxy }) => peerProxy?.cut('toServer', { client: entry.name })),
				]),
			)
			.with('cutKeeperToEntry', () =>
				holdAll(ms, [
					this._run.expectStaleTables(entry.name),
					...system.keepers.map(({ peerProxy }) => peerProxy?.cut('toClient', { client: entry.name })),
				]),
			)
			.with('breakEntryPeers', () => {
				entry.peerProxy?.breakAfterBytes('toClient', ms);
				return true;
			})
			.with('breakKeeperPeers', () => {
				keeper.peerProxy?.breakAfterBytes('toServer', ms);
				return true;
			})
			.with('delayEntryPeers', async () => {
				entry.peerProxy?.setDelays({
					toServerMs: fault.target % addedDelayMs,
					toClientMs: ms % addedDelayMs,
				});
				await delay(ms);
				entry.peerProxy?.setDelays({ toServerMs: 0, toClientMs: 0 });
				return true;
			})
			.exhaustive();
	}

	/** Runs a fault on a process that has no other one. */
	private async _on(daemon: LocalDaemon, run: () => Promise<void>): Promise<boolean> {
		if (this._busy.has(daemon)) {
			return false;
		}
		this._busy.add(daemon);
		try {
			await run();
		} catch (error) {
			this._failures.push(error instanceof Error ? error.message : String(error));
		} finally {
			this._busy.delete(daemon);
		}
		return true;
	}

	/** Runs a fault that excuses answers that an entry loses. */
	private _onEntry(entry: LocalEntry, run: () => Promise<void>): Promise<boolean> {
		return this._on(entry, async () => {
			const fault = this._run.expectLostAnswers(entry);
			try {
				await run();
			} finally {
				fault.dispose();
			}
		});
	}

	/** Runs a fault on a keeper. While more than one has a fault, changes need not be in force within the limit. */
	private _onKeeper(keeper: LocalKeeper, run: () => Promise<void>): Promise<boolean> {
		return this._on(keeper, async () => {
			const stale = this._faultyKeepers.size === 0 ? [] : [this._run.expectStaleTables()];
			const ownStale = this._run.expectStaleTables(keeper.name);
			this._faultyKeepers.add(keeper);
			try {
				await run();
			} finally {
				this._faultyKeepers.delete(keeper);
				[ownStale, ...stale].forEach((time) => {
					time.dispose();
				});
			}
		});
	}

	/** Takes a keeper's disk, unless so many are lost already that what was accepted might be on none. */
	private async _loseDisk(keeper: LocalKeeper, ms: number): Promise<void> {
		const { keepers } = this._run.system;
		if (this._lostDisks >= Math.floor((keepers.length - 1) / 2)) {
			return killFor(keeper, ms);
		}
		this._lostDisks += 1;
		await loseDisk(keeper);
		await delay(ms);
		await keeper.start();
		await awaitRepair(keeper, keepers.length);
		this._lostDisks -= 1;
	}

	private async _freezeFor(daemon: LocalDaemon, ms: number): Promise<void> {
		const stale = this._run.expectStaleTables(daemon.name);
		daemon.process.pause();
		try {
			await delay(ms);
		} finally {
			daemon.process.resume();
			stale.dispose();
		}
	}

	/** The agent's upstream must get no start from the signal on, until the agent is started again. */
	private _onLeaving(agent: LocalAgent, run: () => Promise<void>): Promise<boolean> {
		return this._on(agent, async () => {
			const leftAtMs = Date.now();
			try {
				await run();
			} finally {
				this._run.noteLeaving(agent.upstream.name, leftAtMs, startedAtMs(agent));
			}
		});
	}

	/** The upstream says that it leaves, and comes back. */
	private async _drainUpstream(agent: LocalAgent, ms: number): Promise<void> {
		const leftAtMs = Date.now();
		await this._drainFor(agent.upstream, ms);
		if (!this._busy.has(agent)) {
			this._run.noteLeaving(agent.upstream.name, leftAtMs, startedAtMs(agent.upstream));
		}
	}

	/** An operator drains the agent and takes it back; it leaves once it has the drain in force. */
	private async _drainByOperator(agent: LocalAgent, ms: number): Promise<void> {
		const revision = await this._operators.setDrain(agent.name, false);
		let leftAtMs = Infinity;
		await waitFor(`${agent.name} has its drain in force`, inForceTimeoutMs, () => {
			leftAtMs = agent.runs.at(-1)?.revisions.find((seen) => seen.revision >= revision)?.atMs ?? Infinity;
			return Number.isFinite(leftAtMs);
		});
		await delay(leavingGraceMs + ms);
		const returnedAtMs = Date.now();
		await this._operators.setDrain(agent.name, true);
		this._run.noteLeaving(agent.upstream.name, leftAtMs, returnedAtMs);
	}

	private async _drainEntry(entry: LocalEntry, ms: number): Promise<void> {
		this._unready.add(entry);
		try {
			await this._drainFor(entry, ms);
		} finally {
			this._unready.delete(entry);
		}
	}

	private async _drainFor(daemon: LocalDaemon, ms: number): Promise<void> {
		const exit = await daemon.stop();
		if (exit.code !== 0) {
			this._failures.push(`${daemon.name} ended its drain with ${JSON.stringify(exit)}.`);
		}
		await delay(ms);
		await daemon.start();
	}
}

async function killFor(daemon: LocalDaemon, ms: number): Promise<void> {
	await daemon.kill();
	await delay(ms);
	await daemon.start();
}

/** When the present run of a daemon began, or earlier. */
function startedAtMs(daemon: LocalDaemon): number {
	return daemon.runs.at(-1)?.startedAtMs ?? 0;
}

async function holdAll(ms: number, cuts: readonly (IDisposable | undefined)[]): Promise<boolean> {
	await delay(ms);
	for (const cut of cuts) {
		cut?.dispose();
	}
	return true;
}

function pick<T>(list: readonly T[], index: number): T {
	const element = list[index % list.length];
	if (element === undefined) {
		throw new RangeError('A soak needs processes of each role.');
	}
	return element;
}
