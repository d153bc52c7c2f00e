/** Callers that leave and come back at once at the same entry. */

import test from 'ava';
import { findConcurrentRuns } from './concurrentRuns.js';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 };
const jobCount = 8;

// Guards against a start at one worker while another one still stops the earlier run.
test('jobs whose callers leave and come back at once do not run beside their earlier runs', async (t) => {
	const system = new MemorySystem(t, { entryCount: 1, workerCount: 3, capacity, workerRestartMs: 600 });
	await system.waitUntilReady();
	const script = { durationMs: 400, needs };
	const jobs = Array.from({ length: jobCount }, (_, index) => ({
		...{ jobId: `job-${index}`, waitMs: 8000, objectiveMs: 8000 },
	}));
	const callers = new AbortController();
	const first = jobs.map(async (job) => system.submit(0, script, job, callers.signal));
	await waitUntil(() => system.workers.reduce((sum, { runCount }) => sum + runCount, 0) === jobCount);
	callers.abort();
	await Promise.all(first);
	const outcomes = await Promise.all(jobs.map(async (job) => system.submit(0, script, job)));
	t.deepEqual(
		outcomes.filter(({ kind }) => kind !== 'completed'),
		[],
	);
	const starts = system.workers.flatMap((worker) => worker.starts);
	t.is(starts.length, 2 * jobCount);
	t.deepEqual(findConcurrentRuns(starts), []);
});
