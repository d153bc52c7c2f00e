import test from 'ava';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { monotonicClock } from '../../base/common/clock.js';
import { nullLogService } from '../../platform/log/common/log.js';
import { defaultConnectionLimits } from '../../platform/transport/common/transport.js';
import { ReplicatedLog } from '../node/replicatedLog.js';
import { ReplicatedStateMachine, type IReplicatedLog } from '../common/replicatedLog.js';
import { ReplicaStorage } from '../node/replicaStorage.js';

class ListMachine extends ReplicatedStateMachine {
	values: string[] = [];

	override apply(index: number, command: Uint8Array): Uint8Array {
		this.values.push(Buffer.from(command).toString());
		return Buffer.from(`${index}`);
	}

	override encodeSnapshot(): Uint8Array {
		return Buffer.from(JSON.stringify(this.values));
	}

	override restoreSnapshot(snapshot: Uint8Array): void {
		this.values = JSON.parse(Buffer.from(snapshot).toString()) as string[];
	}
}

async function openLone(dataFolder: string, stateMachine: ListMachine): Promise<IReplicatedLog> {
	const processId = 'keeper-1';
	return ReplicatedLog.open({
		dataFolder,
		processId,
		address: '127.0.0.1:1',
		initialMembers: [{ processId, address: '127.0.0.1:1' }],
		stateMachine,
		connection: {
			identity: { role: 'keeper', processId, incarnation: 'run-1' },
			secret: 'a-secret-for-this-test',
			limits: defaultConnectionLimits,
		},
		electionTimeoutMs: 50,
		heartbeatIntervalMs: 10,
		clock: monotonicClock,
		log: nullLogService,
		random: () => 0.5,
	});
}

async function openWhenFree(folder: string): Promise<ReplicaStorage> {
	for (;;) {
		try {
			return await ReplicaStorage.open(folder, {});
		} catch {
			await new Promise((resolve) => setImmediate(resolve));
		}
	}
}

test('a lone keeper keeps what it acknowledged over a restart', async (t) => {
	const folder = await mkdtemp(path.join(tmpdir(), 'replica-'));
	const first = await openLone(folder, new ListMachine());
	const answers = await Promise.all(['a', 'b', 'c'].map((value) => first.propose(Buffer.from(value), 5000)));
	t.true(answers.every((answer) => answer.isOk()));
	await t.throwsAsync(openLone(folder, new ListMachine()), { message: /in use by another process/ });
	first.dispose();
	await openWhenFree(folder).then((storage) => storage.close());
	const machine = new ListMachine();
	const second = await openLone(folder, machine);
	t.true((await second.propose(Buffer.from('d'), 5000)).isOk());
	t.deepEqual(machine.values, ['a', 'b', 'c', 'd']);
	second.dispose();
	await rm(folder, { recursive: true });
});
