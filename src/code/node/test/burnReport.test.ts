/** The burn report of real processes says which hours it leaves out: after a restart, and for an entry that is gone. */

import test from 'ava';
import { waitFor } from '../../../base/common/async.js';
import type { BurnReport } from '../../../burn/common/burnReport.js';
import { exampleFiles } from '../../../proof/node/exampleFiles.js';
import { LocalSystem } from '../../../proof/node/localSystem.js';

/** Longer than processes are remembered after their last sign of life. */
const forgottenWithinMs = 20_000;

async function readReport(system: LocalSystem): Promise<BurnReport> {
	const { output, errorText } = await system.runOperator('burn', ['--json']);
	const [line] = output;
	if (line === undefined) {
		throw new Error(`"yuccaarch burn" printed nothing: ${errorText}`);
	}
	return JSON.parse(line) as BurnReport;
}

async function submit(url: string): Promise<number> {
	const response = await fetch(`${url}/v1/routes/commission-terms/jobs`, {
		method: 'POST',
		headers: { 'content-type': 'application/json' },
		body: JSON.stringify({ tasks: [{ runMs: 1 }], team: 'galleries' }),
	});
	await response.text();
	return response.status;
}

test('a killed entry stays named with its hours, also after its next run has started', async (t) => {
	const system = await LocalSystem.start({ keepers: 1, entries: 2, agents: [{ pool: 'ledger' }] });
	try {
		await system.apply([exampleFiles.registroRioplatense]);
		await system.waitUntilServing();
		for (const entry of system.entries) {
			t.is(await submit(entry.url), 200);
		}
		const [, second] = system.entries;
		const calm = await readReport(system);
		t.deepEqual(calm.entries, ['entry-1', 'entry-2']);
		t.deepEqual(calm.lostRuns, []);
		await second!.kill();
		const killedAtMs = Date.now();
		await waitFor('the keepers have forgotten the killed entry', forgottenWithinMs, async () => {
			const { entries, silentEntries } = await readReport(system);
			return entries.length === 1 && silentEntries.length === 0;
		});
		const [lost, ...others] = (await readReport(system)).lostRuns;
		t.deepEqual(others, []);
		t.is(lost?.processId, 'entry-2');
		t.true(lost!.fromMs < killedAtMs && lost!.untilMs >= killedAtMs - 2000);
		await second!.start();
		await waitFor('the new run is read', forgottenWithinMs, async () => {
			const { entries } = await readReport(system);
			return entries.includes('entry-2');
		});
		const after = await readReport(system);
		t.is(after.lostRuns.length, 1, 'The earlier run is still named.');
		const unseen = after.unseenSpans.filter(({ processId }) => processId === 'entry-2');
		t.true(unseen.some(({ untilMs }) => untilMs > killedAtMs));
	} finally {
		await system.close();
	}
});
