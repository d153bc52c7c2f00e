/** What counts as a crash of a worker under a task, and when the task is given up for it. */

import test from 'ava';
import { nullLogService } from '../../../services/log/common/log.js';
import { CrashHistory } from '../crashHistory.js';
import { CrashRecorder } from '../crashRecorder.js';
import { createHeldRun, type HeldRun } from '../heldRuns.js';
import { KnownWorker } from '../knownWorker.js';
import { decideLostTask } from '../lostTasks.js';
import type { WorkerCrash } from '../workerCrash.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const task = { jobId: 'job', taskIndex: 0 };

function createWorker(isLeaving = false): KnownWorker {
	const worker = new KnownWorker();
	worker.setAnnouncement(
		{
			...{ workerId: 'w', bornAtMs: 1, pool: 'pool', address: '127.0.0.1:1', dataCentre: 'a', sequence: 1 },
			...{ isLeaving, capacity: needs, labels: [] },
		},
		0,
	);
	return worker;
}

function createRun(sentMs: number, phase: HeldRun['phase']): HeldRun {
	const job = {
		...{ jobId: 'job', route: 'route', pool: 'pool', isCapacityEnforced: true },
		...{ payload: '', needs, estimateMs: 100, tasks: [] },
	};
	return {
		...createHeldRun({ ...task, run: 1 }, job, { entryKey: 'entry/1', sentAt: undefined }, sentMs),
		phase,
	};
}

function recordCrash(run: HeldRun, crashedAtMs: number, worker = createWorker()): WorkerCrash | undefined {
	return new CrashRecorder(nullLogService).record(
		worker,
		[run],
		'connectionRefused',
		crashedAtMs,
		crashedAtMs + 20,
	);
}

function createCrash(workerKey: string, wasRunning: boolean): WorkerCrash {
	return {
		workerKey,
		pool: 'pool',
		agoMs: 0,
		runs: [{ ...task, run: 1, route: 'route', ageMs: 10, wasRunning }],
	};
}

test('a run whose start the worker had not confirmed is not said to have been running at the crash', (t) => {
	t.true(recordCrash(createRun(0, 'running'), 10)?.runs[0]?.wasRunning);
	t.false(recordCrash(createRun(0, 'starting'), 10)?.runs[0]?.wasRunning);
	t.false(recordCrash(createRun(0, 'stopping'), 10)?.runs[0]?.wasRunning);
});

test('a run that may have ended just before the crash is not said to have been running', (t) => {
	t.false(recordCrash(createRun(0, 'running'), 90)?.runs[0]?.wasRunning);
});

test('a run that was sent after the crash was not at the worker', (t) => {
	t.deepEqual(recordCrash(createRun(11, 'starting'), 10)?.runs, []);
});

test('the end of a worker that had announced that it leaves is no crash', (t) => {
	t.is(recordCrash(createRun(0, 'running'), 10, createWorker(true)), undefined);
});

test('a job fails after two certain crashes of a task, and is abandoned after three possible ones', (t) => {
	const certain = new CrashHistory();
	const possible = new CrashHistory();
	const decisions = ['w/1', 'w/2', 'w/3'].map((workerKey) => {
		certain.record(createCrash(workerKey, true), 0);
		possible.record(createCrash(workerKey, false), 0);
		return [decideLostTask(certain.countCrashes(task), 0), decideLostTask(possible.countCrashes(task), 0)];
	});
	t.deepEqual(decisions, [
		['retry', 'retry'],
		['fail', 'retry'],
		['fail', 'abandon'],
	]);
});

test('a crash counts once, whoever reports it', (t) => {
	const history = new CrashHistory();
	history.record(createCrash('w/1', true), 0);
	history.record(createCrash('w/1', true), 500);
	t.deepEqual(history.countCrashes(task), { certain: 1, possible: 1 });
	t.is(history.getAll(500)[0]?.agoMs, 500);
});
