/** What one more agent, and one more task, costs an entry. */

import { delay, waitFor } from '../../base/common/async.js';
import { DisposableStore } from '../../base/common/disposable.js';
import type { LocalEntry } from '../../proof/node/localDaemon.js';
import { fitLine, type LinearFit } from '../common/linearFit.js';
import { applyBenchTables, benchRoute, startBenchSystem } from './benchTables.js';
import { ClosedLoop } from './closedLoop.js';
import { FakeAgent } from './fakeAgent.js';
import { createFakeOptions } from './fakeAgents.js';
import { meterIdle, type MeteredUsage } from './usageMeter.js';

/** Slopes of an entry. */
export interface EntrySlopes {
	/** Processor time a second, in milliseconds, by connected agent. */
	readonly idleCpuMsPerSecond: LinearFit;
	/** Bytes a second on the links to agents, by connected agent. */
	readonly idleBytesPerSecond: LinearFit;
	/** Resident memory by connected agent. */
	readonly residentBytes: LinearFit;
	/** Processor time of a job, in milliseconds, by its tasks. */
	readonly cpuMsPerJob: LinearFit;
	/** Bytes between entry and agents of a job, by its tasks. */
	readonly agentBytesPerJob: LinearFit;
}

const agentCounts = [10, 50, 100, 200] as const;
const tasksPerJobCounts = [1, 10, 40, 120] as const;
const idleSpanMs = 4000;
const loadSpanMs = 4000;
const warmUpMs = 2000;
const openJobs = 16;
const connectTimeoutMs = 10_000;

/**
 * Measures one entry with growing numbers of agents, and with growing jobs.
 *
 * @example
 * const slopes = await measureEntrySlopes();
 */
export async function measureEntrySlopes(): Promise<EntrySlopes> {
	const idle: { agents: number; usage: MeteredUsage }[] = [];
	for (const agents of agentCounts) {
		idle.push({ agents, usage: await withEntry(agents, (entry) => meterIdleEntry(entry)) });
	}
	const loaded: { tasks: number; cpuMs: number; bytes: number }[] = [];
	for (const tasks of tasksPerJobCounts) {
		loaded.push(await withEntry(agentCounts[0], (entry) => meterJobs(entry, tasks)));
	}
	const perSecond = (usage: MeteredUsage, value: number): number => value / (usage.elapsedMs / 1000);
	const fitIdle = (valueOf: (usage: MeteredUsage) => number): LinearFit =>
		fitLine(idle.map(({ agents, usage }) => ({ x: agents, y: valueOf(usage) })));
	return {
		idleCpuMsPerSecond: fitIdle((usage) => perSecond(usage, usage.cpuMs)),
		idleBytesPerSecond: fitIdle((usage) => perSecond(usage, usage.linkBytes)),
		residentBytes: fitIdle((usage) => usage.residentBytes),
		cpuMsPerJob: fitLine(loaded.map(({ tasks, cpuMs }) => ({ x: tasks, y: cpuMs }))),
		agentBytesPerJob: fitLine(loaded.map(({ tasks, bytes }) => ({ x: tasks, y: bytes }))),
	};
}

async function withEntry<T>(agents: number, measure: (entry: LocalEntry) => Promise<T>): Promise<T> {
	const store = new DisposableStore();
	try {
		const system = store.add(
			await startBenchSystem({ keepers: 1, entries: 1, agents: [], proxies: ['entryPeer'] }),
		);
		await applyBenchTables(system);
		await system.waitUntilServing();
		const [entry] = system.entries;
		if (entry === undefined) {
			throw new RangeError('The measurement needs an entry.');
		}
		const fakes = Array.from({ length: agents }, (_, index) =>
			store.add(new FakeAgent(createFakeOptions(entry, index))),
		);
		await waitFor('every fake agent is connected', connectTimeoutMs, () =>
			fakes.every((fake) => fake.isConnected),
		);
		return await measure(entry);
	} finally {
		store.dispose();
	}
}

async function meterIdleEntry(entry: LocalEntry): Promise<MeteredUsage> {
	await delay(warmUpMs);
	return meterIdle(entry.process.pid, [entry.peerProxy], idleSpanMs);
}

async function meterJobs(
	entry: LocalEntry,
	tasksPerJob: number,
): Promise<{ tasks: number; cpuMs: number; bytes: number }> {
	const load = new ClosedLoop({ url: entry.url, route: benchRoute, tasksPerJob, openJobs, runMs: 0 });
	try {
		await delay(warmUpMs);
		const before = await load.count();
		const usage = await meterIdle(entry.process.pid, [entry.peerProxy], loadSpanMs);
		const jobs = (await load.count()) - before;
		await load.stop();
		return { tasks: tasksPerJob, cpuMs: usage.cpuMs / jobs, bytes: usage.linkBytes / jobs };
	} finally {
		load.dispose();
	}
}
