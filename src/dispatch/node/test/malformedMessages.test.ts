/**
 * Changes single fields of valid messages to random values. A message is either refused by its check, or handled without an
 * error, then and in the decisions that follow. YUCCAARCH_FUZZ_RUNS raises the number of messages.
 */

import test from 'ava';
import fc from 'fast-check';
import { monotonicClock } from '../../../base/common/clock.js';
import { nullLogService } from '../../../services/log/common/log.js';
import type { Message } from '../../../services/transport/common/transport.js';
import { DispatchCore } from '../../common/dispatchCore.js';
import {
	isAgentReport,
	isCancelJob,
	isCancelledJobs,
	isStartTasks,
	isStopTasks,
	isWorkerCrashes,
	readMessage,
} from '../../common/dispatchMessageChecks.js';
import type {
	AgentReportMessage,
	CancelledJobsMessage,
	StartTasksMessage,
	StopTasksMessage,
	WorkerCrashesMessage,
} from '../../common/dispatchMessages.js';
import { TaskExecutor } from '../taskExecutor.js';
import { FakeTaskWorker } from './fakeTaskWorker.js';

const seed = 20_261_204;
const runCount = Number(process.env.YUCCAARCH_FUZZ_RUNS ?? 1500);

const needs = { cpuMillis: 4000, memoryMb: 100, accelerators: 0 };
const runRef = { jobId: 'job', taskIndex: 0, run: 1 };

const report: AgentReportMessage = {
	kind: 'agentReport',
	handledSequence: 1,
	ends: [{ ...runRef, end: 'refused', reason: 'noRoom', knownRun: 1 }],
	heldRuns: [runRef],
	crashes: [
		{
			...{ workerKey: 'w/1', agentId: 'agent-1', pool: 'pool', agoMs: 5 },
			runs: [{ ...runRef, route: 'r', ageMs: 10, wasRunning: true }],
		},
	],
	state: {
		workerId: 'w',
		workerTime: { incarnation: 0, clockMs: 1 },
		dataCentre: 'a',
		pool: 'pool',
		labels: ['a'],
		capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
		isCapacityGuessed: false,
		used: needs,
		isAccepting: true,
		speed: 1,
		pace: 1,
		failedEnds: 0,
		doneEnds: 1,
		failureStreak: 0,
		laggards: [runRef],
	},
};

const startTasks: StartTasksMessage = {
	kind: 'startTasks',
	sequence: 1,
	jobs: [
		{
			...{ jobId: 'job', route: 'r', pool: 'pool', isCapacityEnforced: true, payload: 'x', needs },
			estimateMs: 300,
			tasks: [{ taskIndex: 0, run: 1 }],
		},
	],
};

const stopTasks: StopTasksMessage = { kind: 'stopTasks', tasks: [runRef] };

/** Returns the paths of all fields of a value, but for the kind of a message. */
function listPaths(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
	if (typeof value !== 'object' || value === null) {
		return [path];
	}
	const children = Object.entries(value).flatMap(([name, child]) =>
		name === 'kind' ? [] : listPaths(child, [...path, name]),
	);
	return path.length === 0 ? children : [path, ...children];
}

function replaceAt(value: unknown, path: readonly string[], replacement: unknown): unknown {
	const [name, ...rest] = path;
	if (name === undefined) {
		return replacement;
	}
	const fields = value as Record<string, unknown>;
	const child = replaceAt(fields[name], rest, replacement);
	return Array.isArray(value)
		? value.map((each: unknown, index) => (String(index) === name ? child : each))
		: { ...fields, [name]: child };
}

function mutate(message: Message): fc.Arbitrary<Message> {
	return fc
		.tuple(
			fc.constantFrom(...listPaths(message)),
			fc.oneof(fc.anything(), fc.constantFrom(undefined, null, NaN, -1, '', [], {}, 1e300)),
		)
		.map(([path, replacement]) => replaceAt(message, path, replacement) as Message);
}

function isRefused(run: () => void): boolean {
	try {
		run();
		return false;
	} catch {
		return true;
	}
}

test('an entry refuses changed lists of crashes or goes on with them', (t) => {
	let refusedCount = 0;
	const list: WorkerCrashesMessage = { kind: 'workerCrashes', crashes: report.crashes ?? [] };
	fc.assert(
		fc.property(fc.array(mutate(list), { minLength: 1, maxLength: 3 }), (messages) => {
			const core = new DispatchCore(
				{ send: () => undefined, log: () => undefined, entryCount: () => 2, random: () => 0.5 },
				{ orphanLifetimeMs: 1500 },
				0,
			);
			for (const [index, message] of messages.entries()) {
				if (!isWorkerCrashes(message)) {
					t.true(isRefused(() => readMessage(message, isWorkerCrashes)));
					refusedCount += 1;
					continue;
				}
				core.handleCrashes(message.crashes, index * 100);
				core.schedule(index * 100);
			}
		}),
		{ seed, numRuns: runCount },
	);
	t.true(refusedCount > 0);
});

test('an entry refuses changed lists of cancellings or goes on with them', (t) => {
	let refusedCount = 0;
	const list: CancelledJobsMessage = { kind: 'cancelledJobs', jobs: [{ jobId: 'job', agoMs: 5 }] };
	fc.assert(
		fc.property(fc.array(mutate(list), { minLength: 1, maxLength: 3 }), (messages) => {
			const core = new DispatchCore(
				{ send: () => undefined, log: () => undefined, entryCount: () => 2, random: () => 0.5 },
				{ orphanLifetimeMs: 1500 },
				0,
			);
			for (const [index, message] of messages.entries()) {
				if (!isCancelledJobs(message)) {
					t.true(isRefused(() => readMessage(message, isCancelledJobs)));
					refusedCount += 1;
					continue;
				}
				core.handleCancelledJobs(message.jobs, index * 100);
				core.schedule(index * 100);
			}
		}),
		{ seed, numRuns: runCount },
	);
	t.true(refusedCount > 0);
});

test('an entry refuses changed reports or goes on with them', (t) => {
	let refusedCount = 0;
	fc.assert(
		fc.property(fc.array(mutate(report), { minLength: 1, maxLength: 3 }), (messages) => {
			const core = new DispatchCore(
				{ send: () => undefined, log: () => undefined, entryCount: () => 2, random: () => 0.5 },
				{ orphanLifetimeMs: 1500 },
				0,
			);
			core.handleAgentConnected(1, 'agent-1', 'life-1', 0);
			core.handleReport(1, { ...report, ends: [], heldRuns: [] }, 0);
			const request = {
				...{ jobId: 'job', route: 'r', pool: 'pool', payload: 'x', taskCount: 3, needs, estimateMs: 300 },
				...{ isCapacityEnforced: true, awayFactor: 1, priority: 1, maxAttempts: 2, stretch: 1.6 },
				...{ objectiveMs: 60, waitMs: 5000 },
			};
			core.submit(request, () => undefined, 0);
			core.schedule(0);
			for (const [index, message] of messages.entries()) {
				if (!isAgentReport(message)) {
					t.true(isRefused(() => readMessage(message, isAgentReport)));
					refusedCount += 1;
					continue;
				}
				core.handleReport(1, message, index * 10);
				core.submit({ ...request, jobId: `job-${index}` }, () => undefined, index * 10);
				core.schedule(index * 10);
			}
			core.schedule(6000);
		}),
		{ seed, numRuns: runCount },
	);
	t.true(refusedCount > 0);
});

test('an agent refuses changed orders or goes on with them', async (t) => {
	const worker = new FakeTaskWorker(monotonicClock);
	const executor = new TaskExecutor({ send: () => undefined }, worker, {
		workerAddress: '127.0.0.1:1',
		fencingToken: 1,
		clock: monotonicClock,
		log: nullLogService,
	});
	t.teardown(() => {
		executor.dispose();
	});
	executor.handleEntryConnected(1, 'entry-1', 'life-1');
	await fc.assert(
		fc.asyncProperty(mutate(startTasks), mutate(stopTasks), async (start, stop) => {
			if (isStartTasks(start)) {
				executor.handleStartTasks(1, start);
			}
			if (isStopTasks(stop)) {
				executor.handleStopTasks(1, stop);
			}
			await Promise.resolve();
		}),
		{ seed, numRuns: Math.min(runCount, 1500) },
	);
	t.false(isCancelJob({ kind: 'cancelJob' }));
});
