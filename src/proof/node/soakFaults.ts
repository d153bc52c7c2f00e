/** Injects the faults of a soak, one on a process at a time, and takes them back. */

import { match } from 'ts-pattern';
import { delay } from '../../base/common/async.js';
import type { IDisposable } from '../../base/common/disposable.js';
import type { SoakFault } from '../common/soakPlan.js';
import type { LocalDaemon, LocalEntry } from './localDaemon.js';
import type { ProofRun } from './proofRun.js';

/** Longest added one-way delay. */
const addedDelayMs = 100;

/** Faults on the processes of one run. */
export class SoakFaults {
	private readonly _busy = new Set<LocalDaemon>();
	private readonly _unready = new Set<LocalEntry>();
	private readonly _failures: string[] = [];

	constructor(private readonly _run: ProofRun) {}

	/** Processes that ended otherwise than they must, as sentences. */
	get failures(): readonly string[] {
		return this._failures;
	}

	/** Entries that the balancer sends readers to now. */
	servingEntries(): LocalEntry[] {
		return this._run.system.entries.filter((entry) => entry.isRunning && !this._unready.has(entry));
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
			.with('freezeEntry', () => this._onEntry(entry, () => freezeFor(entry, ms)))
			.with('drainEntry', () => this._on(entry, () => this._drainEntry(entry, ms)))
			.with('killAgent', () => this._on(agent, () => killFor(agent, ms)))
			.with('freezeAgent', () => this._on(agent, () => freezeFor(agent, ms)))
			.with('drainAgent', () => this._on(agent, () => this._drainFor(agent, ms)))
			.with('killUpstream', () => this._on(agent.upstream, () => killFor(agent.upstream, ms)))
			.with('drainUpstream', () => this._on(agent.upstream, () => this._drainFor(agent.upstream, ms)))
			.with('killKeeper', () => this._on(keeper, () => killFor(keeper, ms)))
			.with('freezeKeeper', () => this._on(keeper, () => freezeFor(keeper, ms)))
			.with('cutAgentToEntry', () => holdAll(ms, [entry.peerProxy?.cut('toServer', { client: agent.name })]))
			.with('cutEntryToAgent', () => holdAll(ms, [entry.peerProxy?.cut('toClient', { client: agent.name })]))
			.with('cutEntryToKeeper', () =>
				holdAll(
					ms,
					system.keepers.map(({ peerProxy }) => peerProxy?.cut('toServer', { client: entry.name })),
				),
			)
			.with('cutKeeperToEntry', () =>
				holdAll(
					ms,
					system.keepers.map(({ peerProxy }) => peerProxy?.cut('toClient', { client: entry.name })),
				),
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

async function freezeFor(daemon: LocalDaemon, ms: number): Promise<void> {
	daemon.process.pause();
	try {
		await delay(ms);
	} finally {
		daemon.process.resume();
	}
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
