/** Draws the policies side by side, as an SVG plot and as a table, from the reports of their runs. */

import type { BenchReport } from './benchReport.js';

/** One measure of the plot. */
interface Panel {
	readonly title: string;
	readonly valueOf: (report: BenchReport) => number;
	/** Line that marks the target at each load; absent where there is none. */
	readonly targetOf: (load: number) => number | undefined;
	/** Values from this one up are drawn on a logarithmic scale; it is the foot of the bars. */
	readonly foot: number;
	/** Values that get a line across the panel, where they are in reach. */
	readonly ticks: readonly number[];
}

const widthPx = 960;
const panelHeightPx = 250;
const marginPx = { left: 60, right: 20, top: 40, bottom: 40 } as const;
const groupGapPx = 30;
const smallestFoot = 0.005;
/** Least height of a panel's scale, as a multiple of its foot. */
const leastScale = 1.5;

const colours = ['#2b6cb0', '#dd6b20', '#38a169', '#805ad5', '#718096', '#d53f8c'] as const;

/** Targets of the response over the ideal at the 99th percentile, by load. */
const p99Targets: ReadonlyMap<number, number> = new Map([
	[0.5, 1.15],
	[0.8, 1.2],
	[0.95, 1.35],
]);

/** Most messages a task beyond one start, one answer and the relays. */
export const wastedMessagesTarget = 0.05;

const panels: readonly Panel[] = [
	{
		title: 'Response over the ideal, 99th percentile (less is better, log scale)',
		valueOf: (report) => report.responseOverIdeal.p99,
		targetOf: (load) => p99Targets.get(load),
		foot: 1,
		ticks: [1, 1.2, 1.5, 2, 3, 5, 10, 20, 50],
	},
	{
		title: 'Wasted messages a task (less is better, log scale)',
		valueOf: (report) => report.wastedMessagesPerTask,
		targetOf: () => wastedMessagesTarget,
		foot: smallestFoot,
		ticks: [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10],
	},
];

/**
 * Draws the reports as an SVG document.
 *
 * @param reports one report for each policy and load
 * @example
 * writeFileSync('policies.svg', drawPolicies(reports));
 */
export function drawPolicies(reports: readonly BenchReport[]): string {
	const heightPx = panels.length * panelHeightPx + 30;
	const body = panels.map((panel, index) => drawPanel(panel, reports, index * panelHeightPx)).join('\n');
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${widthPx} ${heightPx}" font-family="sans-serif" font-size="12">`,
		`<rect width="${widthPx}" height="${heightPx}" fill="white"/>`,
		body,
		drawLegend(policiesOf(reports), heightPx - 12),
		'</svg>',
		'',
	].join('\n');
}

function policiesOf(reports: readonly BenchReport[]): string[] {
	return [...new Set(reports.map((report) => report.policy))];
}

function loadsOf(reports: readonly BenchReport[]): number[] {
	return [...new Set(reports.map((report) => report.load))].sort((a, b) => a - b);
}

function drawPanel(panel: Panel, reports: readonly BenchReport[], topPx: number): string {
	const loads = loadsOf(reports);
	const policies = policiesOf(reports);
	const values = reports.flatMap((report) => [panel.valueOf(report), panel.targetOf(report.load) ?? 0]);
	const top = Math.max(panel.foot * leastScale, ...values) * 1.2;
	const plotHeightPx = panelHeightPx - marginPx.top - marginPx.bottom;
	const baseY = topPx + marginPx.top + plotHeightPx;
	const toHeight = (value: number): number =>
		(Math.log(Math.max(value, panel.foot) / panel.foot) / Math.log(top / panel.foot)) * plotHeightPx;
	const groupWidth = (widthPx - marginPx.left - marginPx.right) / loads.length;
	const barWidth = (groupWidth - groupGapPx) / policies.length;
	const parts = [
		`<text x="${marginPx.left}" y="${topPx + 24}" font-size="14" font-weight="bold">${panel.title}</text>`,
		`<line x1="${marginPx.left}" x2="${widthPx - marginPx.right}" y1="${baseY}" y2="${baseY}" stroke="black"/>`,
	];
	for (const tick of panel.ticks.filter((value) => value <= top)) {
		parts.push(drawTick(tick, baseY - toHeight(tick)));
	}
	loads.forEach((load, group) => {
		const groupX = marginPx.left + group * groupWidth + groupGapPx / 2;
		parts.push(text(groupX + (groupWidth - groupGapPx) / 2, baseY + 16, `load ${load * 100}%`));
		parts.push(drawTarget(panel, load, groupX, groupWidth, baseY, toHeight));
		policies.forEach((policy, place) => {
			const report = reports.find((candidate) => candidate.policy === policy && candidate.load === load);
			if (report === undefined) {
				return;
			}
			const value = panel.valueOf(report);
			const barHeight = Math.max(1, toHeight(value));
			const x = groupX + place * barWidth;
			const colour = colours[place % colours.length] ?? 'black';
			parts.push(
				`<rect x="${x}" y="${baseY - barHeight}" width="${barWidth * 0.85}" height="${barHeight}" fill="${colour}"/>`,
				text(x + barWidth * 0.42, baseY - barHeight - 4, formatValue(value)),
			);
		});
	});
	return parts.join('\n');
}

function drawTarget(
	panel: Panel,
	load: number,
	groupX: number,
	groupWidth: number,
	baseY: number,
	toHeight: (value: number) => number,
): string {
	const target = panel.targetOf(load);
	if (target === undefined) {
		return '';
	}
	const y = baseY - toHeight(target);
	return `<line x1="${groupX - 8}" x2="${groupX + groupWidth - groupGapPx}" y1="${y}" y2="${y}" stroke="#e53e3e" stroke-dasharray="5 3"/>`;
}

function drawTick(value: number, y: number): string {
	const line = `<line x1="${marginPx.left}" x2="${widthPx - marginPx.right}" y1="${y}" y2="${y}" stroke="#e2e8f0"/>`;
	return `${line}<text x="${marginPx.left - 6}" y="${y + 4}" text-anchor="end" font-size="10" fill="#4a5568">${value}</text>`;
}

/** Small values need a third decimal to differ. */
function formatValue(value: number): string {
	return value.toFixed(value < 0.1 ? 3 : 2);
}

function drawLegend(policies: readonly string[], y: number): string {
	const items = policies.map((policy, index) => {
		const x = marginPx.left + index * 150;
		const colour = colours[index % colours.length] ?? 'black';
		return `<rect x="${x}" y="${y - 10}" width="10" height="10" fill="${colour}"/><text x="${x + 15}" y="${y}">${policy}</text>`;
	});
	const targetX = marginPx.left + policies.length * 150;
	return `${items.join('')}<text x="${targetX}" y="${y}" fill="#e53e3e">- - target</text>`;
}

function text(x: number, y: number, content: string): string {
	return `<text x="${x}" y="${y}" text-anchor="middle" font-size="11" stroke="white" stroke-width="3" paint-order="stroke">${content}</text>`;
}

/**
 * Renders the reports as a Markdown table.
 *
 * @example
 * writeFileSync('POLICIES.md', renderPolicyTable(reports));
 */
export function renderPolicyTable(reports: readonly BenchReport[]): string {
	const head = [
		'| policy | load | jobs | p50 | p95 | p99 | relays a task | wasted a task | not whole |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
	];
	const rows = reports.map((report) => {
		const { p50, p95, p99 } = report.responseOverIdeal;
		const { complete, cancelled } = report.outcomes;
		const notWhole = report.jobs - complete - cancelled;
		const cells = [report.policy, `${report.load * 100}%`, report.jobs, p50, p95, p99];
		return `| ${[...cells, report.relayMessagesPerTask, report.wastedMessagesPerTask, notWhole].join(' | ')} |`;
	});
	return [...head, ...rows, ''].join('\n');
}
