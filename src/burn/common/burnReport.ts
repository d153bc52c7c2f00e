/** Error budgets of routes, how fast they burn, and the alarms that such rates raise. */

import type { RouteObjectives } from '../../declarations/common/tables.js';
import {
	addOutcomes,
	noOutcomes,
	type EntryRun,
	type OutcomeCounts,
	type OutcomeLedger,
	type RouteLedger,
	type SeenSpan,
} from './outcomeCounts.js';

/** A span of time that a report looks back over. */
export interface BurnWindow {
	readonly name: '5m' | '1h' | '6h' | '3d';
	readonly lengthMs: number;
}

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;

/** The windows of every report. The budget is counted over the last one. */
export const burnWindows: readonly BurnWindow[] = [
	{ name: '5m', lengthMs: 5 * minuteMs },
	{ name: '1h', lengthMs: hourMs },
	{ name: '6h', lengthMs: 6 * hourMs },
	{ name: '3d', lengthMs: 72 * hourMs },
];

const longestWindowMs = Math.max(...burnWindows.map((window) => window.lengthMs));

/** What an objective promises: an answer in time, or a whole answer however late. */
export type ObjectiveKind = 'onTime' | 'whole';

/** Urgency of an alarm: a page wakes somebody, a ticket can wait for the morning. */
export type AlarmKind = 'page' | 'ticket';

/**
 * Rates of burn that raise an alarm. Both windows must burn: the long one shows that it matters, the short one
 * that it still goes on. A burn of 1 spends the budget in exactly the budget's period.
 */
const alarmRules: readonly {
	readonly kind: AlarmKind;
	readonly short: BurnWindow['name'];
	readonly long: BurnWindow['name'];
	readonly rate: number;
}[] = [
	{ kind: 'page', short: '5m', long: '1h', rate: 14.4 },
	{ kind: 'page', short: '1h', long: '6h', rate: 6 },
	{ kind: 'ticket', short: '6h', long: '3d', rate: 1 },
];

/** An alarm that is raised now. */
export interface BurnAlarm {
	readonly kind: AlarmKind;
	readonly objective: ObjectiveKind;
	/** A sentence that names the route, the rate and the windows. */
	readonly message: string;
}

/** Burn of one objective in one window. */
export interface ObjectiveBurn {
	readonly objective: ObjectiveKind;
	/** Share that was promised, from 0 to 1. */
	readonly target: number;
	/** Share that was kept; absent when no job ended in the window. */
	readonly kept?: number | undefined;
	/** Speed at which the budget is spent; 1 spends it in its own period. Absent when no job ended. */
	readonly burnRate?: number | undefined;
}

/** One route in one window. */
export interface WindowBurn {
	readonly window: BurnWindow['name'];
	readonly counts: OutcomeCounts;
	/** Share of the window that every listed entry was counting, from 0 to 1. */
	readonly seenShare: number;
	readonly objectives: readonly ObjectiveBurn[];
}

/** One route in all windows. */
export interface RouteBurn {
	readonly route: string;
	readonly objectives: RouteObjectives;
	readonly windows: readonly WindowBurn[];
	/** Share of the budget left over the longest window, negative when overspent; absent when no job ended. */
	readonly budgetLeft: Readonly<Record<ObjectiveKind, number | undefined>>;
	readonly alarms: readonly BurnAlarm[];
}

/** A span of time that an entry has not seen. */
export interface UnseenSpan extends SeenSpan {
	readonly processId: string;
}

/** The whole report. */
export interface BurnReport {
	/** Wall-clock time of the report. */
	readonly atMs: number;
	readonly routes: readonly RouteBurn[];
	readonly entries: readonly string[];
	/** Entries that are known but gave no ledger: none of their counts are in the report. */
	readonly silentEntries: readonly string[];
	/** Runs of entries that are gone, with the time in which others saw them: what they counted is lost. */
	readonly lostRuns: readonly EntryRun[];
	/** What the entries in the report have not seen of the longest window. */
	readonly unseenSpans: readonly UnseenSpan[];
}

/**
 * Joins the ledgers of entries into a report.
 *
 * @param silentEntries entries that are known but could not be read
 * @example
 * const report = computeBurn(ledgers, ['entry-3'], Date.now());
 */
export function computeBurn(
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): BurnReport {
	const routeNames = [
		...new Set(ledgers.flatMap((ledger) => ledger.routes.map((route) => route.route))),
	].sort();
	return {
		atMs,
		routes: routeNames.map((route) => computeRoute(route, ledgers, silentEntries, atMs)),
		entries: ledgers.map((ledger) => ledger.processId),
		silentEntries,
		lostRuns: lostRunsOf(ledgers, silentEntries, atMs),
		unseenSpans: ledgers.flatMap((ledger) => unseenSpansOf(ledger, atMs)),
	};
}

function computeRoute(
	route: string,
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): RouteBurn {
	const parts = ledgers.flatMap((ledger) => ledger.routes.filter((part) => part.route === route));
	const [first] = parts;
	if (first === undefined) {
		throw new RangeError(`No ledger has the route "${route}".`);
	}
	const { objectives } = first;
	const lostRuns = lostRunsOf(ledgers, silentEntries, atMs);
	const windows = burnWindows.map((window): WindowBurn => {
		const counts = countWindow(parts, window, atMs);
		const seenShare = silentEntries.length > 0 ? 0 : seenShareOf(ledgers, lostRuns, window, atMs);
		return { window: window.name, counts, seenShare, objectives: burnOf(counts, objectives) };
	});
	return {
		route,
		objectives,
		windows,
		budgetLeft: { onTime: budgetLeft(windows, 'onTime'), whole: budgetLeft(windows, 'whole') },
		alarms: raiseAlarms(route, windows),
	};
}

function countWindow(parts: readonly RouteLedger[], window: BurnWindow, atMs: number): OutcomeCounts {
	const fromMinute = Math.floor((atMs - window.lengthMs) / minuteMs);
	return parts
		.flatMap((part) => part.buckets)
		.filter((bucket) => bucket.minute > fromMinute)
		.map((bucket) => bucket.counts)
		.reduce(addOutcomes, noOutcomes);
}

/** Readers that went away were promised nothing; refusals and failures count against both objectives. */
function burnOf(counts: OutcomeCounts, objectives: RouteObjectives): ObjectiveBurn[] {
	const total = counts.onTime + counts.late + counts.ranAndFailed + counts.mayHaveRun + counts.refused;
	const whole = counts.onTime + counts.late;
	return [
		objectiveBurn('onTime', objectives.answeredWithinShare, counts.onTime, total),
		objectiveBurn('whole', objectives.answeredWholeShare, whole, total),
	];
}

function objectiveBurn(objective: ObjectiveKind, target: number, good: number, total: number): ObjectiveBurn {
	if (total === 0) {
		return { objective, target };
	}
	const kept = good / total;
	const allowed = 1 - target;
	if (allowed === 0) {
		return { objective, target, kept, burnRate: kept === 1 ? 0 : Number.POSITIVE_INFINITY };
	}
	return { objective, target, kept, burnRate: (1 - kept) / allowed };
}

function budgetLeft(windows: readonly WindowBurn[], objective: ObjectiveKind): number | undefined {
	const burnRate = findBurn(windows, '3d', objective)?.burnRate;
	return burnRate === undefined ? undefined : 1 - burnRate;
}

function findBurn(
	windows: readonly WindowBurn[],
	name: BurnWindow['name'],
	objective: ObjectiveKind,
): ObjectiveBurn | undefined {
	return windows
		.find((window) => window.window === name)
		?.objectives.find((burn) => burn.objective === objective);
}

function raiseAlarms(route: string, windows: readonly WindowBurn[]): BurnAlarm[] {
	const objectives: readonly ObjectiveKind[] = ['onTime', 'whole'];
	return objectives.flatMap((objective) => {
		const raised = alarmRules.find((rule) => {
			const short = findBurn(windows, rule.short, objective)?.burnRate ?? 0;
			const long = findBurn(windows, rule.long, objective)?.burnRate ?? 0;
			return short >= rule.rate && long >= rule.rate;
		});
		if (raised === undefined) {
			return [];
		}
		const promise = objective === 'onTime' ? 'answers on time' : 'whole answers';
		const message =
			`Route "${route}" burns its budget of ${promise} at least ${raised.rate} times too fast ` +
			`over ${raised.short} and ${raised.long}; see docs/OPERATIONS.md for what to do.`;
		return [{ kind: raised.kind, objective, message }];
	});
}

/** Least share of the window that any entry has seen; a lost run has seen nothing of its time. */
function seenShareOf(
	ledgers: readonly OutcomeLedger[],
	lostRuns: readonly EntryRun[],
	window: BurnWindow,
	atMs: number,
): number {
	if (ledgers.length === 0) {
		return 0;
	}
	const seen = ledgers.map((ledger) => shareOfWindow(ledger.seenSpans, window, atMs));
	const lost = lostRuns.map((run) => 1 - shareOfWindow([run], window, atMs));
	return Math.min(...seen, ...lost);
}

function shareOfWindow(spans: readonly SeenSpan[], window: BurnWindow, atMs: number): number {
	const fromMs = atMs - window.lengthMs;
	const coveredMs = spans
		.map((span) => Math.max(0, Math.min(span.untilMs, atMs) - Math.max(span.fromMs, fromMs)))
		.reduce((sum, spanMs) => sum + spanMs, 0);
	return Math.min(1, coveredMs / window.lengthMs);
}

/** Runs that others saw within the longest window and whose ledgers are gone with them. */
function lostRunsOf(
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): EntryRun[] {
	const present = new Set(ledgers.map((ledger) => ledger.incarnation));
	const runs = new Map<string, EntryRun>();
	for (const run of ledgers.flatMap((ledger) => ledger.otherRuns)) {
		const isOld = run.untilMs < atMs - longestWindowMs;
		// The present run of an entry that could not be read is named as silent already.
		if (isOld || present.has(run.incarnation) || silentEntries.includes(run.processId)) {
			continue;
		}
		const known = runs.get(run.incarnation) ?? run;
		const fromMs = Math.min(known.fromMs, run.fromMs);
		const untilMs = Math.max(known.untilMs, run.untilMs);
		runs.set(run.incarnation, { ...run, fromMs, untilMs });
	}
	return [...runs.values()].sort((a, b) => a.fromMs - b.fromMs);
}

/** Gaps shorter than this are the time between two beats, not time that was missed. */
const leastUnseenMs = 5000;

function unseenSpansOf(ledger: OutcomeLedger, atMs: number): UnseenSpan[] {
	const spans: UnseenSpan[] = [];
	let seenUntilMs = atMs - longestWindowMs;
	for (const span of [...ledger.seenSpans, { fromMs: atMs, untilMs: atMs }]) {
		if (span.fromMs - seenUntilMs > leastUnseenMs) {
			spans.push({ processId: ledger.processId, fromMs: seenUntilMs, untilMs: span.fromMs });
		}
		seenUntilMs = Math.max(seenUntilMs, span.untilMs);
	}
	return spans;
}
