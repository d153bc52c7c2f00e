/** Formats the burn report as text for a terminal. */

import type { BurnReport, ObjectiveBurn, RouteBurn, WindowBurn } from './burnReport.js';
import type { EntryRun, OutcomeCounts } from './outcomeCounts.js';

const columnTitles = [
	'window',
	'seen',
	'jobs',
	'on time',
	'late',
	'failed',
	'unknown',
	'refused',
	'burn: on time',
	'whole',
];

/**
 * Renders the report as one table for each route, followed by the time and entries that it covers.
 *
 * @example
 * process.stdout.write(renderBurnText(report));
 */
export function renderBurnText(report: BurnReport): string {
	const routeTexts = report.routes.map(renderRoute);
	const body = routeTexts.length === 0 ? 'No job has ended on any route yet.\n' : routeTexts.join('\n');
	return `${body}\n${renderCoverage(report)}`;
}

/** Smallest share that a percentage with two decimals can show. */
const minShownShare = 0.0001;

/** Formats a share as a percentage with two decimals. A share too small for them is not shown as zero. */
export function formatShare(share: number | undefined): string {
	if (share === undefined) {
		return '-';
	}
	return share > 0 && share < minShownShare ? 'less than 0.01%' : `${(share * 100).toFixed(2)}%`;
}

/** Formats the share of a budget that is left; a negative share as overspent. */
export function formatBudgetLeft(left: number | undefined): string {
	return left !== undefined && left < 0 ? `overspent by ${formatShare(-left)}` : formatShare(left);
}

/** Formats a burn rate, which is infinite when the objective allows no failures. */
export function formatBurnRate(rate: number | undefined): string {
	if (rate === undefined) {
		return '-';
	}
	return Number.isFinite(rate) ? `${rate.toFixed(2)}x` : 'no budget';
}

/** Returns the number of jobs that count towards the objectives: all but the cancelled ones. */
export function countPromisedJobs(counts: OutcomeCounts): number {
	return counts.onTime + counts.late + counts.ranAndFailed + counts.mayHaveRun + counts.refused;
}

function renderRoute(route: RouteBurn): string {
	const { objectives, budgetLeft } = route;
	const seenShare = formatShare(route.windows.at(-1)?.seenShare);
	const heading =
		`Route ${route.route}: ${formatShare(objectives.answeredWithinShare)} within ${objectives.answeredWithinMs} ms, ` +
		`${formatShare(objectives.answeredWholeShare)} whole.\n` +
		`Budget left over 3d, ${seenShare} of it seen: on time ${formatBudgetLeft(budgetLeft.onTime)}, whole ${formatBudgetLeft(budgetLeft.whole)}.`;
	const alarms = route.alarms.map((alarm) => `${alarm.kind.toUpperCase()}: ${alarm.message}`);
	return [heading, ...alarms, renderTable(route.windows), ''].join('\n');
}

function renderTable(windows: readonly WindowBurn[]): string {
	const rows = [columnTitles, ...windows.map(toTableRow)];
	const widths = columnTitles.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
	return rows
		.map((row) => `  ${row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  ')}`)
		.join('\n');
}

function toTableRow(window: WindowBurn): string[] {
	const { counts } = window;
	const formatBurnRateOf = (kind: ObjectiveBurn['objective']): string =>
		formatBurnRate(window.objectives.find((burn) => burn.objective === kind)?.burnRate);
	return [
		window.window,
		formatShare(window.seenShare),
		String(countPromisedJobs(counts)),
		String(counts.onTime),
		String(counts.late),
		String(counts.ranAndFailed),
		String(counts.mayHaveRun),
		String(counts.refused),
		formatBurnRateOf('onTime'),
		formatBurnRateOf('whole'),
	];
}

function renderCoverage(report: BurnReport): string {
	const silent = report.silentEntries.map(
		(entry) => `Not counted: ${entry} could not be read, so none of its jobs are in this report.`,
	);
	const lost = report.lostRuns.map((run) => `Not counted: ${describeLostRun(run)}`);
	const unseen = report.unseenSpans.map(
		(span) => `Not seen by ${span.processId}: ${formatTime(span.fromMs)} to ${formatTime(span.untilMs)} UTC.`,
	);
	const counted = `Counted by: ${report.entries.join(', ') || 'nobody'}, up to ${formatTime(report.atMs)} UTC.`;
	return [counted, ...silent, ...lost, ...unseen, ''].join('\n');
}

/** Returns a sentence about a run whose counts are lost. */
export function describeLostRun({ processId, fromMs, untilMs }: EntryRun): string {
	return (
		`a run of ${processId} is gone and its counts are lost; other entries saw it from ${formatTime(fromMs)} ` +
		`to ${formatTime(untilMs)} UTC.`
	);
}

/** Formats a wall-clock time as date and time in UTC, to the second. */
export function formatTime(atMs: number): string {
	return new Date(atMs).toISOString().replace('T', ' ').slice(0, 19);
}
