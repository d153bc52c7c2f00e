/** Runs of a worker that doesn't answer: what proves to its agent that they have ended. */

import test, { type ExecutionContext } from 'ava';
import { monotonicClock } from '../../../base/common/clock.js';
import { leaseDurationMs } from '../../common/workerLease.js';
import { Harness, waitUntil } from './executorHarness.js';

/** Longest lease that a worker grants. */
const longestLeaseMs = 1000;
/** Margin after a lease. */
const lapseMarginMs = 100;

/** Creates an agent whose worker runs a task and has said that it leaves. */
async function createLeavingWorker(t: ExecutionContext): Promise<Harness> {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.executor.handleWorkerLeft('w-1');
	await waitUntil(() => harness.state?.isAccepting === false);
	return harness;
}

// Guards against a report that a run is lost, so that its task is started elsewhere, while a leaving worker still runs it.
test('a run of a leaving worker goes on when an answer of the worker is lost', async (t) => {
	const harness = await createLeavingWorker(t);
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.worker.unansweredHolds === 1);
	harness.worker.holdHandling = 'answered';
	await new Promise((resolve) => setTimeout(resolve, 200));
	t.deepEqual(harness.ends(), []);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'done' });
});

test('a run of a leaving worker that answers no more is lost once its lease has lapsed', async (t) => {
	const harness = await createLeavingWorker(t);
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	t.true(performance.now() > harness.worker.leaseUntilMs);
	await waitUntil(() => harness.state === undefined);
	t.is(harness.executor.runCount, 0);
});

test('a run of a leaving worker is lost at once when its connections are refused', async (t) => {
	const harness = await createLeavingWorker(t);
	const leftAtMs = performance.now();
	harness.worker.holdHandling = 'undelivered';
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	t.true(performance.now() - leftAtMs < leaseDurationMs / 2);
});

interface SilentWorker {
	readonly harness: Harness;
	/** Lets a time pass by the agent's clock, and waits until it has polled the worker. */
	readonly advance: (byMs: number) => Promise<void>;
	readonly getLostJobs: () => readonly string[];
}

/** Creates an agent whose clock stands still, and whose worker has listed one of its two runs and is silent from now on. */
async function createSilentWorker(t: ExecutionContext): Promise<SilentWorker> {
	let nowMs = monotonicClock.nowMs();
	const harness = new Harness(t, undefined, undefined, { nowMs: () => nowMs });
	await harness.makeReady();
	harness.start(1, 'listed');
	await waitUntil(() => harness.worker.running.size === 1);
	const answeredBefore = harness.worker.answeredHolds;
	await waitUntil(() => harness.worker.answeredHolds > answeredBefore + 2);
	harness.start(1, 'unlisted');
	t.true(harness.worker.running.delete('unlisted/0'), 'the worker has taken the run and lists it nowhere');
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.state?.isAccepting === false);
	const advance = async (byMs: number): Promise<void> => {
		nowMs += byMs;
		const lostBefore = harness.worker.unansweredHolds;
		await waitUntil(() => harness.worker.unansweredHolds > lostBefore + 2);
		await new Promise((resolve) => setImmediate(resolve));
	};
	const getLostJobs = (): readonly string[] =>
		harness.ends().flatMap(({ jobId, end }) => (end === 'lost' ? [jobId] : []));
	return { harness, advance, getLostJobs };
}

// Guards against a report that a run is lost while a restarted worker, by whose clock its lease lies ahead, still runs it.
test('a run that a silent worker has never listed is lost only after the longest lease that workers grant', async (t) => {
	const { harness, advance, getLostJobs } = await createSilentWorker(t);
	await advance(leaseDurationMs + lapseMarginMs - 1);
	t.deepEqual(getLostJobs(), []);
	await advance(2);
	await waitUntil(() => getLostJobs().length > 0);
	t.deepEqual(getLostJobs(), ['listed']);
	await advance(longestLeaseMs - leaseDurationMs - 2);
	t.deepEqual(getLostJobs(), ['listed']);
	await advance(2);
	await waitUntil(() => getLostJobs().length === 2);
	t.is(harness.executor.runCount, 0);
});

test('all runs of a worker whose connections are refused are lost when their lease has lapsed', async (t) => {
	const { harness, advance, getLostJobs } = await createSilentWorker(t);
	await advance(leaseDurationMs + lapseMarginMs - 1);
	t.deepEqual(getLostJobs(), []);
	harness.worker.holdHandling = 'undelivered';
	await advance(2);
	await waitUntil(() => getLostJobs().length === 2);
	t.is(harness.executor.runCount, 0);
});

test('a run that a leaving worker has never listed is lost only after the longest lease that workers grant', async (t) => {
	const { harness, advance, getLostJobs } = await createSilentWorker(t);
	harness.executor.handleWorkerLeft('w-1');
	await advance(leaseDurationMs + lapseMarginMs + 1);
	t.deepEqual(getLostJobs(), ['listed']);
	await advance(longestLeaseMs - leaseDurationMs);
	await waitUntil(() => getLostJobs().length === 2);
	await waitUntil(() => harness.state === undefined);
	t.pass();
});
