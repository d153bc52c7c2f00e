/** What an agent costs when it is idle, and what one more task costs it. */

import { delay } from '../../base/common/async.js';
import { DisposableStore } from '../../base/common/disposable.js';
import { LocalSystem } from '../../proof/node/localSystem.js';
import { fitLine, type LinearFit } from '../common/linearFit.js';
import { applyBenchTables, benchPool, benchRoute, startBenchSystem } from './benchTables.js';
import { ClosedLoop } from './closedLoop.js';
import { meterIdle, type MeteredUsage } from './usageMeter.js';

/** Costs of an agent. */
export interface AgentSlopes {
	/** Processor time a second, in milliseconds, by tasks a second. */
	readonly cpuMsPerSecond: LinearFit;
	/** Bytes a second on the links to keepers and entries, by tasks a second. */
	readonly bytesPerSecond: LinearFit;
	/** Resident memory by tasks that are remembered. */
	readonly residentBytes: LinearFit;
	/** What an idle agent with two entries and one keeper uses in a second. */
	readonly idle: { readonly cpuMs: number; readonly controlBytes: number; readonly residentBytes: number };
}

const openJobCounts = [1, 4, 16] as const;
const idleSpanMs = 5000;
const loadSpanMs = 4000;
const warmUpMs = 2000;

interface AgentSample {
	readonly tasksPerSecond: number;
	readonly remembered: number;
	readonly usage: MeteredUsage;
}

/**
 * Measures one agent beside a stand-in upstream.
 *
 * @example
 * const slopes = await measureAgentSlopes();
 */
export async function measureAgentSlopes(): Promise<AgentSlopes> {
	const store = new DisposableStore();
	try {
		const system = store.add(
			await startBenchSystem({
				keepers: 1,
				entries: 2,
				agents: [{ pool: benchPool, slots: 32 }],
				proxies: ['keeperPeer', 'entryPeer'],
			}),
		);
		await applyBenchTables(system);
		await system.waitUntilServing();
		await delay(warmUpMs);
		const samples = [await measureIdle(system)];
		for (const openJobs of openJobCounts) {
			samples.push(await measureLoad(system, openJobs, samples.at(-1)?.remembered ?? 0));
		}
		return summarize(samples);
	} finally {
		store.dispose();
	}
}

async function measureIdle(system: LocalSystem): Promise<AgentSample> {
	return { tasksPerSecond: 0, remembered: 0, usage: await meterAgent(system, idleSpanMs) };
}

async function measureLoad(
	system: LocalSystem,
	openJobs: number,
	rememberedBefore: number,
): Promise<AgentSample> {
	const [entry] = system.entries;
	if (entry === undefined) {
		throw new RangeError('The measurement needs an entry.');
	}
	const load = new ClosedLoop({ url: entry.url, route: benchRoute, tasksPerJob: 1, openJobs, runMs: 0 });
	try {
		await delay(warmUpMs);
		const before = await load.count();
		const usage = await meterAgent(system, loadSpanMs);
		const after = await load.count();
		await load.stop();
		return {
			tasksPerSecond: (after - before) / (usage.elapsedMs / 1000),
			remembered: rememberedBefore + after,
			usage,
		};
	} finally {
		load.dispose();
	}
}

/** The links are those of the keeper and the entries; the keeper also talks to the entries, which is left in. */
async function meterAgent(system: LocalSystem, spanMs: number): Promise<MeteredUsage> {
	const [agent] = system.agents;
	if (agent === undefined) {
		throw new RangeError('The measurement needs an agent.');
	}
	const links = system.entries.map((entry) => entry.peerProxy);
	return meterIdle(agent.process.pid, links, spanMs);
}

function summarize(samples: readonly AgentSample[]): AgentSlopes {
	const [idle] = samples;
	if (idle === undefined) {
		throw new RangeError('A summary needs a sample.');
	}
	const perSecond = (usage: MeteredUsage, value: number): number => value / (usage.elapsedMs / 1000);
	const fit = (xOf: (sample: AgentSample) => number, yOf: (sample: AgentSample) => number): LinearFit =>
		fitLine(samples.map((sample) => ({ x: xOf(sample), y: yOf(sample) })));
	return {
		cpuMsPerSecond: fit(
			(sample) => sample.tasksPerSecond,
			({ usage }) => perSecond(usage, usage.cpuMs),
		),
		bytesPerSecond: fit(
			(sample) => sample.tasksPerSecond,
			({ usage }) => perSecond(usage, usage.linkBytes),
		),
		residentBytes: fit(
			(sample) => sample.remembered,
			({ usage }) => usage.residentBytes,
		),
		idle: {
			cpuMs: perSecond(idle.usage, idle.usage.cpuMs),
			controlBytes: perSecond(idle.usage, idle.usage.linkBytes),
			residentBytes: idle.usage.residentBytes,
		},
	};
}
