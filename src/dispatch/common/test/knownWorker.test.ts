import test from 'ava';
import { KnownWorker } from '../knownWorker.js';
import type { WorkerAnnouncement } from '../taskWorker.js';

function createAnnouncement(sequence: number): WorkerAnnouncement {
	return {
		workerId: 'w-1',
		bornAtMs: 1000,
		pool: 'pool',
		address: '127.0.0.1:1',
		dataCentre: 'a',
		sequence,
		isLeaving: false,
		capacity: { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 },
		labels: [],
	};
}

test('an announcement with a lower sequence number is late while the known one is recent', (t) => {
	const worker = new KnownWorker();
	worker.setAnnouncement(createAnnouncement(5), 0);
	t.is(worker.classifyAnnouncement(createAnnouncement(4), 1500), 'late');
	t.is(worker.classifyAnnouncement(createAnnouncement(6), 1500), 'renewed');
});

test('a sequence number that someone else has sent does not shut out the announcements of the worker', (t) => {
	const worker = new KnownWorker();
	worker.setAnnouncement(createAnnouncement(Number.MAX_SAFE_INTEGER), 0);
	const classified = [1500, 3000, 4500].map((nowMs) =>
		worker.classifyAnnouncement(createAnnouncement(6), nowMs),
	);
	t.deepEqual(classified, ['late', 'late', 'renewed']);
	t.true(worker.isReady(4500), 'the worker is ready until then');
});

test('the first announcement of a life that has listed its runs already is not from yet another life', (t) => {
	const worker = new KnownWorker();
	worker.setAnnouncement(createAnnouncement(5), 0);
	t.true(worker.detectRestart(2000));
	worker.discard();
	t.false(worker.detectRestart(2000));
	t.is(worker.classifyAnnouncement({ ...createAnnouncement(1), bornAtMs: 2000 }, 100), 'renewed');
	t.is(worker.classifyAnnouncement({ ...createAnnouncement(1), bornAtMs: 3000 }, 100), 'newLife');
	t.is(worker.classifyAnnouncement({ ...createAnnouncement(1), bornAtMs: undefined }, 100), 'newLife');
});
