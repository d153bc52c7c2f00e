import test from 'ava';
import { computeBurn } from '../common/burnReport.js';
import { renderBurnPage } from '../common/burnPage.js';
import { formatBudget, formatShare, renderBurnText } from '../common/burnText.js';
import type { OutcomeLedger } from '../common/outcomeCounts.js';
import { classifyOutcome, OutcomeRecorder } from '../common/outcomeRecorder.js';

const objectives = { answeredWithinMs: 500, answeredWithinShare: 0.99, answeredWholeShare: 0.999 };
const hourMs = 3_600_000;
const startMs = 1_800_000_000_000;

function ledgerOf(fill: (recorder: OutcomeRecorder, setTime: (atMs: number) => void) => void): OutcomeLedger {
	let nowMs = startMs;
	const recorder = new OutcomeRecorder({ processId: 'entry-1', incarnation: 'a' }, () => nowMs);
	fill(recorder, (atMs) => {
		nowMs = atMs;
	});
	return recorder.read(() => objectives);
}

function beatUntil(
	recorder: OutcomeRecorder,
	setTime: (atMs: number) => void,
	fromMs: number,
	untilMs: number,
): void {
	for (let atMs = fromMs; atMs <= untilMs; atMs += 4000) {
		setTime(atMs);
		recorder.beat();
	}
}

test('refusals, failures and late answers are told apart', (t) => {
	t.is(classifyOutcome({ status: 'complete', responseMs: 500 }, objectives), 'onTime');
	t.is(classifyOutcome({ status: 'complete', responseMs: 501 }, objectives), 'late');
	t.is(classifyOutcome({ status: 'notRun', reason: 'queueFull', responseMs: 1 }, objectives), 'refused');
	t.is(classifyOutcome({ status: 'notRun', reason: 'cancelled', responseMs: 1 }, objectives), 'cancelled');
	t.is(
		classifyOutcome({ status: 'failed', outcome: 'ranAndFailed', responseMs: 1 }, objectives),
		'ranAndFailed',
	);
	t.is(classifyOutcome({ status: 'failed', outcome: 'mayHaveRun', responseMs: 1 }, objectives), 'mayHaveRun');
});

test('the burn rate is the bad share over the allowed share', (t) => {
	const ledger = ledgerOf((recorder) => {
		for (let index = 0; index < 98; index += 1) {
			recorder.record('lookup', 'onTime');
		}
		recorder.record('lookup', 'late');
		recorder.record('lookup', 'refused');
		recorder.record('lookup', 'cancelled');
	});
	const [route] = computeBurn([ledger], [], startMs).routes;
	const [fiveMinutes] = route!.windows;
	const [onTime, whole] = fiveMinutes!.objectives;
	t.is(onTime?.kept, 0.98);
	t.is(Math.round(onTime!.burnRate! * 1000), 2000);
	t.is(Math.round(whole!.burnRate! * 1000), 10_000);
	t.is(Math.round(route!.budgetLeft.onTime! * 1000), -1000);
});

test('a page needs both its windows to burn', (t) => {
	const shortBurst = ledgerOf((recorder, setTime) => {
		for (let index = 0; index < 10_000; index += 1) {
			recorder.record('lookup', 'onTime');
		}
		setTime(startMs + hourMs / 2);
		for (let index = 0; index < 100; index += 1) {
			recorder.record('lookup', 'refused');
		}
	});
	const [calm] = computeBurn([shortBurst], [], startMs + hourMs / 2).routes;
	t.false(calm!.alarms.some((alarm) => alarm.objective === 'onTime' && alarm.kind === 'page'));
	const lasting = ledgerOf((recorder) => {
		for (let index = 0; index < 100; index += 1) {
			recorder.record('lookup', index < 50 ? 'onTime' : 'refused');
		}
	});
	const [burning] = computeBurn([lasting], [], startMs).routes;
	t.deepEqual(
		burning!.alarms.map((alarm) => alarm.kind),
		['page', 'page'],
	);
	t.regex(burning!.alarms[0]!.message, /"lookup"/);
});

test('what no entry has seen is said, in share and in hours', (t) => {
	const ledger = ledgerOf((recorder, setTime) => {
		recorder.record('lookup', 'onTime');
		beatUntil(recorder, setTime, startMs, startMs + hourMs / 4);
		beatUntil(recorder, setTime, startMs + hourMs / 2, startMs + hourMs);
	});
	const report = computeBurn([ledger], ['entry-2'], startMs + hourMs);
	t.is(report.unseenSpans.length, 2);
	t.is(report.unseenSpans[1]!.untilMs - report.unseenSpans[1]!.fromMs, hourMs / 4);
	t.is(report.routes[0]!.windows[1]!.seenShare, 0);
	const alone = computeBurn([ledger], [], startMs + hourMs);
	t.is(Math.round(alone.routes[0]!.windows[1]!.seenShare * 100), 75);
	t.regex(renderBurnText(report), /entry-2 could not be read/);
	t.regex(renderBurnText(report), /Not seen by entry-1/);
});

test('a run of an entry that is gone is named with its hours, and counts as not seen', async (t) => {
	const survivor = ledgerOf((recorder, setTime) => {
		recorder.record('lookup', 'onTime');
		for (let atMs = startMs; atMs <= startMs + hourMs; atMs += 4000) {
			setTime(atMs);
			recorder.beat();
			// Another entry is there for the first half hour and is killed then; this one sees itself too.
			const own = { processId: 'entry-1', incarnation: 'a' };
			const other = { processId: 'entry-2', incarnation: 'b' };
			recorder.noteRuns(atMs < startMs + hourMs / 2 ? [own, other] : [own]);
		}
	});
	const report = computeBurn([survivor], [], startMs + hourMs);
	t.like(report.lostRuns, [{ processId: 'entry-2', incarnation: 'b', fromMs: startMs }]);
	t.is(report.lostRuns.length, 1);
	const [fiveMinutes, oneHour] = report.routes[0]!.windows;
	t.is(Math.round(fiveMinutes!.seenShare * 100), 100);
	t.is(Math.round(oneHour!.seenShare * 100), 50);
	const sentence = /entry-2[^]*is gone[^]*2027-01-15 08:00:00[^]*2027-01-15 08:29:56/;
	t.regex(renderBurnText(report), sentence);
	t.regex(String(await renderBurnPage(report)), sentence);
	const both = computeBurn([survivor, { ...survivor, processId: 'entry-2', incarnation: 'b' }], [], startMs);
	t.deepEqual(both.lostRuns, [], 'A run that was read is not lost.');
});

test('a budget over a window that was hardly seen says how little of it was seen', async (t) => {
	const ledger = ledgerOf((recorder, setTime) => {
		recorder.record('lookup', 'onTime');
		beatUntil(recorder, setTime, startMs, startMs + hourMs);
	});
	const report = computeBurn([ledger], [], startMs + hourMs);
	const sentence = /3d[^]{0,20}1\.39% (of it )?(was )?seen/;
	t.regex(renderBurnText(report), sentence);
	t.regex(String(await renderBurnPage(report)), sentence);
	t.regex(renderBurnText(report), /\d UTC/);
});

test('a small share is not shown as none, and a budget that is gone is said to be overspent', (t) => {
	t.is(formatShare(0), '0.00%');
	t.is(formatShare(0.00001), 'less than 0.01%');
	t.is(formatBudget(-1.5), 'overspent by 150.00%');
	t.is(formatBudget(0.25), '25.00%');
	t.is(formatBudget(undefined), '-');
});

test('the page shows the route and escapes its name', async (t) => {
	const ledger = ledgerOf((recorder) => {
		recorder.record('<lookup>', 'onTime');
	});
	const page = String(await renderBurnPage(computeBurn([ledger], [], startMs)));
	t.true(page.includes('&lt;lookup&gt;'));
	t.false(page.includes('<lookup>'));
});
