/** An entry that can't show how fresh its tables are refuses as not run, and nothing starts. */

import test from 'ava';
import { waitFor } from '../../base/common/async.js';
import type { LocalEntry } from '../node/localDaemon.js';
import { ProofRun } from '../node/proofRun.js';
import type { ReaderAnswer } from '../node/readerClient.js';
import { at, progressTimeoutMs, usualSystem } from './proofScenario.js';

/** Longest age of tables, as in the entries' default settings, and some time for a busy machine. */
const freshnessLimitMs = 3000;
const schedulingSlackMs = 500;

let lastToken = 0;

function ask(run: ProofRun, entry: LocalEntry, runMs = 20): Promise<ReaderAnswer> {
	lastToken += 1;
	const tasks = [{ token: `ask-${lastToken}`, runMs }];
	return run.readers.submit(entry, { route: 'consignment-status', tasks });
}

function isStaleRefusal({ outcome }: ReaderAnswer): boolean {
	return outcome.kind === 'notRun' && outcome.reason === 'staleTables';
}

test.serial('an entry that is cut off from the keepers refuses within the freshness limit', async (t) => {
	const run = await ProofRun.start({ ...usualSystem, entries: 2, proxies: ['keeperPeer'] });
	t.teardown(() => run.close());
	const entry = at(run.system.entries, 0);
	const proxy = at(run.system.keepers, 0).peerProxy!;
	for (const direction of ['toClient', 'toServer'] as const) {
		const cutAtMs = Date.now();
		const cut = proxy.cut(direction, { client: entry.name });
		let refusal: ReaderAnswer | undefined;
		await waitFor(`${entry.name} refuses`, progressTimeoutMs, async () => {
			const answer = await ask(run, entry);
			refusal = isStaleRefusal(answer) ? answer : undefined;
			return refusal !== undefined;
		});
		t.true(refusal!.endedAtMs - cutAtMs <= freshnessLimitMs + schedulingSlackMs);
		t.is((await fetch(`${entry.url}/readyz`)).status, 503);
		t.is((await ask(run, at(run.system.entries, 1))).outcome.kind, 'complete');
		cut.dispose();
		await run.system.waitUntilServing();
		await run.awaitWorkers(entry);
	}
	t.deepEqual((await run.finish()).breaches, []);
});

test.serial(
	'an entry that starts without a keeper refuses, and does not deny a route that exists',
	async (t) => {
		const run = await ProofRun.start({ ...usualSystem, entries: 1 });
		t.teardown(() => run.close());
		const entry = at(run.system.entries, 0);
		const keeper = at(run.system.keepers, 0);
		await keeper.kill();
		await entry.kill();
		await entry.start();
		t.true(isStaleRefusal(await ask(run, entry)));
		await keeper.start();
		await run.system.waitUntilServing();
		await run.awaitWorkers(entry);
		t.deepEqual((await run.finish()).breaches, []);
	},
);
