/**
 * Replays of load patterns at the sites' proportions. Each bound is the aim for the pattern: 95% of what has room is in
 * time, a twentieth of the work at most is thrown away, and large jobs get at least half of what all get.
 */

import test from 'ava';
import {
	replayLoad,
	siteKinds,
	siteWorkers,
	type KindOutcome,
	type ReplayOutcome,
	type ReplayPlan,
} from './replayLoad.js';

const base: Omit<ReplayPlan, 'seed'> = {
	durationMs: 12_000,
	entries: 3,
	workers: siteWorkers(),
	kinds: siteKinds(1),
};

/** Share of what has room that must be in time. */
const aim = 0.95;

/** Share of the starts that may find no room: as much as may be thrown away of the work. */
const maxRefusedShare = 0.05;

function shareOf({ asked, inObjective }: KindOutcome): number {
	return inObjective / asked;
}

function total(outcome: ReplayOutcome): KindOutcome {
	const sum = { asked: 0, inObjective: 0, late: 0, rejected: 0, failed: 0 };
	for (const kind of outcome.kinds.values()) {
		sum.asked += kind.asked;
		sum.inObjective += kind.inObjective;
		sum.late += kind.late;
		sum.rejected += kind.rejected;
		sum.failed += kind.failed;
	}
	return sum;
}

function wasteOf({ wastedCoreMs, usefulCoreMs }: ReplayOutcome): number {
	return wastedCoreMs / (wastedCoreMs + usefulCoreMs);
}

const patterns: readonly { readonly title: string; readonly plan: Partial<ReplayPlan> }[] = [
	{ title: 'the usual load', plan: {} },
	{ title: 'a fifth more of everything', plan: { kinds: siteKinds(1.2) } },
	{
		title: 'a burst of one kind by 1.8',
		plan: { bursts: [{ fromMs: 4000, toMs: 8000, factor: 1.8, kind: 'terms' }] },
	},
	{
		title: 'two workers six times slower',
		plan: { faults: [0, 4].map((worker) => ({ worker, fromMs: 4000, toMs: 10_000, speedFactor: 0.16 })) },
	},
	{
		title: 'two workers whose tasks stand still',
		plan: { faults: [0, 4].map((worker) => ({ worker, fromMs: 4000, toMs: 9000, speedFactor: 0 })) },
	},
	{
		title: 'two workers that fail all they start',
		plan: { faults: [0, 4].map((worker) => ({ worker, fromMs: 4000, toMs: 9000, failShare: 1 })) },
	},
	{ title: 'a twentieth of the jobs can never be done', plan: { poisonShare: 0.05 } },
];

for (const { title, plan } of patterns) {
	test(`${title}: what has room is in time`, (t) => {
		for (const seed of [1, 2]) {
			const outcome = replayLoad({ ...base, ...plan, seed });
			const all = total(outcome);
			t.true(shareOf(all) >= aim, `seed ${seed}: ${shareOf(all)} of ${all.asked} in time`);
			t.true(shareOf(outcome.largest) >= shareOf(all) / 2, `seed ${seed}: largest jobs`);
			for (const [name, kind] of outcome.kinds) {
				t.true(shareOf(kind) >= 0.9, `seed ${seed}: ${name} ${shareOf(kind)}`);
			}
			t.true(wasteOf(outcome) <= 0.05, `seed ${seed}: waste ${wasteOf(outcome)}`);
		}
	});
}

test('far too much of everything: no kind starves, and nothing that was taken comes to nothing', (t) => {
	for (const seed of [1, 2]) {
		const outcome = replayLoad({ ...base, kinds: siteKinds(1.8), seed });
		const all = total(outcome);
		t.true(shareOf(outcome.largest) >= shareOf(all) / 2, `seed ${seed}: largest ${shareOf(outcome.largest)}`);
		for (const [name, kind] of outcome.kinds) {
			t.true(shareOf(kind) >= shareOf(all) / 2, `seed ${seed}: ${name} ${shareOf(kind)}`);
		}
		t.true(all.failed <= 0.01 * all.asked, `seed ${seed}: ${all.failed} taken and not served`);
		t.true(wasteOf(outcome) <= 0.05, `seed ${seed}: waste ${wasteOf(outcome)}`);
	}
});

test('callers that leave early free their room for the others', (t) => {
	const outcome = replayLoad({ ...base, kinds: siteKinds(1.4), leavingShare: 0.35, seed: 3 });
	const all = total(outcome);
	const stayed = all.inObjective + all.late + all.rejected + all.failed;
	t.true(all.inObjective / stayed >= aim, `${all.inObjective} of ${stayed}`);
});

test('thirteen entries on seventy-two workers: what has room is in time, and few starts collide', (t) => {
	const outcome = replayLoad({
		seed: 1,
		durationMs: 3000,
		entries: 13,
		workers: siteWorkers(72),
		// The small site's load a worker.
		kinds: siteKinds(72 / 11),
	});
	const all = total(outcome);
	t.true(shareOf(all) >= aim, `${shareOf(all)} of ${all.asked} in time`);
	const refusedShare = outcome.startsRefused / outcome.startsSent;
	t.true(refusedShare <= maxRefusedShare, `${refusedShare} of the starts found no room`);
});
