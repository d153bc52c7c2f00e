import test from 'ava';
import fc from 'fast-check';
import { rendezvousOrder } from '../../base/common/rendezvous.js';
import { SeededRandom } from '../../base/common/random.js';
import type { Tables } from '../../declarations/common/tables.js';
import { divideQuota } from '../common/quotaLedger.js';
import { injectFaults } from './promisesRun.js';
import { testTables } from './fakeControlPlane.js';
import { SimulatedSystem, submissionOf, type SimulationOptions } from './simulatedSystem.js';

const team = 'galleries';
/** Time by which a home has what it can get of another home's part, and of what entries that place nothing hold. */
const betweenHomesMs = 1500;
const wholeShareMs = 4000;

const firstSeed = Number(process.env.YUCCAARCH_SEED ?? 1);
const seeds = Number(process.env.YUCCAARCH_SEEDS ?? 60);

const entryNames = ['entry-0', 'entry-1', 'entry-2'];

/** Pools of which each has another home while all entries live. */
const pools = entryNames.map((home) => {
	const names = Array.from({ length: 100 }, (_unused, index) => `pool-${index}`);
	return names.find((name) => rendezvousOrder(name, entryNames)[0] === home)!;
});

function tablesWith(quota: number): Tables {
	const [route, ...otherRoutes] = testTables.routes;
	const [pool] = testTables.pools;
	return {
		...testTables,
		routes: [
			route!,
			...otherRoutes,
			...pools.map((name) => ({ ...route!, name, pool: name, repeatable: true })),
		],
		pools: pools.map((name) => ({ ...pool!, name })),
		teams: [{ name: team, maxRunningTasks: quota, weight: 1 }],
	};
}

function systemWith(quota: number, options: Partial<SimulationOptions>): SimulatedSystem {
	return new SimulatedSystem({
		seed: 1,
		entries: 3,
		agents: 8,
		slots: 32,
		oneWayMs: 1,
		jitterMs: 4,
		runMs: () => 100,
		tables: tablesWith(quota),
		pools,
		...options,
	});
}

/** Tasks of the team that all entries together may have at workers. */
function leasedTasks(system: SimulatedSystem): number {
	return system.entries
		.filter((entry) => entry.isAlive)
		.map(({ core }) => core.tables.quotas.partOf(team, system.nowMs))
		.reduce((sum, { tasks, assured }) => sum + Math.max(tasks, assured), 0);
}

function every(system: SimulatedSystem, intervalMs: number, run: () => void): void {
	system.after(intervalMs, () => {
		run();
		every(system, intervalMs, run);
	});
}

/** Keeps a number of jobs of one task waiting at a pool. */
function keepAsking(system: SimulatedSystem, pool: string, tasksPerSecond: number): void {
	let count = 0;
	every(system, 1000 / tasksPerSecond, () => {
		count += 1;
		const entry = count % system.entries.length;
		system.submit(entry, submissionOf(`${pool}-${count}`, 1, { route: pool, remainingMs: 8000 }));
	});
}

function runningAt(system: SimulatedSystem, pool: string): number {
	const home = system.entries.find(({ core }) => core.tables.pools.get(pool)?.home.kind === 'self');
	return home?.core.tables.runningByTeam.get(team) ?? 0;
}

const [first, second] = pools as [string, string];

test('the parts of a quota never add up to more than the quota, whatever is lost, late, doubled or frozen', (t) => {
	t.timeout(170_000);
	let busyLooks = 0;
	for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
		const random = new SeededRandom(seed);
		const quota = random.integer(1, 40);
		const system = systemWith(quota, { seed, doubledShare: 0.2, jitterMs: random.pick([4, 300]) });
		system.after(200, () => {
			for (const pool of pools) {
				keepAsking(system, pool, 60);
			}
			injectFaults(system, random);
		});
		every(system, 5, () => {
			const leased = leasedTasks(system);
			busyLooks += leased > quota / 2 ? 1 : 0;
			if (leased > quota) {
				throw new Error(`seed ${seed}: ${leased} tasks of ${quota} are leased at ${system.nowMs} ms`);
			}
		});
		t.notThrows(() => {
			system.runUntil(12_000);
		});
	}
	t.log(`more than half of the quota was leased in ${busyLooks} of ${seeds * 2400} looks`);
	t.true(busyLooks > seeds * 2400 * 0.3, 'Quotas are of use in spite of the faults.');
});

test('a team that uses one home only gets the whole quota there', (t) => {
	for (const quota of [5, 12, 30]) {
		const system = systemWith(quota, {});
		keepAsking(system, first, 800);
		system.runUntil(200 + wholeShareMs);
		t.is(runningAt(system, first), quota);
	}
});

test('parts follow the demand from one home to two, and the tasks never exceed the quota', (t) => {
	const quota = 12;
	const system = systemWith(quota, {});
	const most = { first: 0, second: 0, both: 0 };
	every(system, 1, () => {
		most.both = Math.max(most.both, runningAt(system, first) + runningAt(system, second));
	});
	keepAsking(system, first, 400);
	system.runUntil(200 + wholeShareMs);
	t.is(runningAt(system, first), quota);
	keepAsking(system, second, 400);
	system.runUntil(200 + wholeShareMs + betweenHomesMs);
	for (let look = 0; look < 200; look += 1) {
		system.runUntil(system.nowMs + 10);
		most.second = Math.max(most.second, runningAt(system, second));
		most.first = Math.max(most.first, runningAt(system, first));
	}
	t.true(most.second >= quota / 2 && most.first >= quota / 2, JSON.stringify(most));
	t.true(most.both <= quota, JSON.stringify(most));
});

test('the messages about quotas don’t grow with the tasks', (t) => {
	const sent = [20, 400].map((tasksPerSecond) => {
		const system = systemWith(1000, {});
		keepAsking(system, first, tasksPerSecond);
		keepAsking(system, second, tasksPerSecond);
		system.runUntil(10_200);
		return system.entries.reduce((sum, { core }) => sum + core.tables.stats.wastedMessages.grants.frames, 0);
	});
	// Two of the three entries ask the third, at most 10 times a second: each 300 ms for all teams, each 200 ms for those that need more.
	const most = 10 * 2 * 10 * 2;
	t.true(
		sent.every((frames) => frames <= most),
		JSON.stringify({ sent, most }),
	);
});

test('a quota is divided into max-min fair shares without a rest', (t) => {
	fc.assert(
		fc.property(
			fc.integer({ min: 0, max: 500 }),
			fc.array(fc.integer({ min: 0, max: 300 }), { minLength: 1, maxLength: 8 }),
			(quota, wanted) => {
				const shares = divideQuota(quota, wanted);
				const sum = shares.reduce((total, share) => total + share, 0);
				const isShort = shares.map((share, index) => share < (wanted[index] ?? 0));
				const most = Math.max(...shares);
				const isFair = shares.every((share, index) => isShort[index] !== true || share >= most - 1);
				return sum === quota && isFair;
			},
		),
	);
	t.pass();
});
