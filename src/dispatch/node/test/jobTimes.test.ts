import test from 'ava';
import { JobTimes } from '../jobTimes.js';

test('times of jobs are told by count, percentiles and the greatest', (t) => {
	const times = new JobTimes();
	for (let tookMs = 1; tookMs <= 100; tookMs += 1) {
		times.note(tookMs);
	}
	times.note(1e9);
	const levels = times.levels();
	t.is(levels.jobMsCount, 101);
	t.true(Math.abs((levels.jobMsP50 ?? 0) - 51) <= 1);
	t.true((levels.jobMsMax ?? 0) >= 59_000);
});
