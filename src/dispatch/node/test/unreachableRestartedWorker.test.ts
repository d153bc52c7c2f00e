/** A worker that has restarted, and then can't be reached: its runs go on until the lease of their starts lapses. */

import test from 'ava';
import { findConcurrentRuns } from './concurrentRuns.js';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 };
const noCapacity = { cpuMillis: 0, memoryMb: 1000, accelerators: 0 };
const restartMs = 30;

// Guards against a second run while a restarted worker, whose connections are reset, still holds its first lease.
test.serial(
	'a run at a restarted worker that resets its connections does not run elsewhere before its lease lapses',
	async (t) => {
		const system = new MemorySystem(t, {
			entryCount: 1,
			workerCount: 2,
			capacity,
			workerRestartMs: restartMs,
		});
		await system.waitUntilReady();
		const [restarted, other] = system.workers;
		other!.setCapacity(noCapacity);
		await new Promise((resolve) => setTimeout(resolve, 100));
		system.pauseAgent(0);
		// The clock of the new life is behind, so that it grants orders by the earlier clock the longest lease.
		restarted!.nextClockOffsetMs = -5000;
		system.crashWorker(0, restartMs);
		const outcome = system.submit(0, { durationMs: 1500, needs }, { waitMs: 8000, objectiveMs: 8000 });
		await waitUntil(() => system.countPendingMessages(0) > 0 && restarted!.isUp);
		system.resumeAgent(0);
		other!.setCapacity(capacity);
		await waitUntil(() =>
			system.log.describe('job', 0, Infinity).some((line) => line.includes('worker.restartResolved')),
		);
		t.is(restarted!.runCount, 1);
		restarted!.isCut = true;
		t.deepEqual(await outcome, { kind: 'completed' });
		for (const { workerKey, run, atMs, endedAtMs } of system.getStarts('job/0')) {
			t.log(`run ${run} at ${workerKey}: ${Math.round(atMs)} to ${Math.round(endedAtMs)}`);
		}
		t.deepEqual(findConcurrentRuns(system.getStarts('job/0')), []);
	},
);
