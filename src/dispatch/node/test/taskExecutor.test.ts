/**
 * The latest moment at which a run can still be alive, for each loss that an agent can suffer, and what entries are told.
 * The table is in docs/PLATFORM.md.
 */

import test, { type ExecutionContext } from 'ava';
import { monotonicClock } from '../../../base/common/clock.js';
import { nullLogService } from '../../../services/log/common/log.js';
import type { AgentReportMessage, TaskEndReport, WorkerState } from '../../common/dispatchMessages.js';
import type { WorkerAnnouncement } from '../../common/taskWorker.js';
import { leaseMs } from '../../common/workerLease.js';
import { orphanGraceMs } from '../orphanWatch.js';
import { TaskExecutor } from '../taskExecutor.js';
import { FakeTaskWorker } from './fakeTaskWorker.js';

const needs = { cpuMillis: 4000, memoryMb: 100, accelerators: 0 };
const waitLimitMs = 5000;

const announcement: WorkerAnnouncement = {
	workerId: 'w-1',
	bornAtMs: 1000,
	pool: 'pool',
	address: '127.0.0.1:1',
	dataCentre: 'a',
	sequence: 0,
	isLeaving: false,
	capacity: { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 },
	labels: [],
};

class Harness {
	readonly worker = new FakeTaskWorker(monotonicClock);
	readonly reports: { readonly linkId: number; readonly report: AgentReportMessage }[] = [];
	readonly executor: TaskExecutor;
	private _sequence = 0;

	constructor(
		t: ExecutionContext,
		prepare: (worker: FakeTaskWorker) => void = () => undefined,
		presumed?: WorkerAnnouncement,
	) {
		prepare(this.worker);
		this.executor = new TaskExecutor(
			{
				send: (linkId, report) => {
					this.reports.push({ linkId, report });
				},
			},
			this.worker,
			{
				workerAddress: '127.0.0.1:1',
				fencingToken: 100,
				presumed,
				clock: monotonicClock,
				log: nullLogService,
			},
		);
		t.teardown(() => {
			this.executor.dispose();
		});
	}

	announce(change: object = {}): void {
		this._sequence += 1;
		this.executor.takeAnnouncement({ ...announcement, sequence: this._sequence, ...change });
	}

	async ready(): Promise<void> {
		this.announce();
		this.executor.entryConnected(1, 'entry-1', 'life-1');
		await until(() => this.state?.isAccepting === true);
	}

	start(linkId: number, jobId: string, run = 1, taskIndex = 0): void {
		const tasks = [{ taskIndex, run }];
		const job = { jobId, pool: 'pool', payload: 'x', needs, estimateMs: 300, tasks };
		this.executor.takeStarts(linkId, { kind: 'startTasks', sequence: 1, jobs: [job] });
	}

	get state(): WorkerState | undefined {
		return this.reports.at(-1)?.report.state;
	}

	ends(linkId = 1): TaskEndReport[] {
		return this.reports.flatMap((each) => (each.linkId === linkId ? [...each.report.ends] : []));
	}
}

async function until(isMet: () => boolean): Promise<void> {
	const endMs = performance.now() + waitLimitMs;
	while (!isMet()) {
		if (performance.now() > endMs) {
			throw new Error(`The condition was not met within ${waitLimitMs} ms.`);
		}
		await new Promise((resolve) => setTimeout(resolve, 5));
	}
}

test('a run is started, its end is told, and the worker may forget it', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.worker.end({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await until(() => harness.ends().length === 1);
	t.deepEqual(harness.ends(), [{ jobId: 'job', taskIndex: 0, run: 1, end: 'done' }]);
	await until(() => harness.worker.acknowledgedEnd === 1);
	t.is(harness.executor.runCount, 0);
});

test('what does not fit is refused, and counts for nothing', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'a');
	harness.start(1, 'b');
	harness.start(1, 'c');
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'c', end: 'refused', reason: 'noRoom' });
	t.is(harness.worker.starts.length, 2);
});

test('a lost entry’s runs are stopped after the grace, one that comes back keeps them', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.executor.entryLost(1);
	harness.executor.entryConnected(2, 'entry-1', 'life-1');
	await new Promise((resolve) => setTimeout(resolve, orphanGraceMs + 100));
	t.is(harness.worker.running.size, 1);
	await until(() => harness.reports.some(({ report }) => report.heldRuns?.length === 1));
	const lostAtMs = performance.now();
	harness.executor.entryLost(2);
	await until(() => harness.worker.running.size === 0);
	t.true(performance.now() - lostAtMs >= orphanGraceMs - 5);
});

test('runs of an earlier life of an entry are stopped at once', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.executor.entryConnected(2, 'entry-1', 'life-2');
	await until(() => harness.worker.running.size === 0);
	t.is(harness.worker.stops.length, 1);
});

test('ends that an entry missed are told when it connects again', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.executor.entryLost(1);
	harness.worker.end({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await until(() => harness.worker.acknowledgedEnd === 1);
	harness.executor.entryConnected(2, 'entry-1', 'life-1');
	await until(() => harness.ends(2).length === 1);
	t.like(harness.ends(2)[0], { jobId: 'job', end: 'done' });
});

test('a start whose answer is lost goes on when the worker lists it', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.worker.startFate = 'lostAnswer';
	harness.start(1, 'job');
	await until(() => harness.worker.unansweredStarts === 1);
	harness.worker.end({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'done' });
	t.deepEqual(harness.worker.stops, []);
});

test('a start that was lost is made void by a stop before its entry hears of it', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.worker.startFate = 'lost';
	harness.worker.stopFate = 'lostAnswer';
	harness.start(1, 'job');
	await until(() => harness.worker.stops.length >= 2);
	t.deepEqual(harness.ends(), [], 'nothing is told before a stop is answered');
	harness.worker.stopFate = 'answered';
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'stopped' });
	harness.worker.startFate = 'answered';
	const late = harness.worker.starts[0];
	t.like(late === undefined ? undefined : await harness.worker.start(late), { reason: 'olderRun' });
});

test('a silent worker’s runs are told as lost only after its lease has lapsed', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.worker.holdFate = 'lost';
	await until(() => harness.state?.isAccepting === false);
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	t.true(performance.now() > harness.worker.leaseUntilMs, 'the worker itself has killed it');
	t.true(harness.worker.leaseUntilMs - performance.now() < leaseMs);
});

test('a worker that was born again under its id has lost its runs, and is used after its next word', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.worker.running.clear();
	harness.worker.bornAtMs = 2000;
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { end: 'lost' });
	harness.start(1, 'next');
	await until(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { end: 'refused', reason: 'notAccepting' });
	harness.announce({ bornAtMs: 2000 });
	await until(() => harness.state?.isAccepting === true);
	harness.announce({ bornAtMs: 1000 });
	harness.start(1, 'third');
	await until(() => harness.worker.running.size === 1);
	t.pass();
});

test('an agent that starts anew stops what its earlier life left, before it takes tasks', async (t) => {
	const harness = new Harness(t, (worker) => {
		worker.highestToken = 160;
		worker.running.set('old/0', { jobId: 'old', taskIndex: 0, run: 3, percent: 10 });
		worker.stopFate = 'lost';
	});
	harness.announce();
	harness.executor.entryConnected(1, 'entry-1', 'life-1');
	await until(() => harness.worker.stops.length > 0);
	t.is(harness.state, undefined);
	harness.worker.stopFate = 'answered';
	await until(() => harness.state?.isAccepting === true);
	t.is(harness.worker.running.size, 0);
	t.true((harness.worker.stops.at(-1)?.fencingToken ?? 0) > 160);
});

test('a worker that leaves gets nothing more, and keeps what runs', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	harness.announce({ isLeaving: true, remainingMs: 60_000 });
	harness.start(1, 'next');
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'next', reason: 'notAccepting' });
	t.is(harness.worker.running.size, 1);
	harness.executor.takeLeave('w-1');
	await until(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { jobId: 'job', end: 'lost' });
});

test('a run number that was used before is refused, and the entry learns the highest', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job', 4);
	await until(() => harness.worker.running.size === 1);
	harness.worker.end({ jobId: 'job', taskIndex: 0, run: 4 }, 'stopped');
	await until(() => harness.ends().length === 1);
	harness.start(1, 'job', 2);
	await until(() => harness.ends().length === 2);
	t.like(harness.ends()[1], { end: 'refused', reason: 'olderRun', knownRun: 4 });
});

test('a drain waits for the runs and takes no more', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	let hasDrained = false;
	const drained = harness.executor.drain().then(() => {
		hasDrained = true;
	});
	await until(() => harness.state?.isAccepting === false);
	t.false(hasDrained);
	harness.worker.end({ jobId: 'job', taskIndex: 0, run: 1 }, 'done');
	await drained;
	t.like(harness.ends()[0], { end: 'done' });
});

test('a new agent takes tasks before its worker has announced itself, and keeps them when it does', async (t) => {
	const presumed = { ...announcement, workerId: '', bornAtMs: undefined };
	const harness = new Harness(t, undefined, presumed);
	harness.executor.entryConnected(1, 'entry-1', 'life-1');
	await until(() => harness.state?.isAccepting === true);
	harness.start(1, 'job');
	await until(() => harness.worker.running.size === 1);
	t.is(harness.worker.starts[0]?.workerId, undefined);
	harness.announce();
	harness.start(1, 'next');
	await until(() => harness.worker.running.size === 2);
	t.is(harness.worker.starts[1]?.workerId, 'w-1');
	t.deepEqual(harness.ends(), []);
});

test('a void start is told at once by a busy worker, whose every answer lists an end', async (t) => {
	const harness = new Harness(t);
	await harness.ready();
	let number = 0;
	harness.worker.onHold = () => {
		number += 1;
		harness.worker.end({ jobId: `other-${number}`, taskIndex: 0, run: 1 }, 'done');
	};
	harness.worker.startFate = 'lost';
	harness.start(1, 'job');
	await until(() => harness.worker.stops.length > 0);
	const stoppedAtMs = performance.now();
	await until(() => harness.ends().length === 1);
	t.like(harness.ends()[0], { jobId: 'job', end: 'stopped' });
	t.true(performance.now() - stoppedAtMs < 500);
});
