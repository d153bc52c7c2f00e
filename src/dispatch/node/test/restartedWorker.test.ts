/** A worker that restarts under its ID takes starts before its agent knows of the restart. */

import test from 'ava';
import { findConcurrentRuns } from './concurrentRuns.js';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 };
const durationMs = 500;
const taskCount = 12;
const restartMs = 30;

// Guards against runs of the new life that are reported as lost, and started elsewhere, while they are at work.
test.serial(
	'starts that a restarted worker takes from an agent that was paused do not run twice',
	async (t) => {
		const system = new MemorySystem(t, {
			entryCount: 1,
			workerCount: 2,
			capacity,
			workerRestartMs: restartMs,
		});
		await system.waitUntilReady();
		const [restartedWorker] = system.workers;
		system.pauseAgent(0);
		system.crashWorker(0, restartMs);
		const outcome = system.submit(0, { durationMs, needs }, { taskCount, waitMs: 8000, objectiveMs: 8000 });
		await waitUntil(() => system.countPendingMessages(0) > 0 && restartedWorker?.isUp === true);
		system.resumeAgent(0);
		t.deepEqual(await outcome, { kind: 'completed' });
		t.true((restartedWorker?.starts.length ?? 0) > 0);
		t.deepEqual(findConcurrentRuns(system.workers.flatMap(({ starts }) => starts)), []);
	},
);
