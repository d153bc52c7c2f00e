/** Computes the error budgets of routes, their burn rates and the alarms that these raise. */

import type { RouteObjectives } from '../../declarations/common/tables.js';
import {
	addOutcomeCounts,
	zeroOutcomeCounts,
	type EntryRun,
	type OutcomeCounts,
	type OutcomeLedger,
	type RouteOutcomes,
	type TimeSpan,
} from './outcomeCounts.js';

/** A period up to the time of the report over which outcomes are counted. */
export interface BurnWindow {
	readonly name: '5m' | '1h' | '6h' | '3d';
	readonly lengthMs: number;
}

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;

/** Windows of every report, the shortest first. The budget covers the last one. */
export const burnWindows: readonly BurnWindow[] = [
	{ name: '5m', lengthMs: 5 * minuteMs },
	{ name: '1h', lengthMs: hourMs },
	{ name: '6h', lengthMs: 6 * hourMs },
	{ name: '3d', lengthMs: 72 * hourMs },
];

const longestWindowMs = Math.max(...burnWindows.map((window) => window.lengthMs));

/** Promise of an objective: an answer on time, or a whole answer at any time. */
export type ObjectiveKind = 'onTime' | 'whole';

/** Urgency of an alarm: a page needs action at once, even at night; a ticket can wait until the morning. */
export type AlarmKind = 'page' | 'ticket';

/**
 * Burn rates that raise an alarm, the most urgent first. Both windows must reach the rate: the long one shows that the
 * loss is significant, the short one that it continues. A rate of 1 spends the budget in exactly the budget's period.
 */
const alarmRules: readonly {
	readonly kind: AlarmKind;
	readonly shortWindow: BurnWindow['name'];
	readonly longWindow: BurnWindow['name'];
	readonly minBurnRate: number;
}[] = [
	{ kind: 'page', shortWindow: '5m', longWindow: '1h', minBurnRate: 14.4 },
	{ kind: 'page', shortWindow: '1h', longWindow: '6h', minBurnRate: 6 },
	{ kind: 'ticket', shortWindow: '6h', longWindow: '3d', minBurnRate: 1 },
];

/** An alarm that is raised now. */
export interface BurnAlarm {
	readonly kind: AlarmKind;
	readonly objective: ObjectiveKind;
	/** Sentence that names the route, the rate and the windows. */
	readonly message: string;
}

/** Burn rate of one objective in one window. */
export interface ObjectiveBurn {
	readonly objective: ObjectiveKind;
	/** Promised share of jobs, from 0 to 1. */
	readonly target: number;
	/** Share of jobs that met the objective, from 0 to 1; absent when no job ended in the window. */
	readonly kept?: number | undefined;
	/** Rate at which the budget is spent; 1 spends it in exactly its period. Absent when no job ended. */
	readonly burnRate?: number | undefined;
}

/** Outcomes and burn rates of one route in one window. */
export interface WindowBurn {
	readonly window: BurnWindow['name'];
	readonly counts: OutcomeCounts;
	/** Smallest share of the window that any entry covered, from 0 to 1; 0 when an entry could not be read. */
	readonly seenShare: number;
	readonly objectives: readonly ObjectiveBurn[];
}

/** Outcomes, budget and alarms of one route, over all windows. */
export interface RouteBurn {
	readonly route: string;
	readonly objectives: RouteObjectives;
	readonly windows: readonly WindowBurn[];
	/** Share of the budget left over the longest window, negative when overspent; absent when no job ended. */
	readonly budgetLeft: Readonly<Record<ObjectiveKind, number | undefined>>;
	readonly alarms: readonly BurnAlarm[];
}

/** A span of time in which an entry was not counting. */
export interface UnseenSpan extends TimeSpan {
	readonly processId: string;
}

/** Burn of all routes, and the time and entries that the counts cover. */
export interface BurnReport {
	/** Wall-clock time of the report. */
	readonly atMs: number;
	readonly routes: readonly RouteBurn[];
	/** Process ids of the entries whose ledgers are in the report. */
	readonly entries: readonly string[];
	/** Entries whose ledger could not be read: none of their counts are in the report. */
	readonly silentEntries: readonly string[];
	/** Runs of entries that have ended and lost their counts, with the span in which other entries saw them. */
	readonly lostRuns: readonly EntryRun[];
	/** Spans of the longest window in which entries of the report were not counting. */
	readonly unseenSpans: readonly UnseenSpan[];
}

/**
 * Computes a report from the ledgers of entries.
 *
 * @param silentEntries entries that are known but could not be read
 * @example
 * const report = computeBurnReport(ledgers, ['entry-3'], Date.now());
 */
export function computeBurnReport(
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): BurnReport {
	const routeNames = [
		...new Set(ledgers.flatMap((ledger) => ledger.routes.map((route) => route.route))),
	].sort();
	return {
		atMs,
		routes: routeNames.map((route) => computeRouteBurn(route, ledgers, silentEntries, atMs)),
		entries: ledgers.map((ledger) => ledger.processId),
		silentEntries,
		lostRuns: findLostRuns(ledgers, silentEntries, atMs),
		unseenSpans: ledgers.flatMap((ledger) => findUnseenSpans(ledger, atMs)),
	};
}

function computeRouteBurn(
	route: string,
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): RouteBurn {
	const routeLedgers = ledgers.flatMap((ledger) => ledger.routes.filter((part) => part.route === route));
	const [first] = routeLedgers;
	if (first === undefined) {
		throw new RangeError(`No ledger has the route "${route}".`);
	}
	const { objectives } = first;
	const lostRuns = findLostRuns(ledgers, silentEntries, atMs);
	const windows = burnWindows.map((window): WindowBurn => {
		const counts = sumCountsInWindow(routeLedgers, window, atMs);
		const seenShare = silentEntries.length > 0 ? 0 : computeSeenShare(ledgers, lostRuns, window, atMs);
		return { window: window.name, counts, seenShare, objectives: computeObjectiveBurns(counts, objectives) };
	});
	return {
		route,
		objectives,
		windows,
		budgetLeft: { onTime: budgetLeft(windows, 'onTime'), whole: budgetLeft(windows, 'whole') },
		alarms: evaluateAlarmRules(route, windows),
	};
}

function sumCountsInWindow(
	routeLedgers: readonly RouteOutcomes[],
	window: BurnWindow,
	atMs: number,
): OutcomeCounts {
	const fromMinute = Math.floor((atMs - window.lengthMs) / minuteMs);
	return routeLedgers
		.flatMap((part) => part.buckets)
		.filter((bucket) => bucket.minute > fromMinute)
		.map((bucket) => bucket.counts)
		.reduce(addOutcomeCounts, zeroOutcomeCounts);
}

/** Refusals and failures count against both objectives; jobs that the reader cancelled count against neither. */
function computeObjectiveBurns(counts: OutcomeCounts, objectives: RouteObjectives): ObjectiveBurn[] {
	const total = counts.onTime + counts.late + counts.ranAndFailed + counts.mayHaveRun + counts.refused;
	const whole = counts.onTime + counts.late;
	return [
		computeObjectiveBurn('onTime', objectives.answeredWithinShare, counts.onTime, total),
		computeObjectiveBurn('whole', objectives.answeredWholeShare, whole, total),
	];
}

function computeObjectiveBurn(
	objective: ObjectiveKind,
	target: number,
	goodCount: number,
	total: number,
): ObjectiveBurn {
	if (total === 0) {
		return { objective, target };
	}
	const kept = goodCount / total;
	const errorBudget = 1 - target;
	if (errorBudget === 0) {
		return { objective, target, kept, burnRate: kept === 1 ? 0 : Number.POSITIVE_INFINITY };
	}
	return { objective, target, kept, burnRate: (1 - kept) / errorBudget };
}

function budgetLeft(windows: readonly WindowBurn[], objective: ObjectiveKind): number | undefined {
	const burnRate = findObjectiveBurn(windows, '3d', objective)?.burnRate;
	return burnRate === undefined ? undefined : 1 - burnRate;
}

function findObjectiveBurn(
	windows: readonly WindowBurn[],
	name: BurnWindow['name'],
	objective: ObjectiveKind,
): ObjectiveBurn | undefined {
	return windows
		.find((window) => window.window === name)
		?.objectives.find((burn) => burn.objective === objective);
}

function evaluateAlarmRules(route: string, windows: readonly WindowBurn[]): BurnAlarm[] {
	const objectives: readonly ObjectiveKind[] = ['onTime', 'whole'];
	return objectives.flatMap((objective) => {
		const matchedRule = alarmRules.find((rule) => {
			const shortBurnRate = findObjectiveBurn(windows, rule.shortWindow, objective)?.burnRate ?? 0;
			const longBurnRate = findObjectiveBurn(windows, rule.longWindow, objective)?.burnRate ?? 0;
			return shortBurnRate >= rule.minBurnRate && longBurnRate >= rule.minBurnRate;
		});
		if (matchedRule === undefined) {
			return [];
		}
		const promise = objective === 'onTime' ? 'answers on time' : 'whole answers';
		const message =
			`Route "${route}" burns its budget of ${promise} at least ${matchedRule.minBurnRate} times too fast ` +
			`over ${matchedRule.shortWindow} and ${matchedRule.longWindow}; see docs/OPERATIONS.md for what to do.`;
		return [{ kind: matchedRule.kind, objective, message }];
	});
}

/** Returns the smallest share of the window that any entry covered. A lost run covered nothing of its span. */
function computeSeenShare(
	ledgers: readonly OutcomeLedger[],
	lostRuns: readonly EntryRun[],
	window: BurnWindow,
	atMs: number,
): number {
	if (ledgers.length === 0) {
		return 0;
	}
	const seenShares = ledgers.map((ledger) => computeCoveredShare(ledger.seenSpans, window, atMs));
	const notLostShares = lostRuns.map((run) => 1 - computeCoveredShare([run], window, atMs));
	return Math.min(...seenShares, ...notLostShares);
}

function computeCoveredShare(spans: readonly TimeSpan[], window: BurnWindow, atMs: number): number {
	const fromMs = atMs - window.lengthMs;
	const coveredMs = spans
		.map((span) => Math.max(0, Math.min(span.untilMs, atMs) - Math.max(span.fromMs, fromMs)))
		.reduce((sum, spanMs) => sum + spanMs, 0);
	return Math.min(1, coveredMs / window.lengthMs);
}

/** Returns the runs that other entries saw within the longest window and whose ledgers no longer exist. */
function findLostRuns(
	ledgers: readonly OutcomeLedger[],
	silentEntries: readonly string[],
	atMs: number,
): EntryRun[] {
	const presentIncarnations = new Set(ledgers.map((ledger) => ledger.incarnation));
	const runs = new Map<string, EntryRun>();
	for (const run of ledgers.flatMap((ledger) => ledger.otherRuns)) {
		const isOld = run.untilMs < atMs - longestWindowMs;
		// Runs of an entry that could not be read are left out, because the entry is listed as silent.
		if (isOld || presentIncarnations.has(run.incarnation) || silentEntries.includes(run.processId)) {
			continue;
		}
		const known = runs.get(run.incarnation) ?? run;
		const fromMs = Math.min(known.fromMs, run.fromMs);
		const untilMs = Math.max(known.untilMs, run.untilMs);
		runs.set(run.incarnation, { ...run, fromMs, untilMs });
	}
	return [...runs.values()].sort((a, b) => a.fromMs - b.fromMs);
}

/** Gaps up to this length are normal between two heartbeats and aren't reported. */
const minUnseenMs = 5000;

function findUnseenSpans(ledger: OutcomeLedger, atMs: number): UnseenSpan[] {
	const spans: UnseenSpan[] = [];
	let seenUntilMs = atMs - longestWindowMs;
	for (const span of [...ledger.seenSpans, { fromMs: atMs, untilMs: atMs }]) {
		if (span.fromMs - seenUntilMs > minUnseenMs) {
			spans.push({ processId: ledger.processId, fromMs: seenUntilMs, untilMs: span.fromMs });
		}
		seenUntilMs = Math.max(seenUntilMs, span.untilMs);
	}
	return spans;
}
