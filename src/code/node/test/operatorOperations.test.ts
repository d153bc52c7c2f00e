import { createServer, connect, type AddressInfo } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { toDisposable } from '../../../base/common/disposable.js';
import { parseAddress } from '../../../services/transport/node/address.js';
import type { DeclaredTables } from '../../../declarations/common/tableEdits.js';
import { loadDeclaredTables } from '../../../declarations/node/loadDeclaration.js';
import {
	KeeperHarness,
	memberStatus,
	token,
	type TestKeeper,
} from '../../../keeper/node/test/keeperHarness.js';
import { waitFor } from '../../../base/common/async.js';
import { describeStatus, withAges } from '../../../operator/common/statusText.js';
import { applyDeclaration, changeTables } from '../../../operator/node/applyOperation.js';
import { drainProcess } from '../../../operator/node/drainOperation.js';
import { OperatorClient } from '../../../operator/node/operatorClient.js';

const options = { author: 'ana', isDryRun: false };
const declared: DeclaredTables = loadDeclaredTables(['examples/citacion-clara.toml']);

async function withKeepers(
	names: readonly string[],
	run: (harness: KeeperHarness, keepers: readonly TestKeeper[], client: OperatorClient) => Promise<void>,
): Promise<void> {
	const harness = new KeeperHarness();
	try {
		const keepers: TestKeeper[] = [];
		for (const name of names) {
			keepers.push(await harness.startKeeper(name));
		}
		await run(harness, keepers, createClient(harness, keepers.map(operatorAddress)));
	} finally {
		harness.dispose();
	}
}

function operatorAddress(keeper: TestKeeper): string {
	return keeper.daemon.operatorAddress;
}

function createClient(
	harness: KeeperHarness,
	addresses: readonly string[],
	timeoutMs = 3000,
): OperatorClient {
	return harness.add(new OperatorClient({ addresses, token, timeoutMs }));
}

test('apply changes once, and a second run finds nothing to change', async (t) => {
	await withKeepers(['keeper-1'], async (_harness, _keepers, client) => {
		const plan = await applyDeclaration(client, declared, { ...options, isDryRun: true });
		t.is(plan.exitCode, 10);
		t.is((await client.tables()).unwrap().tables.revision, 0);
		t.is((await applyDeclaration(client, declared, options)).exitCode, 10);
		t.is((await applyDeclaration(client, declared, options)).exitCode, 0);
		const { changes } = (await client.history(10)).unwrap();
		t.deepEqual(
			changes.map(({ revision, author }) => ({ revision, author })),
			[{ revision: 1, author: 'ana' }],
		);
	});
});

test('a plan on an older revision ends in a conflict that names the other change', async (t) => {
	await withKeepers(['keeper-1'], async (_harness, _keepers, client) => {
		await drainProcess(client, 'agent-1', false, { ...options, author: 'bea' });
		const late = await applyDeclaration(client, declared, { ...options, expectedRevision: 0 });
		t.is(late.exitCode, 11);
		t.regex(late.text, /present revision is 1[^]*by bea[^]*drains\/agent-1/);
	});
});

test('a change that breaks a rule is refused with both names', async (t) => {
	await withKeepers(['keeper-1'], async (_harness, _keepers, client) => {
		const orphan = await changeTables(
			client,
			[{ action: 'put', table: 'routes', row: { ...declared.routes[0]!, pool: 'nowhere' } }],
			0,
			options,
		);
		t.is(orphan.exitCode, 14);
		t.regex(orphan.text, new RegExp(`"${declared.routes[0]!.name}"[^]*"nowhere"`));
	});
});

test('a route whose jobs may outlast the drain of a running entry is refused with both keys', async (t) => {
	await withKeepers(['keeper-1'], async (harness, keepers, client) => {
		harness.startClient('entry-1', 'entry', keepers, { drainTimeoutMs: 30_000 });
		await waitFor('the keeper knows the entry', 5000, async () => {
			const status = await client.status();
			return status.isOk() && status.value.processes.some(({ processId }) => processId === 'entry-1');
		});
		const result = await applyDeclaration(client, declared, options);
		t.is(result.exitCode, 14);
		t.regex(result.text, /maxDeadlineMs = 60000[^]*entry-1[^]*drainTimeoutMs = 30000/);
		t.is((await client.tables()).unwrap().tables.revision, 0);
	});
});

test('a change whose answer is lost is sent again to another keeper, and made once', async (t) => {
	await withKeepers(['keeper-1', 'keeper-2'], async (harness, keepers) => {
		const lossy = await swallowAnswers(harness, operatorAddress(keepers[0]!));
		const client = createClient(harness, [lossy, operatorAddress(keepers[1]!)]);
		const result = await changeTables(
			client,
			[{ action: 'put', table: 'drains', row: { name: 'agent-1' } }],
			0,
			options,
		);
		t.is(result.exitCode, 10, result.text);
		t.like(result.json, { outcome: 'accepted', revision: 1 });
		const { changes } = (await client.history(10)).unwrap();
		t.is(changes.length, 1);
	});
});

test('a change whose answers are all lost is said to be unknown', async (t) => {
	await withKeepers(['keeper-1'], async (harness, keepers) => {
		const lossy = await swallowAnswers(harness, operatorAddress(keepers[0]!));
		const client = createClient(harness, [lossy], 300);
		const edit = { action: 'put', table: 'drains', row: { name: 'agent-1' } } as const;
		const result = await changeTables(client, [edit], 0, options);
		t.is(result.exitCode, 13);
		t.regex(result.text, /may or may not/);
	});
});

test('a change without a leader is surely not made, and the command says so', async (t) => {
	await withKeepers(['keeper-1'], async (harness, keepers) => {
		keepers[0]!.log.cutOff();
		const client = createClient(harness, [operatorAddress(keepers[0]!)], 200);
		const edit = { action: 'put', table: 'drains', row: { name: 'agent-1' } } as const;
		const result = await changeTables(client, [edit], 0, options);
		t.is(result.exitCode, 1);
		t.regex(result.text, /cut off/);
	});
});

test('beside keepers that are down, what the one that answers says is told', async (t) => {
	await withKeepers(['keeper-1'], async (harness, keepers) => {
		keepers[0]!.log.cutOff();
		const closed = '127.0.0.1:9';
		// A keeper that is down is asked last, whenever the time is over.
		const client = createClient(harness, [operatorAddress(keepers[0]!), closed, closed, closed], 300);
		const edit = { action: 'put', table: 'drains', row: { name: 'agent-1' } } as const;
		const result = await changeTables(client, [edit], 0, options);
		t.is(result.exitCode, 1);
		t.regex(result.text, /cut off/);
	});
});

test('apply --wait names the process that does not have the change in force', async (t) => {
	await withKeepers(['keeper-1', 'keeper-2'], async (harness, keepers, client) => {
		const agents = ['agent-1', 'agent-2'].map((name) => harness.startClient(name, 'agent', keepers));
		await waitFor('both are fresh', 3000, () => agents.every((agent) => agent.ageMs() < 300));
		agents[0]!.onDidChangeState((state) => {
			agents[0]!.setStatus(memberStatus({ revisionInForce: state.tables.revision }));
		});
		const waiting = await applyDeclaration(client, declared, { ...options, waitMs: 300 });
		t.is(waiting.exitCode, 12, waiting.text);
		t.regex(waiting.text, /agent-2: revision 0/);
		t.notRegex(waiting.text, /agent-1/);
		agents[1]!.setStatus(memberStatus({ revisionInForce: 1 }));
		const done = await applyDeclaration(client, declared, { ...options, waitMs: 3000 });
		t.is(done.exitCode, 0, done.text);
		t.regex(done.text, /in force in all 4 processes/);
	});
});

test('a process that was cut off counts as long as it may work with older tables', async (t) => {
	await withKeepers(['keeper-1'], async (harness, keepers, client) => {
		const agent = harness.startClient('agent-1', 'agent', keepers);
		await waitFor('the agent is fresh', 3000, () => agent.ageMs() < 300);
		agent.dispose();
		const startedMs = performance.now();
		const done = await applyDeclaration(client, declared, { ...options, waitMs: 8000 });
		t.is(done.exitCode, 10, done.text);
		t.true(performance.now() - startedMs > 3000, 'its freshness limit of 3 s has passed');
	});
});

test('status tells how old the tables of each process are, whichever keeper it is subscribed to', async (t) => {
	await withKeepers(['keeper-1', 'keeper-2'], async (harness, keepers, client) => {
		const [first, second] = keepers;
		harness.startClient('entry-1', 'entry', [first!]);
		harness.startClient('agent-1', 'agent', [second!]);
		await waitFor('each process has renewed its lease', 10_000, async () => {
			const status = await client.status();
			const { processes } = withAges(status.unwrap(), await client.statuses());
			const ages = processes.map(({ ageMs }) => ageMs ?? Infinity);
			return processes.length === 4 && ages.every((ageMs) => ageMs < 3000);
		});
		t.regex(describeStatus((await client.status()).unwrap()), /AGE[^]*entry-1 .* \d+ ms {2}live/);
	});
});

test('drain and its undo are idempotent, and win over other changes', async (t) => {
	await withKeepers(['keeper-1'], async (_harness, _keepers, client) => {
		t.is((await drainProcess(client, 'agent-1', false, options)).exitCode, 10);
		t.is((await drainProcess(client, 'agent-1', false, options)).exitCode, 0);
		const both = await Promise.all(
			['agent-2', 'agent-3', 'agent-4'].map((name) => drainProcess(client, name, false, options)),
		);
		t.deepEqual(
			both.map((result) => result.exitCode),
			[10, 10, 10],
		);
		t.is((await drainProcess(client, 'agent-1', true, options)).exitCode, 10);
		t.is((await client.tables()).unwrap().tables.drains.length, 3);
	});
});

test('the interface refuses strangers and malformed changes, naming the field', async (t) => {
	await withKeepers(['keeper-1'], async (_harness, keepers) => {
		const url = `http://${operatorAddress(keepers[0]!)}/v1/changes`;
		const post = async (authorization: string, body: string) => {
			const headers = { authorization, 'content-type': 'application/json' };
			const response = await request(url, { method: 'POST', headers, body });
			return { status: response.statusCode, text: await response.body.text() };
		};
		t.is((await post('Bearer wrong', '{}')).status, 401);
		t.is((await post('', '{}')).status, 401);
		const broken = await post(`Bearer ${token}`, '{');
		t.is(broken.status, 400);
		const edits = [{ action: 'put', table: 'pools', row: { name: 'ledger', maxQueuedTasks: -1 } }];
		const change = { requestId: 'request-1', expectedRevision: 0, author: 'ana', edits };
		const faulty = await post(`Bearer ${token}`, JSON.stringify(change));
		t.is(faulty.status, 400);
		t.regex(faulty.text, /maxQueuedTasks/);
		const large = await post(`Bearer ${token}`, ' '.repeat(5 * 1024 * 1024));
		t.is(large.status, 413);
		t.is(keepers[0]!.daemon.status().revision, 0);
	});
});

/** Passes requests on to a keeper and breaks each connection as soon as the answer comes. */
async function swallowAnswers(harness: KeeperHarness, target: string): Promise<string> {
	const server = createServer((client) => {
		const keeper = connect(parseAddress(target));
		client.on('error', () => undefined);
		keeper.on('error', () => undefined);
		client.pipe(keeper);
		keeper.on('data', () => {
			client.resetAndDestroy();
			keeper.destroy();
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	harness.add(
		toDisposable(() => {
			server.close();
		}),
	);
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
