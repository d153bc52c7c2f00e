import test from 'ava';
import { LocalProcess } from '../node/localProcess.js';
import { ProofRun } from '../node/proofRun.js';

test('the demo runs the whole system, tells what readers get, and leaves nothing behind', async (t) => {
	const demo = LocalProcess.start({ name: 'demo', args: ['demo'] });
	t.teardown(() => {
		demo.dispose();
	});
	const exit = await demo.waitForExit(90_000);
	const output = demo.outputLines.join('\n');
	t.deepEqual(exit, { code: 0, signal: null }, `${output}\n${demo.errorText}`);
	t.regex(output, /Complete after \d+ ms at entry-2: all 40 results, in order/);
	t.regex(output, /Not run \(neverFits\)/);
	t.regex(output, /0 promises were broken/);
});

test('a job goes in at any entry, its whole answer comes out, and each task starts once', async (t) => {
	const run = await ProofRun.start({
		keepers: 1,
		entries: 2,
		agents: [{ pool: 'ledger' }, { pool: 'ledger' }, { pool: 'response' }],
	});
	t.teardown(() => run.close());
	const tokens = Array.from({ length: 40 }, (_, index) => `terms-${index}`);
	const answers = await Promise.all(
		run.system.entries.map((entry) =>
			run.readers.submit(entry, {
				route: 'commission-terms',
				tasks: tokens.map((token) => ({ token: `${entry.name}-${token}`, runMs: 20 })),
			}),
		),
	);
	t.deepEqual(
		answers.map(({ outcome }) => outcome.kind),
		['complete', 'complete'],
	);
	const report = await run.finish();
	t.deepEqual(report.breaches, []);
	t.true(report.starts >= 2 * tokens.length);
});
