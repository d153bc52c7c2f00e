/** A worker that has restarted: until when its runs may be at work, and which of its ends an agent acknowledges. */

import test from 'ava';
import { Harness, waitUntil } from './executorHarness.js';

/** Longest lease that a worker grants; a start with a lease by the clock of an earlier life holds for as long. */
const maxWorkerLeaseMs = 1000;

// Guards against a report that a run is lost while the restarted worker still holds its first lease.
test('a run that a restarted worker has taken is lost only once the longest lease of its start has lapsed', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'earlier');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.restart(2000);
	harness.start(1, 'later');
	const takenMs = performance.now();
	await waitUntil(() => harness.ends().some(({ jobId }) => jobId === 'earlier'));
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.ends().some(({ jobId }) => jobId === 'later'));
	t.like(harness.ends()[1], { jobId: 'later', end: 'lost' });
	const afterMs = performance.now() - takenMs;
	t.log(`lost after ${Math.round(afterMs)} ms`);
	t.true(afterMs > maxWorkerLeaseMs);
});

// Guards against an acknowledgement of an end that the agent has not read, after which its task is started again.
test('a late poll does not acknowledge ends of a life that the agent does not know yet', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	for (const jobId of ['a', 'b', 'c']) {
		harness.start(1, jobId);
		await waitUntil(() => harness.worker.running.size === 1);
		harness.worker.endRun({ jobId, taskIndex: 0, run: 1 }, 'done');
		await waitUntil(() => harness.ends().some((end) => end.jobId === jobId));
	}
	await waitUntil(() => harness.worker.acknowledgedEnd === 3);
	// The agent reads the last answer of the earlier life late; the worker has restarted meanwhile.
	const hold = harness.worker.hold.bind(harness.worker);
	let highestAcknowledged = 0;
	harness.worker.hold = async (order) => {
		if (harness.worker.bornAtMs === 1000) {
			const answer = await hold(order);
			await new Promise((resolve) => setTimeout(resolve, 600));
			harness.worker.restart(2000);
			harness.start(1, 'later');
			return answer;
		}
		highestAcknowledged = Math.max(highestAcknowledged, order.acknowledgedEnd);
		// Ends up to the acknowledged one are forgotten.
		const answer = await hold(order);
		const keptCount = harness.worker.ended.filter(({ number }) => number > highestAcknowledged).length;
		harness.worker.ended.splice(0, harness.worker.ended.length - keptCount);
		return answer;
	};
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.endRun({ jobId: 'later', taskIndex: 0, run: 1 }, 'done');
	await waitUntil(() => harness.ends().some(({ jobId }) => jobId === 'later'));
	t.log(`highest acknowledged end: ${highestAcknowledged}`);
	t.like(harness.ends().at(-1), { jobId: 'later', end: 'done' });
});

// Guards against a task that goes on and counts as one that has crashed a worker.
test('a run that a restarted worker has taken is not among those of the crash when an announcement tells of the restart', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'earlier');
	await waitUntil(() => harness.worker.running.size === 1);
	// The poll waits for the end of a run; the question whether the announcement holds is answered at once.
	const hold = harness.worker.hold.bind(harness.worker);
	harness.worker.hold = async (order) => {
		await new Promise((resolve) => setTimeout(resolve, order.waitMs));
		return hold(order);
	};
	await new Promise((resolve) => setTimeout(resolve, 100));
	harness.worker.restart(2000);
	harness.start(1, 'later');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.announce({ bornAtMs: 2000 });
	await waitUntil(() => harness.ends().some(({ jobId }) => jobId === 'earlier'));
	const crashedRuns = harness.reports
		.flatMap(({ report }) => report.crashes ?? [])
		.flatMap(({ runs }) => runs);
	t.log(JSON.stringify(crashedRuns));
	t.deepEqual(
		crashedRuns.map(({ jobId }) => jobId),
		['earlier'],
	);
	t.true(harness.worker.running.has('later/0'));
});

// Guards against a run elsewhere beside a start that a restarted worker has carried out late.
test('a run that was lost with its worker is reported only once the new life runs no earlier start of its task', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.startHandling = 'lost';
	harness.start(1, 'job', { run: 1, startId: 1 });
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { run: 1, end: 'stopped' });
	harness.worker.startHandling = 'answered';
	harness.start(1, 'job', { run: 2, startId: 2 });
	await waitUntil(() => harness.worker.running.size === 1);
	await new Promise((resolve) => setTimeout(resolve, 100));
	harness.worker.restart(2000);
	harness.worker.stopHandling = 'lost';
	// The first start, which was not answered, reaches the new life before any order with a higher token.
	const [late] = harness.worker.starts;
	t.like(await harness.worker.start({ ...late!, leaseUntilMs: performance.now() + 1000 }), {
		kind: 'started',
	});
	await waitUntil(() => harness.worker.stops.some(({ fencingToken }) => fencingToken > 100));
	await new Promise((resolve) => setTimeout(resolve, 60));
	t.true(harness.worker.running.has('job/0'));
	t.deepEqual(harness.ends().slice(1), [], 'no end is reported while a run of the task is at work');
});
