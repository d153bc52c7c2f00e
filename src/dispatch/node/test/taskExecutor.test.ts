/**
 * Tests for each kind of loss at an agent how long a run can continue at most, and what is reported to entries.
 * The limits are listed in docs/PLATFORM.md.
 */

import test from 'ava';
import { monotonicClock, type IClock } from '../../../base/common/clock.js';
import type { WorkerAnnouncement } from '../../common/taskWorker.js';
import { leaseDurationMs } from '../../common/workerLease.js';
import { reconnectGraceMs } from '../lostEntryMonitor.js';
import { announcement, Harness, waitUntil } from './executorHarness.js';

test('the end of a run is reported to the entry and acknowledged to the worker', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await waitUntil(() => harness.ends().length === 1);
	t.deepEqual(harness.ends(), [{ jobId: 'job', taskIndex: 0, run: 1, end: 'done' }]);
	await waitUntil(() => harness.worker.acknowledgedEnd === 1);
	t.is(harness.executor.runCount, 0);
});

test('a task that does not fit is refused and not sent to the worker', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'a');
	harness.start(1, 'b');
	harness.start(1, 'c');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'c', end: 'refused', reason: 'noRoom' });
	t.is(harness.worker.starts.length, 2);
});

test('runs of a lost entry are stopped after the grace period unless the entry reconnects', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.executor.handleEntryLost(1, 0);
	harness.executor.handleEntryConnected(2, 'entry-1', 'life-1');
	await new Promise((resolve) => setTimeout(resolve, reconnectGraceMs + 100));
	t.is(harness.worker.running.size, 1);
	await waitUntil(() => harness.reports.some(({ report }) => report.heldRuns?.length === 1));
	const lostAtMs = performance.now();
	harness.executor.handleEntryLost(2, 0);
	await waitUntil(() => harness.worker.running.size === 0);
	t.true(performance.now() - lostAtMs >= reconnectGraceMs - 5);
});

test('runs of an earlier incarnation of an entry are stopped at once when a new incarnation connects', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.executor.handleEntryConnected(2, 'entry-1', 'life-2');
	await waitUntil(() => harness.worker.running.size === 0);
	t.is(harness.worker.stops.length, 1);
});

test('ends that an entry missed are reported when it reconnects', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.executor.handleEntryLost(1, 0);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await waitUntil(() => harness.worker.acknowledgedEnd === 1);
	harness.executor.handleEntryConnected(2, 'entry-1', 'life-1');
	await waitUntil(() => harness.ends(2).length === 1);
	t.like(harness.ends(2)[0], { jobId: 'job', end: 'done' });
});

test('a run whose start was not answered continues when the worker lists it', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.startHandling = 'lostAnswer';
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.unansweredStarts === 1);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'done' });
	t.deepEqual(harness.worker.stops, []);
});

test('a lost start is voided by a stop order before its end is reported to the entry', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.startHandling = 'lost';
	harness.worker.stopHandling = 'lostAnswer';
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.stops.length >= 2);
	t.deepEqual(harness.ends(), [], 'no end is reported before the stop order is answered');
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'stopped' });
	harness.worker.startHandling = 'answered';
	const late = harness.worker.starts[0];
	t.like(late === undefined ? undefined : await harness.worker.start(late), { reason: 'olderRun' });
});

test('a run that the worker lists neither as running nor as ended is lost once it has been missing for a while', async (t) => {
	let nowMs = monotonicClock.nowMs();
	const harness = new Harness(t, undefined, undefined, { nowMs: () => nowMs });
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.running.clear();
	const waitForLists = async (): Promise<void> => {
		const answeredBefore = harness.worker.answeredHolds;
		await waitUntil(() => harness.worker.answeredHolds > answeredBefore + 2);
	};
	await waitForLists();
	nowMs += 300;
	await waitForLists();
	t.deepEqual(harness.ends(), []);
	nowMs += 1;
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'lost' });
});

test('runs of a worker that stops responding are reported as lost only after its lease has lapsed', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.state?.isAccepting === false);
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	t.true(
		performance.now() > harness.worker.leaseUntilMs,
		'the lease has lapsed, so the worker has killed the run',
	);
	t.true(harness.worker.leaseUntilMs - performance.now() < leaseDurationMs);
});

test('a worker that restarts under its id loses its runs and is used again after its next announcement', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.running.clear();
	harness.worker.bornAtMs = 2000;
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	harness.start(1, 'next');
	await waitUntil(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { end: 'refused', reason: 'notAccepting' });
	harness.announce({ bornAtMs: 2000 });
	await waitUntil(() => harness.state?.isAccepting === true);
	harness.announce({ bornAtMs: 1000 });
	harness.start(1, 'third');
	await waitUntil(() => harness.worker.running.size === 1);
	t.pass();
});

test('a restarted agent stops the runs of its earlier incarnation before it accepts tasks', async (t) => {
	const harness = new Harness(t, (worker) => {
		worker.highestToken = 160;
		worker.running.set('old/0', { jobId: 'old', taskIndex: 0, run: 3, percent: 10 });
		worker.stopHandling = 'lost';
	});
	harness.announce();
	harness.executor.handleEntryConnected(1, 'entry-1', 'life-1');
	await waitUntil(() => harness.worker.stops.length > 0);
	t.is(harness.state, undefined);
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.state?.isAccepting === true);
	t.is(harness.worker.running.size, 0);
	t.true((harness.worker.stops.at(-1)?.fencingToken ?? 0) > 160);
});

test('at a worker that checks no fencing tokens, an agent whose clock was set back stops earlier runs before it accepts tasks', async (t) => {
	const harness = new Harness(t, (worker) => {
		worker.checksTokens = false;
		worker.highestToken = 160;
		worker.running.set('old/0', { jobId: 'old', taskIndex: 0, run: 3, percent: 10 });
		worker.stopHandling = 'lost';
	});
	harness.announce();
	harness.executor.handleEntryConnected(1, 'entry-1', 'life-1');
	await waitUntil(() => harness.worker.stops.length > 0);
	t.is(harness.state, undefined);
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.state?.isAccepting === true);
	t.is(harness.worker.running.size, 0);
});

for (const checksTokens of [true, false]) {
	const workerKind = checksTokens
		? 'a worker that checks fencing tokens'
		: 'a worker that checks no fencing tokens';

	test(`${workerKind}: a start that is carried out seconds late has no effect`, async (t) => {
		const harness = new Harness(t, (worker) => {
			worker.checksTokens = checksTokens;
		});
		await harness.makeReady();
		harness.worker.startHandling = 'lost';
		harness.worker.stopHandling = 'lost';
		harness.start(1, 'job');
		await waitUntil(() => harness.worker.stops.length > 0);
		const late = harness.worker.starts[0]!;
		await waitUntil(() => performance.now() > late.leaseUntilMs);
		harness.worker.startHandling = 'answered';
		t.like(await harness.worker.start(late), { kind: 'refused', reason: 'leasePast' });
	});

	test(`${workerKind}: an agent that was paused starts nothing with the lease that it computes from its old clock`, async (t) => {
		let pausedMs = 0;
		const clock: IClock = { nowMs: () => monotonicClock.nowMs() - pausedMs };
		const harness = new Harness(
			t,
			(worker) => {
				worker.checksTokens = checksTokens;
			},
			undefined,
			clock,
		);
		await harness.makeReady();
		pausedMs = 2000;
		harness.start(1, 'job');
		await waitUntil(() => harness.ends().length === 1);
		t.like(harness.ends()[0], { jobId: 'job', end: 'refused' });
		t.true(harness.worker.starts.every(({ leaseUntilMs }) => leaseUntilMs < performance.now()));
		t.is(harness.worker.running.size, 0);
		// The next answer of the worker corrects the clock.
		let run = 0;
		await waitUntil(() => {
			run += 1;
			harness.start(1, `next-${run}`);
			return harness.worker.running.size > 0;
		});
		t.true(harness.worker.leaseUntilMs - performance.now() <= leaseDurationMs);
	});
}

test('an agent that was paused refuses the starts that arrived meanwhile', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.sentAt = harness.state?.workerTime;
	harness.start(1, 'prompt');
	await waitUntil(() => harness.worker.running.size === 1);
	await new Promise((resolve) => setTimeout(resolve, 500));
	harness.start(1, 'delayed');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'delayed', end: 'refused', reason: 'expired' });
	t.deepEqual(
		harness.worker.starts.map(({ jobId }) => jobId),
		['prompt'],
	);
});

test('an agent whose clock stood still in a pause starts nothing that arrived meanwhile, also once it knows the time', async (t) => {
	let pausedMs = 0;
	const clock: IClock = { nowMs: () => monotonicClock.nowMs() - pausedMs };
	const harness = new Harness(t, undefined, undefined, clock);
	await harness.makeReady();
	const { incarnation, clockMs } = harness.state!.workerTime!;
	pausedMs = 2000;
	harness.sentAt = { incarnation, clockMs: clockMs - pausedMs };
	const endMs = performance.now() + 300;
	for (let run = 1; performance.now() < endMs; run += 1) {
		harness.start(1, `delayed-${run}`);
		await waitUntil(() => harness.ends().length === run);
	}
	t.is(harness.worker.running.size, 0);
	t.true(harness.ends().every(({ end }) => end === 'refused'));
	t.true(harness.ends().some(({ reason }) => reason === 'expired'));
});

test('a start that was sent to an earlier incarnation of the worker is refused', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.sentAt = harness.state?.workerTime;
	harness.worker.restart(2000);
	await waitUntil(() => harness.state === undefined);
	harness.announce({ bornAtMs: 2000 });
	await waitUntil(() => harness.state?.isAccepting === true);
	harness.start(1, 'job');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'refused', reason: 'expired' });
});

// Guards against a report that a run is lost while it is at work, so that its task is started elsewhere meanwhile.
test.serial(
	'runs that a worker has taken since it restarted continue when the agent learns of the restart',
	async (t) => {
		const harness = new Harness(t);
		await harness.makeReady();
		harness.start(1, 'earlier');
		await waitUntil(() => harness.worker.running.size === 1);
		harness.worker.restart(2000);
		harness.start(1, 'later');
		await waitUntil(() => harness.state === undefined);
		await waitUntil(() => harness.ends().length === 1);
		t.like(harness.ends()[0], { jobId: 'earlier', end: 'lost' });
		await waitUntil(() => harness.worker.acknowledgedEnd === 0);
		harness.worker.endRun({ jobId: 'later', taskIndex: 0, run: 1 }, 'done');
		await waitUntil(() => harness.ends().length === 2);
		t.like(harness.ends()[1], { jobId: 'later', end: 'done' });
		t.false(harness.worker.stops.some(({ jobId }) => jobId === 'later'));
	},
);

test('a start that may still reach a restarted worker is voided there before its run is reported as lost', async (t) => {
	const harness = new Harness(t, (worker) => {
		worker.checksTokens = false;
	});
	await harness.makeReady();
	harness.worker.startHandling = 'lost';
	harness.worker.stopHandling = 'lost';
	harness.start(1, 'job');
	harness.worker.restart(2000);
	await waitUntil(() => harness.worker.stops.some(({ fencingToken }) => fencingToken > 100));
	t.deepEqual(
		harness.ends(),
		[],
		'no end is reported before the restarted worker has answered the stop order',
	);
	harness.worker.stopHandling = 'answered';
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'lost' });
	harness.worker.startHandling = 'answered';
	t.like(await harness.worker.start(harness.worker.starts[0]!), { reason: 'olderRun' });
});

test('a stop that an earlier life of the worker has confirmed is sent again to a restarted one that has the run', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.beforeHoldAnswer = () => {
		harness.worker.beforeHoldAnswer = () => undefined;
		const run = { jobId: 'job', taskIndex: 0, run: 1, percent: 0 };
		harness.executor.handleStopTasks(1, { kind: 'stopTasks', tasks: [run] });
		harness.worker.restart(2000);
		harness.worker.running.set('job/0', run);
	};
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'stopped' });
	t.is(harness.worker.running.size, 0);
	t.is(harness.worker.stops.length, 2);
});

test('ends of a restarted worker are not acknowledged by the numbers of its earlier life', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	for (const jobId of ['a', 'b', 'c']) {
		harness.start(1, jobId);
		await waitUntil(() => harness.worker.running.size === 1);
		harness.worker.endRun({ jobId, taskIndex: 0, run: 1 }, 'done');
		await waitUntil(() => harness.ends().some((end) => end.jobId === jobId));
	}
	await waitUntil(() => harness.worker.acknowledgedEnd === 3);
	harness.worker.holdHandling = 'lost';
	harness.worker.restart(2000);
	harness.start(1, 'later');
	harness.worker.endRun({ jobId: 'later', taskIndex: 0, run: 1 }, 'done');
	await new Promise((resolve) => setTimeout(resolve, 50));
	harness.worker.holdHandling = 'answered';
	await waitUntil(() => harness.ends().length === 4);
	t.like(harness.ends()[3], { jobId: 'later', end: 'done' });
});

test('an order to the earlier life of a worker that restarted under its ID is refused when it is carried out late', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.startHandling = 'lost';
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.starts.length > 0);
	const late = harness.worker.starts[0]!;
	harness.worker.restart(2000);
	harness.worker.startHandling = 'answered';
	await waitUntil(() => harness.ends().length === 1);
	await waitUntil(() => harness.worker.highestToken > 0);
	// The clock of the restarted worker starts at 0, so that the lease of the order is not past there.
	t.like(await harness.worker.start({ ...late, leaseUntilMs: performance.now() + 500 }), {
		kind: 'refused',
		reason: 'fenced',
	});
});

test('a leaving worker gets no new tasks and keeps its runs until it has left', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.announce({ isLeaving: true, remainingMs: 60_000 });
	harness.start(1, 'next');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'next', reason: 'notAccepting' });
	t.is(harness.worker.running.size, 1);
	harness.executor.handleWorkerLeft('w-1');
	harness.worker.holdHandling = 'lost';
	await waitUntil(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { jobId: 'job', end: 'lost' });
});

const announcementsOfOthers: Readonly<Record<string, Partial<WorkerAnnouncement>>> = {
	'another pool': { pool: 'other' },
	'another pool and a later birth': { pool: 'other', bornAtMs: 2000 },
	'another address': { address: '127.0.0.1:99999' },
	'a later birth': { bornAtMs: 2000 },
	'another ID': { workerId: 'w-2' },
	'another ID and a later birth': { workerId: 'w-2', bornAtMs: 2000 },
};

for (const [difference, change] of Object.entries(announcementsOfOthers)) {
	test(`an announcement of someone else with ${difference} does not end the runs of the worker`, async (t) => {
		const harness = new Harness(t, (worker) => {
			worker.workerId = 'w-1';
		});
		await harness.makeReady();
		harness.start(1, 'job');
		await waitUntil(() => harness.worker.running.size === 1);
		harness.announce(change);
		await new Promise((resolve) => setTimeout(resolve, 200));
		harness.start(1, 'next');
		await waitUntil(() => harness.worker.running.size === 2);
		t.deepEqual(harness.ends(), []);
	});
}

test('a worker that starts anew under another ID is used once it answers under that ID', async (t) => {
	const harness = new Harness(t, (worker) => {
		worker.workerId = 'w-1';
	});
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.restart(2000);
	harness.worker.workerId = 'w-2';
	harness.announce({ workerId: 'w-2', bornAtMs: 2000 });
	await waitUntil(() => harness.state?.workerId === 'w-2' && harness.state.isAccepting);
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'lost' });
});

test('a message of someone else that the worker leaves does not end its runs, and the next announcement undoes it', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	harness.executor.handleWorkerLeft('w-1');
	await waitUntil(() => harness.state?.isAccepting === false);
	await new Promise((resolve) => setTimeout(resolve, 200));
	harness.announce();
	await waitUntil(() => harness.state?.isAccepting === true);
	t.deepEqual(harness.ends(), []);
});

test('a run number below the last one of the task is refused, and the refusal contains the last one', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job', { run: 4 });
	await waitUntil(() => harness.worker.running.size === 1);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 4 }, 'stopped');
	await waitUntil(() => harness.ends().length === 1);
	harness.start(1, 'job', { run: 2 });
	await waitUntil(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { end: 'refused', reason: 'olderRun', knownRun: 4 });
});

test('a drain accepts no new tasks and waits for the runs to end', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	let hasDrained = false;
	const drained = harness.executor.drain().then(() => {
		hasDrained = true;
	});
	await waitUntil(() => harness.state?.isAccepting === false);
	t.false(hasDrained);
	harness.worker.endRun({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await drained;
	t.like(harness.ends()[0], { end: 'done' });
});

test('with a presumed worker, tasks run before the first announcement and continue after it', async (t) => {
	const presumed = { ...announcement, workerId: '', bornAtMs: undefined };
	const harness = new Harness(t, undefined, presumed);
	harness.executor.handleEntryConnected(1, 'entry-1', 'life-1');
	await waitUntil(() => harness.state?.isAccepting === true);
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.running.size === 1);
	t.is(harness.worker.starts[0]?.workerId, undefined);
	harness.announce();
	await waitUntil(() => harness.state?.workerId === 'w-1');
	harness.start(1, 'next');
	await waitUntil(() => harness.worker.running.size === 2);
	t.is(harness.worker.starts[1]?.workerId, 'w-1');
	t.deepEqual(harness.ends(), []);
});

test('the end of a voided start is reported promptly when every answer of a busy worker lists an end', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	let number = 0;
	harness.worker.beforeHoldAnswer = () => {
		number += 1;
		harness.worker.endRun({ jobId: `other-${number}`, taskIndex: 0, run: 1 }, 'done');
	};
	harness.worker.startHandling = 'lost';
	harness.start(1, 'job');
	await waitUntil(() => harness.worker.stops.length > 0);
	const stoppedAtMs = performance.now();
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'stopped' });
	t.true(performance.now() - stoppedAtMs < 500);
});

test('after a pause, an agent starts nothing at a worker without a capacity guard before it announces its capacity again', async (t) => {
	let pausedMs = 0;
	const clock: IClock = { nowMs: () => monotonicClock.nowMs() - pausedMs };
	const harness = new Harness(t, undefined, undefined, clock);
	await harness.makeReady();
	pausedMs = 2000;
	// The answers after the pause correct the clock, so that only the age of the announced capacity prevents a start.
	let run = 0;
	await waitUntil(() => {
		run += 1;
		harness.start(1, `guarded-${run}`);
		return harness.worker.running.size > 0;
	});
	harness.start(1, 'unguarded', { isCapacityEnforced: false });
	await waitUntil(() => harness.ends().some(({ jobId }) => jobId === 'unguarded'));
	t.like(
		harness.ends().find(({ jobId }) => jobId === 'unguarded'),
		{ end: 'refused', reason: 'noRoom' },
	);
	harness.announce();
	harness.start(1, 'unguarded', { run: 2, isCapacityEnforced: false });
	await waitUntil(() => [...harness.worker.running.values()].some(({ jobId }) => jobId === 'unguarded'));
	t.pass();
});

test('a start that was not delivered since the worker has just crashed is refused at once', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.startHandling = 'undelivered';
	const sentAtMs = performance.now();
	harness.start(1, 'job');
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'refused', reason: 'notAccepting' });
	t.true(performance.now() - sentAtMs < leaseDurationMs / 2);
	t.is(harness.executor.runCount, 0);
});

// Guards against a stop of an earlier attempt of a job that ends the run of the same number of the next attempt.
test('a stop order for an earlier start does not stop a run of the same number, and ends name their start', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.start(1, 'job', { startId: 5 });
	await waitUntil(() => harness.worker.running.size === 1);
	const task = { jobId: 'job', taskIndex: 0, run: 1 };
	harness.executor.handleStopTasks(1, { kind: 'stopTasks', tasks: [{ ...task, startId: 4 }] });
	harness.executor.handleEntryLost(1, 0);
	harness.executor.handleEntryConnected(2, 'entry-1', 'life-1');
	await waitUntil(() => harness.reports.some(({ report }) => report.heldRuns?.length === 1));
	const [report] = harness.reports.filter(({ connectionId }) => connectionId === 2);
	t.deepEqual(report?.report.heldRuns, [{ ...task, startId: 5 }]);
	t.deepEqual(harness.worker.stops, []);
	harness.executor.handleStopTasks(2, { kind: 'stopTasks', tasks: [{ ...task, startId: 5 }] });
	await waitUntil(() => harness.ends(2).length === 1);
	t.deepEqual(harness.ends(2), [{ ...task, startId: 5, end: 'stopped' }]);
});

// Guards against both untrue answers: that a task has not run though it has, and that it may have though no worker took it.
test('a refusal names the last run that the worker has taken, not one that it has refused', async (t) => {
	const harness = new Harness(t);
	await harness.makeReady();
	harness.worker.refusedRun = 1;
	harness.start(1, 'job', { run: 1 });
	await waitUntil(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'refused', reason: 'unhealthy', knownRun: 0 });
	harness.start(1, 'job', { run: 2 });
	await waitUntil(() => harness.worker.running.size === 1);
	harness.start(1, 'job', { run: 3 });
	await waitUntil(() => harness.ends().length > 1);
	t.like(harness.ends()[1], { end: 'refused', reason: 'noRoom', knownRun: 2 });
});
