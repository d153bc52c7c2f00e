/** Measures how many starts a second one core of an entry can carry, against small fakes of agents. */

import { delay, waitFor } from '../../base/common/async.js';
import { DisposableStore } from '../../base/common/disposable.js';
import type { LocalEntry } from '../../proof/node/localDaemon.js';
import { applyBenchTables, benchRoute, startBenchSystem } from './benchTables.js';
import { ClosedLoop } from './closedLoop.js';
import { FakeAgent } from './fakeAgent.js';
import { createFakeOptions } from './fakeAgents.js';
import { readProcessUsage } from './processUsage.js';

/** What was measured. */
export interface StartRate {
	/** Starts over the entry's own processor time. */
	readonly startsPerSecondPerEntryCore: number;
	/** Starts over the time that passed. */
	readonly startsPerSecond: number;
	readonly entryResidentBytes: number;
	readonly jobsNotWhole: number;
}

const tasksPerJob = 40;
const openJobs = 48;
const fakeAgents = 11;
const warmUpMs = 3000;
const measureMs = 6000;

/**
 * Runs one entry with fake agents under jobs of 40 tasks.
 *
 * @example
 * const { startsPerSecondPerEntryCore } = await measureStartRate();
 */
export async function measureStartRate(): Promise<StartRate> {
	const store = new DisposableStore();
	try {
		const system = store.add(await startBenchSystem({ keepers: 1, entries: 1, agents: [] }));
		await applyBenchTables(system);
		await system.waitUntilServing();
		const [entry] = system.entries;
		if (entry === undefined) {
			throw new RangeError('The bench needs an entry.');
		}
		const agents = Array.from({ length: fakeAgents }, (_, index) =>
			store.add(new FakeAgent(createFakeOptions(entry, index))),
		);
		await waitFor('every fake agent is connected', 5000, () => agents.every((agent) => agent.isConnected));
		const load = store.add(
			new ClosedLoop({ url: entry.url, route: benchRoute, tasksPerJob, openJobs, runMs: 0 }),
		);
		await delay(warmUpMs);
		const rate = await measure(entry, () => agents.reduce((sum, agent) => sum + agent.startedTasks, 0));
		const { notWhole } = await load.stop();
		return { ...rate, jobsNotWhole: notWhole };
	} finally {
		store.dispose();
	}
}

async function measure(
	entry: LocalEntry,
	countStarts: () => number,
): Promise<Omit<StartRate, 'jobsNotWhole'>> {
	const before = { ...readProcessUsage(entry.process.pid), atMs: performance.now(), starts: countStarts() };
	await delay(measureMs);
	const after = { ...readProcessUsage(entry.process.pid), atMs: performance.now(), starts: countStarts() };
	const starts = after.starts - before.starts;
	return {
		startsPerSecondPerEntryCore: Math.round(starts / ((after.cpuMs - before.cpuMs) / 1000)),
		startsPerSecond: Math.round(starts / ((after.atMs - before.atMs) / 1000)),
		entryResidentBytes: after.residentBytes,
	};
}
