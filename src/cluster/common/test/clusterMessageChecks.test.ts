/** One odd member in a list that all processes read must have no effect on the others. */

import test from 'ava';
import fc from 'fast-check';
import { parseAddress } from '../../../services/transport/node/address.js';
import { isAddress, isRoutingMessage, readView } from '../clusterMessageChecks.js';

const seed = 20_261_205;
const runCount = Number(process.env.YUCCAARCH_FUZZ_RUNS ?? 2000);

const keeper = { address: '10.0.0.1:7000', silentMs: 5 };
const entry = { processId: 'entry-1', address: '10.0.0.2:7000', silentMs: 0 };

function nest(depth: number): unknown {
	let value: unknown = {};
	for (let level = 0; level < depth; level += 1) {
		value = [value];
	}
	return value;
}

const oddAddresses = [
	...[
		'10.0.0.1:65536',
		'10.0.0.1:99999',
		'10.0.0.1:-1',
		'10.0.0.1:80x',
		'10.0.0.1',
		'256.0.0.1:80',
		'1.2.3:80',
	],
	...['http://10.0.0.1:80', '', ':', '__proto__', 80, null, undefined, {}, nest(10_000)],
];

for (const [index, address] of oddAddresses.entries()) {
	const name = typeof address === 'string' ? `"${address}"` : typeof address;
	test(`a member with the address ${name} (${index}) is left out, and the others are kept`, (t) => {
		const received = {
			keepers: [{ address, silentMs: 0 }, keeper],
			entries: [{ processId: 'odd', address, silentMs: 0 }, entry],
		};
		t.deepEqual(readView(received), { view: { keepers: [keeper], entries: [entry] }, unreadableCount: 2 });
	});
}

test('a member whose contact lies in the future or is no number is left out', (t) => {
	const keepers = [-1, Infinity, NaN, '5', 2 ** 1023 * 2].map((silentMs) => ({ ...keeper, silentMs }));
	t.deepEqual(readView({ keepers, entries: [] }), { view: { keepers: [], entries: [] }, unreadableCount: 5 });
});

test('a routing document needs a safe version and bytes', (t) => {
	const message = { kind: 'routing', version: 3, document: new Uint8Array(1) };
	t.true(isRoutingMessage(message));
	for (const version of [NaN, -1, 2 ** 53, '3', undefined]) {
		t.false(isRoutingMessage({ ...message, version } as typeof message));
	}
	t.false(isRoutingMessage({ ...message, document: 'text' } as unknown as typeof message));
});

test('whatever a view holds, it is read without an error, and each address that is kept can be connected to', (t) => {
	const odd = fc.oneof(fc.anything({ maxDepth: 3 }), fc.constantFrom(...oddAddresses));
	const member = fc.oneof(
		odd,
		fc.record({ processId: odd, address: odd, silentMs: odd }),
		fc.constant(entry),
	);
	const bracketedHost = fc
		.oneof(fc.ipV6(), fc.stringMatching(/^[0-9a-f:]{0,12}$/))
		.map((host) => `[${host}]`);
	const list = fc.oneof(odd, fc.array(member));
	fc.assert(
		fc.property(list, list, (keepers, entries) => {
			const { view } = readView({ keepers, entries });
			for (const { address } of [...view.keepers, ...view.entries]) {
				parseAddress(address);
			}
		}),
		{ seed, numRuns: runCount },
	);
	fc.assert(
		fc.property(
			fc.oneof(fc.ipV4(), bracketedHost, fc.string()),
			fc.integer({ min: -1, max: 70_000 }),
			(host, port) => {
				const address = `${host}:${port}`;
				if (isAddress(address)) {
					parseAddress(address);
				}
			},
		),
		{ seed, numRuns: runCount },
	);
	t.pass();
});
