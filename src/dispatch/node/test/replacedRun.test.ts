/** Starts of a task of which an agent still holds an earlier run: nothing tells the entry to start it elsewhere before that run's end. */

import test, { type ExecutionContext } from 'ava';
import { findConcurrentRuns } from './concurrentRuns.js';
import { Harness, waitUntil } from './executorHarness.js';
import { MemorySystem, waitUntil as waitUntilSystem } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 4000, memoryMb: 1000, accelerators: 0 };
const noCapacity = { cpuMillis: 0, memoryMb: 1000, accelerators: 0 };
const task = { jobId: 'job', taskIndex: 0 };

/** Longer than a refusal takes that waits for nothing. */
async function waitForReports(): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, 60));
}

/** Creates an agent that holds a start of entry 1 whose stop is not answered, and is connected to entry 2 as connection 2. */
async function holdRun(t: ExecutionContext, run: number): Promise<Harness> {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.executor.handleEntryConnected(2, 'entry-2', 'life-1');
	harness.start(1, 'job', { run, startId: 5 });
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.stopHandling = 'lost';
	return harness;
}

const laterStarts = {
	'with a higher number, from the same entry': { connectionId: 1, run: 3, reason: 'noRoom' },
	'with the same number, from the same entry': { connectionId: 1, run: 2, reason: 'olderRun' },
	'with a higher number, from another entry': { connectionId: 2, run: 3, reason: 'noRoom' },
	'with a lower number, from another entry': { connectionId: 2, run: 1, reason: 'olderRun' },
} as const;

for (const [name, { connectionId, run, reason }] of Object.entries(laterStarts)) {
	// Guards against a refusal that lets the entry start a task elsewhere while its earlier run is being stopped.
	test(`a start ${name} stops the held run, and is refused only once that has ended`, async (t) => {
		const harness = await holdRun(t, 2);
		harness.start(connectionId, 'job', { run, startId: 6 });
		await waitUntil(() => harness.worker.stops.length > 0);
		await waitForReports();
		t.deepEqual(harness.ends(connectionId), [], 'no refusal before the end of the held run');
		harness.worker.stopHandling = 'answered';
		await waitUntil(() => harness.ends(1).some(({ startId }) => startId === 5));
		await waitUntil(() => harness.ends(connectionId).some(({ startId }) => startId === 6));
		t.like(
			harness.ends(1).find(({ startId }) => startId === 5),
			{ run: 2, end: 'stopped' },
		);
		t.like(
			harness.ends(connectionId).find(({ startId }) => startId === 6),
			{ run, end: 'refused', reason, knownRun: 2 },
		);
	});
}

test('a start at a leaving worker that holds an earlier run is refused only once that has ended', async (t) => {
	const harness = await holdRun(t, 1);
	harness.announce({ isLeaving: true, remainingMs: 60_000 });
	harness.start(2, 'job', { run: 2, startId: 1 });
	await waitForReports();
	t.deepEqual(harness.ends(2), []);
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.ends(2).length === 1);
	t.like(harness.ends(2)[0], { end: 'refused', reason: 'notAccepting', knownRun: 1 });
});

test('a start that comes too late does not stop a run for another entry', async (t) => {
	const harness = await holdRun(t, 1);
	const { incarnation, clockMs } = harness.state!.workerTime!;
	harness.sentAt = { incarnation, clockMs: clockMs - 1000 };
	harness.start(2, 'job', { run: 2, startId: 1 });
	await waitForReports();
	t.deepEqual(harness.worker.stops, []);
	t.deepEqual(harness.ends(2), []);
	harness.worker.endRun({ ...task, run: 1 }, 'done');
	await waitUntil(() => harness.ends(2).length === 1);
	t.like(harness.ends(1)[0], { end: 'done' });
	t.like(harness.ends(2)[0], { end: 'refused', reason: 'expired' });
});

test('a start whose refusal waits counts as held for an entry that reconnects, and a stop of it stops nothing', async (t) => {
	const harness = await holdRun(t, 1);
	harness.start(2, 'job', { run: 2, startId: 1 });
	await waitUntil(() => harness.worker.stops.length > 0);
	harness.executor.handleEntryLost(2, 0);
	harness.executor.handleEntryConnected(3, 'entry-2', 'life-1');
	await waitUntil(() => harness.reports.some(({ connectionId }) => connectionId === 3));
	const firstReport = harness.reports.find(({ connectionId }) => connectionId === 3);
	t.deepEqual(firstReport?.report.heldRuns, [{ ...task, run: 2, startId: 1 }]);
	harness.executor.handleStopTasks(3, {
		kind: 'stopTasks',
		tasks: [{ ...task, run: 2, startId: 1 }],
	});
	await waitForReports();
	t.deepEqual(harness.ends(3), []);
	harness.executor.handleEntryLost(3, 0);
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.ends(1).length === 1);
	harness.executor.handleEntryConnected(4, 'entry-2', 'life-1');
	await waitUntil(() => harness.ends(4).length === 1);
	t.like(harness.ends(4)[0], { run: 2, startId: 1, end: 'refused', knownRun: 1 });
	t.is(harness.ends(1).length, 1);
});

test('a refusal that waits is reported when the lease of a silent worker has lapsed', async (t) => {
	const harness = await holdRun(t, 1);
	harness.worker.holdHandling = 'lost';
	harness.start(2, 'job', { run: 2, startId: 1 });
	await waitUntil(() => harness.ends(2).length === 1);
	t.true(performance.now() > harness.worker.leaseUntilMs);
	t.like(harness.ends(1)[0], { end: 'lost' });
	t.like(harness.ends(2)[0], { end: 'refused', knownRun: 1 });
});

test('a refusal that waits is reported when the worker has restarted', async (t) => {
	const harness = await holdRun(t, 1);
	harness.start(2, 'job', { run: 2, startId: 1 });
	await waitUntil(() => harness.worker.stops.length > 0);
	harness.worker.stopHandling = 'answered';
	harness.worker.restart(2000);
	await waitUntil(() => harness.ends(2).length === 1);
	t.like(harness.ends(1)[0], { end: 'lost' });
	t.like(harness.ends(2)[0], { end: 'refused', knownRun: 1 });
});

// Guards against a start at another worker while the worker that has refused it still stops the earlier run.
test('a job whose caller has left and comes again at once does not run beside its earlier run', async (t) => {
	const system = new MemorySystem(t, { entryCount: 1, workerCount: 2, capacity, workerRestartMs: 600 });
	await system.waitUntilReady();
	system.workers[1]?.setCapacity(noCapacity);
	await new Promise((resolve) => setTimeout(resolve, 100));
	const request = { waitMs: 8000, objectiveMs: 8000 };
	const script = { durationMs: 300, needs };
	const caller = new AbortController();
	const first = system.submit(0, script, request, caller.signal);
	await waitUntilSystem(() => system.workers[0]?.runCount === 1);
	caller.abort();
	await first;
	const second = system.submit(0, script, request);
	await new Promise((resolve) => setImmediate(resolve));
	system.workers[1]?.setCapacity(capacity);
	t.deepEqual(await second, { kind: 'completed' });
	t.deepEqual(findConcurrentRuns(system.getStarts('job/0')), []);
});
