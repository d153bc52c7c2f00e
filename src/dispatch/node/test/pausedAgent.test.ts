/** An agent that was paused must not start tasks that an entry has started elsewhere meanwhile. */

import test from 'ava';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 8000, memoryMb: 1000, accelerators: 0 };
/** Longer than the time until the entry starts the tasks elsewhere. */
const durationMs = 1500;
const taskCount = 6;

test('starts that wait for a paused agent are not carried out once their tasks run elsewhere', async (t) => {
	const system = new MemorySystem(t, { entryCount: 1, workerCount: 2, capacity, workerRestartMs: 1000 });
	await system.waitUntilReady();
	const [pausedWorker, otherWorker] = system.workers;
	system.pauseAgent(0);
	const outcome = system.submit(0, { durationMs, needs }, { taskCount, waitMs: 8000, objectiveMs: 8000 });
	await waitUntil(() => system.countPendingMessages(0) > 0);
	// The entry closes the connection, as it does after a silence.
	system.cut(0, 0);
	await waitUntil(() => otherWorker?.starts.length === taskCount);
	system.resumeAgent(0);
	t.deepEqual(await outcome, { kind: 'completed' });
	t.deepEqual(pausedWorker?.starts, []);
});
