import test from 'ava';
import { CancelledJobs } from '../cancelledJobs.js';

test('cancellings are remembered for a minute after they were made, however often they are passed on', (t) => {
	const cancelled = new CancelledJobs();
	t.true(cancelled.add({ jobId: 'a', agoMs: 50_000 }, 0));
	t.false(cancelled.add({ jobId: 'a', agoMs: 0 }, 5000));
	t.deepEqual(cancelled.getAll(5000), [{ jobId: 'a', agoMs: 55_000 }]);
	t.true(cancelled.has('a', 9999));
	t.false(cancelled.has('a', 10_000));
	t.deepEqual(cancelled.getAll(10_000), []);
	t.false(cancelled.add({ jobId: 'b', agoMs: 60_000 }, 10_000));
});

test('at most 4000 cancellings are remembered, the newest ones', (t) => {
	const cancelled = new CancelledJobs();
	for (let job = 0; job < 5000; job += 1) {
		cancelled.add({ jobId: `job-${job}`, agoMs: 0 }, job);
	}
	t.is(cancelled.getAll(5000).length, 4000);
	t.false(cancelled.has('job-999', 5000));
	t.true(cancelled.has('job-1000', 5000));
});
