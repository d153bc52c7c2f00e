/** Injects and reverts the faults of a soak, at most one per process at a time. */

import { match } from 'ts-pattern';
import { delay, waitFor } from '../../base/common/async.js';
import type { IDisposable } from '../../base/common/disposable.js';
import type { SoakFault } from '../common/soakPlan.js';
import { upstreamLeavingGraceMs } from '../common/auditor.js';
import { waitUntilVoter, killAndEraseDisk } from './diskLoss.js';
import type { LocalAgent, LocalDaemon, LocalEntry, LocalKeeper } from './localDaemon.js';
import type { OperatorLoad } from './operatorLoad.js';
import type { ProofRun } from './proofRun.js';

/** Upper limit of the added one-way delay. */
const maxAddedDelayMs = 100;

/** Timeout for a drain to be in force at an agent while keepers have faults; the auditor checks the actual limit. */
const inForceTimeoutMs = 30_000;

/** Injects faults into the processes of one run. */
export class SoakFaults {
	private readonly _faultyDaemons = new Set<LocalDaemon>();
	private readonly _drainingEntries = new Set<LocalEntry>();
	private readonly _failures: string[] = [];

	private readonly _faultyKeepers = new Set<LocalKeeper>();
	private _lostDiskCount = 0;

	constructor(
		private readonly _run: ProofRun,
		private readonly _operators: OperatorLoad,
	) {}

	/** Sentences about faults that could not be injected or reverted, and processes that didn't drain cleanly. */
	get failures(): readonly string[] {
		return this._failures;
	}

	/** Returns the entries that a load balancer would send readers to now. */
	getServingEntries(): LocalEntry[] {
		return this._run.system.entries.filter((entry) => entry.isRunning && !this._drainingEntries.has(entry));
	}

	/** Returns the names of the entry, agent and keeper that a target index selects. */
	describeTargets(target: number): string {
		const { entries, agents, keepers } = this._run.system;
		return [entries, agents, keepers]
			.map((daemons) => pickByIndex<LocalDaemon>(daemons, target).name)
			.join(' ');
	}

	/** Injects a fault and reverts it after its duration. Returns false when its target already has a fault. */
	async inject(fault: SoakFault): Promise<boolean> {
		const { system } = this._run;
		const entry = pickByIndex(system.entries, fault.targetIndex);
		const agent = pickByIndex(system.agents, fault.targetIndex);
		const keeper = pickByIndex(system.keepers, fault.targetIndex);
		const durationMs = fault.durationMs;
		return match(fault.kind)
			.with('killEntry', () => this._runEntryFault(entry, () => killAndRestart(entry, durationMs)))
			.with('freezeEntry', () => this._runEntryFault(entry, () => this._freezeFor(entry, durationMs)))
			.with('drainEntry', () => this._runExclusively(entry, () => this._drainEntry(entry, durationMs)))
			.with('killAgent', () => this._runExclusively(agent, () => killAndRestart(agent, durationMs)))
			.with('freezeAgent', () => this._runExclusively(agent, () => this._freezeFor(agent, durationMs)))
			.with('drainAgent', () => this._runAgentDrain(agent, () => this._drainAndRestart(agent, durationMs)))
			.with('drainAgentByOperator', () =>
				this._runExclusively(agent, () => this._drainAgentByOperator(agent, durationMs)),
			)
			.with('killUpstream', () =>
				this._runExclusively(agent.upstream, () => killAndRestart(agent.upstream, durationMs)),
			)
			.with('drainUpstream', () =>
				this._runExclusively(agent.upstream, () => this._drainUpstream(agent, durationMs)),
			)
			.with('killKeeper', () => this._runKeeperFault(keeper, () => killAndRestart(keeper, durationMs)))
			.with('freezeKeeper', () => this._runKeeperFault(keeper, () => this._freezeFor(keeper, durationMs)))
			.with('loseKeeperDisk', () =>
				this._runKeeperFault(keeper, () => this._eraseDiskAndRestart(keeper, durationMs)),
			)
			.with('cutAgentToEntry', () =>
				holdCuts(durationMs, [entry.peerProxy?.cut('toServer', { client: agent.name })]),
			)
			.with('cutEntryToAgent', () =>
				holdCuts(durationMs, [entry.peerProxy?.cut('toClient', { client: agent.name })]),
			)
			.with('cutEntryToKeeper', () =>
				holdCuts(durationMs, [
					this._run.allowStaleTables(entry.name),
					...system.keepers.map(({ peerProxy }) => peerProxy?.cut('toServer', { client: entry.name })),
				]),
			)
			.with('cutKeeperToEntry', () =>
				holdCuts(durationMs, [
					this._run.allowStaleTables(entry.name),
					...system.keepers.map(({ peerProxy }) => peerProxy?.cut('toClient', { client: entry.name })),
				]),
			)
			.with('breakEntryPeers', () => {
				entry.peerProxy?.breakAfterBytes('toClient', durationMs);
				return true;
			})
			.with('breakKeeperPeers', () => {
				keeper.peerProxy?.breakAfterBytes('toServer', durationMs);
				return true;
			})
			.with('delayEntryPeers', async () => {
				entry.peerProxy?.setDelays({
					toServerMs: fault.targetIndex % maxAddedDelayMs,
					toClientMs: durationMs % maxAddedDelayMs,
				});
				await delay(durationMs);
				entry.peerProxy?.setDelays({ toServerMs: 0, toClientMs: 0 });
				return true;
			})
			.exhaustive();
	}

	/** Runs a fault on a process. Returns false when the process already has one. */
	private async _runExclusively(daemon: LocalDaemon, run: () => Promise<void>): Promise<boolean> {
		if (this._faultyDaemons.has(daemon)) {
			return false;
		}
		this._faultyDaemons.add(daemon);
		try {
			await run();
		} catch (error) {
			this._failures.push(error instanceof Error ? error.message : String(error));
		} finally {
			this._faultyDaemons.delete(daemon);
		}
		return true;
	}

	/** Runs a fault during which readers may lose the answers of an entry. */
	private _runEntryFault(entry: LocalEntry, run: () => Promise<void>): Promise<boolean> {
		return this._runExclusively(entry, async () => {
			const fault = this._run.allowLostAnswers(entry);
			try {
				await run();
			} finally {
				fault.dispose();
			}
		});
	}

	/**
	 * Runs a fault on a keeper. While more than one keeper has a fault, changes need not be in force within the limit.
	 */
	private _runKeeperFault(keeper: LocalKeeper, run: () => Promise<void>): Promise<boolean> {
		return this._runExclusively(keeper, async () => {
			const sharedPeriods = this._faultyKeepers.size === 0 ? [] : [this._run.allowStaleTables()];
			const ownPeriod = this._run.allowStaleTables(keeper.name);
			this._faultyKeepers.add(keeper);
			try {
				await run();
			} finally {
				this._faultyKeepers.delete(keeper);
				[ownPeriod, ...sharedPeriods].forEach((period) => {
					period.dispose();
				});
			}
		});
	}

	/**
	 * Erases a keeper's disk and restarts the keeper. Only kills and restarts it when one more lost disk could destroy
	 * the last copy of an accepted change.
	 */
	private async _eraseDiskAndRestart(keeper: LocalKeeper, downMs: number): Promise<void> {
		const { keepers } = this._run.system;
		if (this._lostDiskCount >= Math.floor((keepers.length - 1) / 2)) {
			return killAndRestart(keeper, downMs);
		}
		this._lostDiskCount += 1;
		await killAndEraseDisk(keeper);
		await delay(downMs);
		await keeper.start();
		await waitUntilVoter(keeper, keepers.length);
		this._lostDiskCount -= 1;
	}

	private async _freezeFor(daemon: LocalDaemon, durationMs: number): Promise<void> {
		const stalePeriod = this._run.allowStaleTables(daemon.name);
		daemon.process.pause();
		try {
			await delay(durationMs);
		} finally {
			daemon.process.resume();
			stalePeriod.dispose();
		}
	}

	/** Runs a drain of an agent. Its upstream must receive no starts from the signal until the agent restarts. */
	private _runAgentDrain(agent: LocalAgent, run: () => Promise<void>): Promise<boolean> {
		return this._runExclusively(agent, async () => {
			const leftAtMs = Date.now();
			try {
				await run();
			} finally {
				this._run.recordUpstreamLeaving(agent.upstream.name, leftAtMs, getLastStartMs(agent));
			}
		});
	}

	/** Drains an agent's upstream and restarts it. */
	private async _drainUpstream(agent: LocalAgent, downMs: number): Promise<void> {
		const leftAtMs = Date.now();
		await this._drainAndRestart(agent.upstream, downMs);
		if (!this._faultyDaemons.has(agent)) {
			this._run.recordUpstreamLeaving(agent.upstream.name, leftAtMs, getLastStartMs(agent.upstream));
		}
	}

	/** Drains an agent by an operator's change and reverts it. The agent leaves once the drain is in force there. */
	private async _drainAgentByOperator(agent: LocalAgent, durationMs: number): Promise<void> {
		const revision = await this._operators.setDrain(agent.name, false);
		let leftAtMs = Infinity;
		await waitFor(`${agent.name} has the drain in force`, inForceTimeoutMs, () => {
			leftAtMs = agent.runs.at(-1)?.revisions.find((seen) => seen.revision >= revision)?.atMs ?? Infinity;
			return Number.isFinite(leftAtMs);
		});
		await delay(upstreamLeavingGraceMs + durationMs);
		const returnedAtMs = Date.now();
		await this._operators.setDrain(agent.name, true);
		this._run.recordUpstreamLeaving(agent.upstream.name, leftAtMs, returnedAtMs);
	}

	private async _drainEntry(entry: LocalEntry, downMs: number): Promise<void> {
		this._drainingEntries.add(entry);
		try {
			await this._drainAndRestart(entry, downMs);
		} finally {
			this._drainingEntries.delete(entry);
		}
	}

	private async _drainAndRestart(daemon: LocalDaemon, downMs: number): Promise<void> {
		const exit = await daemon.stop();
		if (exit.code !== 0) {
			this._failures.push(`${daemon.name} ended its drain with ${JSON.stringify(exit)}.`);
		}
		await delay(downMs);
		await daemon.start();
	}
}

async function killAndRestart(daemon: LocalDaemon, downMs: number): Promise<void> {
	await daemon.kill();
	await delay(downMs);
	await daemon.start();
}

/** Returns the start time of a daemon's newest run that became ready; 0 when there is none. */
function getLastStartMs(daemon: LocalDaemon): number {
	return daemon.runs.at(-1)?.startedAtMs ?? 0;
}

async function holdCuts(durationMs: number, cuts: readonly (IDisposable | undefined)[]): Promise<boolean> {
	await delay(durationMs);
	for (const cut of cuts) {
		cut?.dispose();
	}
	return true;
}

function pickByIndex<T>(list: readonly T[], index: number): T {
	const element = list[index % list.length];
	if (element === undefined) {
		throw new RangeError('A soak needs at least one process of each role.');
	}
	return element;
}
