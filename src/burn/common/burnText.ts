/** The burn report as a table for a terminal. */

import type { BurnReport, ObjectiveBurn, RouteBurn, WindowBurn } from './burnReport.js';
import type { EntryRun, OutcomeCounts } from './outcomeCounts.js';

const columns = [
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
 * Renders the report as text.
 *
 * @example
 * process.stdout.write(renderBurnText(report));
 */
export function renderBurnText(report: BurnReport): string {
	const parts = report.routes.map(renderRoute);
	const body = parts.length === 0 ? 'No job has ended on any route yet.\n' : parts.join('\n');
	return `${body}\n${renderCoverage(report)}`;
}

/** Least share that two decimals of a percentage can show. */
const leastShownShare = 0.0001;

/** Formats a share as a percentage. A small one is not shown as none. */
export function formatShare(share: number | undefined): string {
	if (share === undefined) {
		return '-';
	}
	return share > 0 && share < leastShownShare ? 'less than 0.01%' : `${(share * 100).toFixed(2)}%`;
}

/** Formats the share of a budget that is left. */
export function formatBudget(left: number | undefined): string {
	return left !== undefined && left < 0 ? `overspent by ${formatShare(-left)}` : formatShare(left);
}

/** Formats a burn rate. */
export function formatRate(rate: number | undefined): string {
	if (rate === undefined) {
		return '-';
	}
	return Number.isFinite(rate) ? `${rate.toFixed(2)}x` : 'no budget';
}

/** Jobs that were promised an answer. */
export function promisedJobs(counts: OutcomeCounts): number {
	return counts.onTime + counts.late + counts.ranAndFailed + counts.mayHaveRun + counts.refused;
}

function renderRoute(route: RouteBurn): string {
	const { objectives, budgetLeft } = route;
	const seenShare = formatShare(route.windows.at(-1)?.seenShare);
	const head =
		`Route ${route.route}: ${formatShare(objectives.answeredWithinShare)} within ${objectives.answeredWithinMs} ms, ` +
		`${formatShare(objectives.answeredWholeShare)} whole.\n` +
		`Budget left over 3d, ${seenShare} of it seen: on time ${formatBudget(budgetLeft.onTime)}, whole ${formatBudget(budgetLeft.whole)}.`;
	const alarms = route.alarms.map((alarm) => `${alarm.kind.toUpperCase()}: ${alarm.message}`);
	return [head, ...alarms, renderTable(route.windows), ''].join('\n');
}

function renderTable(windows: readonly WindowBurn[]): string {
	const rows = [columns, ...windows.map(toRow)];
	const widths = columns.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
	return rows
		.map((row) => `  ${row.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  ')}`)
		.join('\n');
}

function toRow(window: WindowBurn): string[] {
	const { counts } = window;
	const rateOf = (kind: ObjectiveBurn['objective']): string =>
		formatRate(window.objectives.find((burn) => burn.objective === kind)?.burnRate);
	return [
		window.window,
		formatShare(window.seenShare),
		String(promisedJobs(counts)),
		String(counts.onTime),
		String(counts.late),
		String(counts.ranAndFailed),
		String(counts.mayHaveRun),
		String(counts.refused),
		rateOf('onTime'),
		rateOf('whole'),
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

/** A sentence about a run whose counts are lost. */
export function describeLostRun({ processId, fromMs, untilMs }: EntryRun): string {
	return (
		`a run of ${processId} is gone with what it counted; others saw it from ${formatTime(fromMs)} ` +
		`to ${formatTime(untilMs)} UTC.`
	);
}

/** Formats a wall-clock time for a person. */
export function formatTime(atMs: number): string {
	return new Date(atMs).toISOString().replace('T', ' ').slice(0, 19);
}
