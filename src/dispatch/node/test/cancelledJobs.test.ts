/** Jobs are cancelled at one entry while another one holds them. */

import test from 'ava';
import { MemorySystem, waitUntil } from './memorySystem.js';

const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 5000, memoryMb: 1000, accelerators: 0 };
const options = { entryCount: 2, workerCount: 2, capacity, workerRestartMs: 600 };
/** Time after which the agents have stopped the runs of an entry that they have lost. */
const orphansStoppedMs = 1000;
/** Time by which the other entry reconnects later than the agents. */
const entryDelayMs = 250;
const script = { durationMs: 2000, needs };
const request = { estimateMs: 2000, waitMs: 6000 };

async function sleep(ms: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, ms));
}

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

// Guards against an entry that starts a cancelled job again, as its agents reconnect before the other entries do.
test('a job that was cancelled while its entry was cut off is not started again', async (t) => {
	const system = new MemorySystem(t, options);
	await system.waitUntilReady();
	const outcome = system.submit(0, script, request);
	await waitUntil(() => system.getStarts('job/0').length === 1);
	system.cutEntries(0, 1);
	system.cut(0, 0);
	system.cut(0, 1);
	await sleep(orphansStoppedMs);
	system.entries[1]?.dispatcher.cancel('job');
	system.healAgents();
	await sleep(entryDelayMs);
	system.heal();
	t.deepEqual(await outcome, { kind: 'cancelled' });
	await sleep(entryDelayMs);
	t.is(system.getStarts('job/0').length, 1);
});

test('an entry that was cut off starts tasks again, although another entry does not come back', async (t) => {
	const system = new MemorySystem(t, options);
	await system.waitUntilReady();
	const outcome = system.submit(0, { durationMs: 500, needs }, { ...request, estimateMs: 500 });
	await waitUntil(() => system.getStarts('job/0').length === 1);
	system.cutEntries(0, 1);
	system.cut(0, 0);
	system.cut(0, 1);
	await sleep(orphansStoppedMs);
	system.healAgents();
	t.deepEqual(await outcome, { kind: 'completed' });
	t.is(system.getStarts('job/0').length, 2);
});
