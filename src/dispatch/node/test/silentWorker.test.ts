/** Runs of a worker that doesn't answer: what proves to its agent that they have ended. */

import test, { type ExecutionContext } from 'ava';
import { leaseDurationMs } from '../../common/workerLease.js';
import { Harness, waitUntil } from './executorHarness.js';

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
