import test from 'ava';
import { idealResponses } from '../common/idealSchedule.js';
import { drawArrivals, type ArrivingJob } from '../common/workload.js';

function job(
	jobIndex: number,
	arriveMs: number,
	runMs: number[],
	extra: Partial<ArrivingJob> = {},
): ArrivingJob {
	return {
		jobIndex,
		arriveMs,
		team: 'north',
		runMs,
		declaredCores: 1,
		isFlood: false,
		isKeyed: false,
		...extra,
	};
}

test('tasks wait for a slot in order of arrival', (t) => {
	const jobs = [job(0, 0, [100, 100, 100]), job(1, 10, [50])];
	const responses = idealResponses(jobs, { slots: 2, capacityChanges: [] });
	t.is(responses.get(0), 200);
	t.is(responses.get(1), 140);
});

test('a cancelled job frees its slots and has no response', (t) => {
	const jobs = [job(0, 0, [1000], { cancelMs: 100 }), job(1, 10, [50])];
	const responses = idealResponses(jobs, { slots: 1, capacityChanges: [] });
	t.false(responses.has(0));
	t.is(responses.get(1), 140);
});

test('a flooding team is served last', (t) => {
	const jobs = [job(0, 0, [100]), job(1, 1, [100], { isFlood: true }), job(2, 2, [100])];
	const responses = idealResponses(jobs, { slots: 1, capacityChanges: [] });
	t.is(responses.get(2), 198);
	t.is(responses.get(1), 299);
});

test('lost slots are not used again', (t) => {
	const jobs = [job(0, 0, [100]), job(1, 0, [100]), job(2, 100, [100]), job(3, 100, [100])];
	const responses = idealResponses(jobs, { slots: 2, capacityChanges: [{ atMs: 50, slotsLost: 1 }] });
	t.is(responses.get(2), 100);
	t.is(responses.get(3), 200);
});

test('equal seeds give equal arrivals whose work is near the load asked for', (t) => {
	const options = {
		scenario: 'steady',
		load: 0.8,
		slots: 88,
		durationMs: 600_000,
		seed: 7,
		keyedShare: 0,
	} as const;
	const jobs = drawArrivals(options);
	t.deepEqual(jobs, drawArrivals(options));
	const workMs = jobs.flatMap((arriving) => arriving.runMs).reduce((sum, runMs) => sum + runMs, 0);
	const offered = workMs / (options.slots * options.durationMs);
	t.true(Math.abs(offered - options.load) < 0.06, `The offered load is ${offered}.`);
});

test('a burst keeps the mean rate', (t) => {
	const base = { load: 0.5, slots: 88, durationMs: 600_000, seed: 7, keyedShare: 0 } as const;
	const steady = drawArrivals({ ...base, scenario: 'steady' }).length;
	const burst = drawArrivals({ ...base, scenario: 'burst' }).length;
	t.true(Math.abs(burst / steady - 1) < 0.06, `A run with bursts has ${burst} jobs, a steady one ${steady}.`);
});
