import test from 'ava';
import type { WorkerState } from '../dispatchMessages.js';
import { createHealthRecord, reviewHealth, type WatchedWorker } from '../workerHealth.js';

const needs = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 };

function worker(state: Partial<WorkerState>): WatchedWorker & { state: WorkerState } {
	return {
		health: createHealthRecord(),
		state: {
			workerId: 'w',
			dataCentre: 'a',
			pool: 'p',
			labels: [],
			capacity: needs,
			isCapacityGuessed: false,
			used: needs,
			isAccepting: true,
			speed: 1,
			pace: 1,
			failedEnds: 0,
			doneEnds: 20,
			failureStreak: 0,
			laggards: [],
			...state,
		},
	};
}

test('a worker that turned slow rests, one that was always slower does not', (t) => {
	const slow = worker({ speed: 1, pace: 0.2 });
	const leisurely = worker({ speed: 0.7, pace: 0.55 });
	const workers = [slow, leisurely, worker({ pace: 1.4 }), worker({ pace: 1.5 }), worker({ pace: 1.3 })];
	t.deepEqual(reviewHealth(workers, 0), [slow]);
	t.is(slow.health.condition, 'resting');
	t.is(leisurely.health.condition, 'sound');
});

test('a worker that stays slow is not taken for one that was always slow', (t) => {
	const slow = worker({ speed: 0.25, pace: 0.22 });
	reviewHealth([slow, worker({}), worker({}), worker({})], 0);
	t.is(slow.health.condition, 'resting');
});

test('failures one after the other rest a worker at once, in spite of many good ends before', (t) => {
	const failing = worker({ failureStreak: 3, failedEnds: 3, doneEnds: 30 });
	reviewHealth([failing, worker({}), worker({})], 0);
	t.is(failing.health.condition, 'resting');
});

test('a rested worker is probed, rests again when it fails anew, and is sound after one good end', (t) => {
	const failing = worker({ failureStreak: 3, failedEnds: 3, doneEnds: 0 });
	const workers = [failing, worker({}), worker({})];
	reviewHealth(workers, 0);
	reviewHealth(workers, 901);
	t.is(failing.health.condition, 'probed');
	failing.state = { ...failing.state, failureStreak: 4 };
	reviewHealth(workers, 910);
	t.is(failing.health.condition, 'resting');
	reviewHealth(workers, 1811);
	t.is(failing.health.condition, 'probed');
	failing.state = { ...failing.state, failureStreak: 0, doneEnds: 1 };
	reviewHealth(workers, 1820);
	t.is(failing.health.condition, 'sound');
});

test('when most workers look ill, at most two in five rest', (t) => {
	const workers = Array.from({ length: 10 }, () => worker({ pace: 0.1 }));
	reviewHealth(workers, 0);
	t.is(workers.filter(({ health }) => health.condition === 'resting').length, 4);
});
