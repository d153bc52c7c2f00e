import test from 'ava';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { waitFor } from '../../base/common/async.js';
import type { FaultPoint } from '../node/faultPoints.js';
import type { ChildPlan } from './faultChild.js';
import { patienceMs, TestKeeper } from './testKeepers.js';

const points: readonly FaultPoint[] = [
	'beforeAppend',
	'beforeSync',
	'afterSync',
	'beforeApply',
	'beforeReply',
	'afterReply',
];
const childFile = fileURLToPath(new URL('faultChild.js', import.meta.url));

/** Runs a keeper until it has ended itself; returns what it acknowledged. */
async function runUntilKilled(plan: ChildPlan): Promise<string[]> {
	const child = spawn(process.execPath, [childFile, JSON.stringify(plan)], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	let output = '';
	child.stdout.on('data', (chunk: Buffer) => {
		output += chunk.toString();
	});
	const timer = setTimeout(() => child.kill('SIGTERM'), patienceMs);
	const [, signal] = (await once(child, 'close')) as [number | null, string | null];
	clearTimeout(timer);
	if (signal !== 'SIGKILL') {
		throw new Error(`The keeper ended by ${signal ?? 'itself'} and not at ${plan.point}.`);
	}
	return output.split('\n').filter((line) => line !== '');
}

/** Acknowledged values are there, once each. */
function missingOrDoubled(acknowledged: readonly string[], values: readonly string[]): string[] {
	return acknowledged.filter((value) => values.filter((each) => each === value).length !== 1);
}

for (const point of points) {
	test(`a lone keeper killed at ${point} keeps what it acknowledged`, async (t) => {
		const root = await mkdtemp(path.join(tmpdir(), 'fault-'));
		const keeper = await TestKeeper.create('keeper-0', root);
		const { processId, address, dataFolder } = keeper;
		const members = [{ processId, address }];
		await keeper.stop();
		const acknowledged: string[] = [];
		for (const visit of [1, 2, 5]) {
			const plan = { processId, address, dataFolder, members, point, visit };
			acknowledged.push(...(await runUntilKilled(plan)));
			await keeper.restart(members);
			t.true(acknowledged.length > 0);
			t.deepEqual(missingOrDoubled([...new Set(acknowledged)], [...new Set(keeper.machine.values)]), []);
			await keeper.stop();
		}
		await rm(root, { recursive: true });
	});

	test(`three keepers lose nothing when the leader is killed at ${point}`, async (t) => {
		const root = await mkdtemp(path.join(tmpdir(), 'fault-'));
		const names = ['keeper-0', 'keeper-1', 'keeper-2'];
		const keepers = await Promise.all(names.map((name) => TestKeeper.create(name, root)));
		const members = keepers.map(({ processId, address }) => ({ processId, address }));
		const [first, second, third] = keepers;
		await first!.stop();
		// The others stand late, so that the keeper under test leads.
		const patient = { electionTimeoutMs: 1000, heartbeatIntervalMs: 40 };
		await Promise.all([second!.open(members, patient), third!.open(members, patient)]);
		const { processId, address, dataFolder } = first!;
		const acknowledged = await runUntilKilled({ processId, address, dataFolder, members, point, visit: 4 });
		t.true(acknowledged.length > 0);
		// Handed to the leader that has just ended, the command may be lost; then it is sent again.
		await waitFor('a command is accepted', patienceMs, async () => {
			const result = await second!.running.propose(Buffer.from('after'), patienceMs);
			return result.isOk();
		});
		await first!.restart(members);
		await waitFor('all keepers hold the last value', patienceMs, () =>
			keepers.every((keeper) => keeper.machine.values.includes('after')),
		);
		for (const keeper of keepers) {
			t.deepEqual(missingOrDoubled(acknowledged, keeper.machine.values), []);
			t.deepEqual(keeper.machine.values, second!.machine.values);
		}
		await Promise.all(keepers.map((keeper) => keeper.stop()));
		await rm(root, { recursive: true });
	});
}
