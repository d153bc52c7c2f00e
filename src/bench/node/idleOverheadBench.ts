/** Measures what the system adds to a task when it is idle: tasks without run time, one at a time, without delays. */

import { DisposableStore } from '../../base/common/disposable.js';
import { LocalSystem } from '../../proof/node/localSystem.js';
import { percentilesOf, type Percentiles } from '../common/benchReport.js';
import { applyBenchTables, benchPool, benchRoute } from './benchTables.js';
import { ClosedLoop } from './closedLoop.js';
import { readProcessUsage } from './processUsage.js';

/** What was measured. */
export interface IdleOverhead {
	/** Response time of a single task that takes no time, through an entry that is not the pool's home half the time. */
	readonly overheadMs: Percentiles;
	readonly agentResidentBytes: number;
	readonly entryResidentBytes: number;
}

const warmUpJobs = 300;
const measuredJobs = 1500;

/**
 * Sends single tasks one after another to each of two entries.
 *
 * @example
 * const { overheadMs } = await measureIdleOverhead();
 */
export async function measureIdleOverhead(): Promise<IdleOverhead> {
	const store = new DisposableStore();
	try {
		const agents = [{ pool: benchPool }, { pool: benchPool }];
		const system = store.add(await LocalSystem.start({ keepers: 1, entries: 2, agents }));
		await applyBenchTables(system);
		await system.waitUntilServing();
		const responsesMs: number[] = [];
		for (const entry of system.entries) {
			const options = { entryUrl: entry.url, route: benchRoute, tasksPerJob: 1, openJobs: 1, runMs: 0 };
			const load = store.add(new ClosedLoop({ ...options, maxJobs: warmUpJobs + measuredJobs }));
			const report = await load.finished;
			responsesMs.push(...report.responsesMs.slice(warmUpJobs));
		}
		const agentUsage = system.agents.map((agent) => readProcessUsage(agent.process.pid).residentBytes);
		const entryUsage = system.entries.map((entry) => readProcessUsage(entry.process.pid).residentBytes);
		const overhead = {
			overheadMs: percentilesOf(responsesMs),
			agentResidentBytes: Math.max(...agentUsage),
			entryResidentBytes: Math.max(...entryUsage),
		};
		await system.drain();
		return overhead;
	} finally {
		store.dispose();
	}
}
