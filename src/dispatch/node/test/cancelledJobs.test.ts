/** Jobs are cancelled at one entry while another one holds them. */

import test from 'ava';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 5000, memoryMb: 1000, accelerators: 0 };
const options = { entryCount: 2, workerCount: 2, capacity, workerRestartMs: 600 };
const script = { durationMs: 2000, needs };
const request = { estimateMs: 2000, waitMs: 6000 };

// Guards against a cancelling that is sent over a connection that the other end has closed, and never again.
test('a job is cancelled at an entry that has not noticed yet that it lost its connections', async (t) => {
	const system = new MemorySystem(t, options);
	await system.waitUntilReady();
	const outcome = system.submit(0, script, request);
	await waitUntil(() => system.getStarts('job/0').length === 1);
	system.cutEntries(0, 1, 1);
	system.entries[1]?.dispatcher.cancel('job');
	system.noticeClosedPeers(1);
	system.heal();
	await waitUntil(() => system.entries[0]?.dispatcher.jobCount === 0);
	t.not((await outcome).kind, 'completed');
});

test('a job is cancelled at an entry that has no connection to the one that holds it', async (t) => {
	const system = new MemorySystem(t, options);
	await system.waitUntilReady();
	const outcome = system.submit(0, script, request);
	await waitUntil(() => system.getStarts('job/0').length === 1);
	system.cutEntries(0, 1);
	system.entries[1]?.dispatcher.cancel('job');
	system.heal();
	await waitUntil(() => system.entries[0]?.dispatcher.jobCount === 0);
	t.not((await outcome).kind, 'completed');
});
