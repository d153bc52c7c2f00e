/**
 * Measures the messages about team quotas by the number of teams: three entries, of which two are homes and one grants.
 *
 * Run: `node out/src/entry/test/quotaMessageBenchmark.js`
 */

import { FrameEncoder } from '../../services/transport/common/frameCodec.js';
import { rendezvousOrder } from '../../base/common/rendezvous.js';
import type { Tables } from '../../declarations/common/tables.js';
import { testTables } from './fakeControlPlane.js';
import { SimulatedSystem, submissionOf } from './simulatedSystem.js';

const teamCounts = [30, 60, 120, 240];
const warmUpMs = 2000;
const measuredMs = 30_000;
const maxFrameBytes = 2 ** 24;
const entryNames = ['entry-0', 'entry-1', 'entry-2'];

/** Two pools with different homes. */
const pools = ['entry-0', 'entry-1'].map((home) => {
	const names = Array.from({ length: 100 }, (_unused, index) => `pool-${index}`);
	return names.find((name) => rendezvousOrder(name, entryNames)[0] === home)!;
});

function tablesWith(teamCount: number): Tables {
	const [route] = testTables.routes;
	const [pool] = testTables.pools;
	return {
		...testTables,
		routes: pools.map((name) => ({ ...route!, name, pool: name })),
		pools: pools.map((name) => ({ ...pool!, name })),
		teams: Array.from({ length: teamCount }, (_unused, index) => ({
			name: `department-${index}`,
			maxRunningTasks: 200,
			weight: 1,
		})),
	};
}

/** Messages and bytes a second, of all entries together, while every team has tasks at both homes. */
function measure(teamCount: number): { messages: number; bytes: number } {
	const encoders = new Map<number, FrameEncoder>();
	const sum = { messages: 0, bytes: 0 };
	const system: SimulatedSystem = new SimulatedSystem({
		seed: 1,
		entries: 3,
		agents: 8,
		slots: 100,
		oneWayMs: 1,
		jitterMs: 1,
		runMs: () => 200,
		tables: tablesWith(teamCount),
		pools,
		onSent: (sessionId, message) => {
			if (!message.kind.startsWith('quota')) {
				return;
			}
			const encoder = encoders.get(sessionId) ?? new FrameEncoder(maxFrameBytes);
			encoders.set(sessionId, encoder);
			const { length } = encoder.encode(message);
			if (system.nowMs >= warmUpMs) {
				sum.messages += 1;
				sum.bytes += length;
			}
		},
	});
	for (let atMs = 100; atMs < warmUpMs + measuredMs; atMs += 10) {
		system.after(atMs, () => {
			const team = `department-${(atMs / 10) % teamCount}`;
			for (const [index, pool] of pools.entries()) {
				system.submit(index, submissionOf(`${pool}-${atMs}`, 3, { route: pool, team }));
			}
		});
	}
	system.runUntil(warmUpMs + measuredMs);
	const seconds = measuredMs / 1000;
	return { messages: sum.messages / seconds, bytes: sum.bytes / seconds };
}

const measured = teamCounts.map((teams) => ({ teams, ...measure(teams) }));
for (const { teams, messages, bytes } of measured) {
	process.stdout.write(`${teams} teams: ${messages.toFixed(1)} messages/s, ${Math.round(bytes)} bytes/s\n`);
}
const [first, last] = [measured[0]!, measured[measured.length - 1]!];
const slope = (last.bytes - first.bytes) / (last.teams - first.teams);
process.stdout.write(`slope: ${slope.toFixed(1)} bytes/s a team\n`);
