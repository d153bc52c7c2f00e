/** Formats the burn report as a self-contained HTML page. */

import { html, raw } from 'hono/html';
import {
	burnWindows,
	type BurnReport,
	type ObjectiveBurn,
	type RouteBurn,
	type UnseenSpan,
	type WindowBurn,
} from './burnReport.js';
import {
	describeLostRun,
	formatBudgetLeft,
	formatBurnRate,
	formatShare,
	formatTime,
	countPromisedJobs,
} from './burnText.js';
import { outcomeClasses, type OutcomeClass, type TimeSpan } from './outcomeCounts.js';

const outcomeColours: Readonly<Record<OutcomeClass, string>> = {
	onTime: '#2f855a',
	late: '#d69e2e',
	ranAndFailed: '#c53030',
	mayHaveRun: '#822727',
	refused: '#4a5568',
	cancelled: '#a0aec0',
};

const outcomeNames: Readonly<Record<OutcomeClass, string>> = {
	onTime: 'on time',
	late: 'late',
	ranAndFailed: 'ran and failed',
	mayHaveRun: 'may have run',
	refused: 'refused, not run',
	cancelled: 'cancelled by the reader',
};

const styles = `
	body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; padding: 0 1rem; color: #1a202c; }
	h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin: 2rem 0 .25rem; }
	table { border-collapse: collapse; width: 100%; margin-top: .5rem; }
	th, td { text-align: right; padding: .3rem .6rem; border-bottom: 1px solid #e2e8f0; }
	th:first-child, td:first-child { text-align: left; }
	.bar { display: flex; height: .9rem; min-width: 12rem; background: #edf2f7; border-radius: 3px; overflow: hidden; }
	.budget { display: inline-block; width: 10rem; vertical-align: middle; } .budget span { display: block; height: 100%; }
	th.left { text-align: left; }
	.alarm { padding: .4rem .7rem; border-left: 4px solid; margin: .4rem 0; }
	.page { border-color: #c53030; background: #fff5f5; } .ticket { border-color: #d69e2e; background: #fffff0; }
	.key span { display: inline-block; margin-right: 1rem; } .key i { display: inline-block; width: .8rem; height: .8rem; margin-right: .3rem; }
	.timeline td:first-child { width: 8rem; } .timeline td { border: 0; }
	.span { position: relative; height: .9rem; background: #2b6cb0; border-radius: 3px; overflow: hidden; }
	.span span { position: absolute; top: 0; bottom: 0; background: repeating-linear-gradient(45deg, #e2e8f0 0 5px, #a0aec0 5px 7px); }
	.ends { display: flex; justify-content: space-between; color: #4a5568; font-size: .85rem; }
	.unseen { color: #744210; } .hot { color: #c53030; font-weight: 600; }
`;

type Markup = ReturnType<typeof html>;

/**
 * Renders the report as an HTML page that loads nothing else.
 *
 * @example
 * writeFileSync('burn.html', String(await renderBurnPage(report)));
 */
export function renderBurnPage(report: BurnReport): Markup {
	return html`<!doctype html>
		<html lang="en">
			<head>
				<meta charset="utf-8" />
				<title>Service-level burn</title>
				<style>
					${raw(styles)}
				</style>
			</head>
			<body>
				<h1>Service-level burn</h1>
				<p>${formatTime(report.atMs)} UTC, counted by ${report.entries.join(', ') || 'no entry'}.</p>
				${renderCoverage(report)}
				<p class="key">${outcomeClasses.map(renderLegendItem)}</p>
				${report.routes.length === 0 ? html`<p>No job has ended on any route yet.</p>` : report.routes.map(renderRoute)}
			</body>
		</html>`;
}

function renderLegendItem(outcome: OutcomeClass): Markup {
	return html`<span><i style="background:${outcomeColours[outcome]}"></i>${outcomeNames[outcome]}</span>`;
}

function renderCoverage(report: BurnReport): Markup {
	const silent = report.silentEntries.map(
		(entry) => html`<li>${entry} could not be read; none of its jobs are in this report.</li>`,
	);
	const lost = report.lostRuns.map((run) => html`<li>Not counted: ${describeLostRun(run)}</li>`);
	return html`<h2>What this report covers</h2>
		${renderTimeline(report)}
		<ul class="unseen">
			${silent}${lost}${report.unseenSpans.map(renderUnseenSpan)}
		</ul>`;
}

/** Renders one bar for each entry over the longest window, hatched where the entry was not counting. */
function renderTimeline(report: BurnReport): Markup {
	const lengthMs = Math.max(...burnWindows.map((window) => window.lengthMs));
	const fromMs = report.atMs - lengthMs;
	const rows = report.entries.map((entry) => {
		const gaps = report.unseenSpans.filter((span) => span.processId === entry);
		return renderTimelineRow(entry, gaps, fromMs, lengthMs);
	});
	const silent = report.silentEntries.map((entry) =>
		renderTimelineRow(entry, [{ fromMs, untilMs: report.atMs }], fromMs, lengthMs),
	);
	return html`<table class="timeline">
		${rows}${silent}
		<tr>
			<td></td>
			<td class="ends"><span>${formatTime(fromMs)} UTC</span><span>${formatTime(report.atMs)} UTC</span></td>
		</tr>
	</table>`;
}

function renderTimelineRow(
	entry: string,
	gaps: readonly TimeSpan[],
	windowFromMs: number,
	lengthMs: number,
): Markup {
	const gapMarks = gaps.map((gap) => {
		const leftPercent = (Math.max(0, gap.fromMs - windowFromMs) / lengthMs) * 100;
		const widthPercent = ((gap.untilMs - Math.max(gap.fromMs, windowFromMs)) / lengthMs) * 100;
		const title = `not seen from ${formatTime(gap.fromMs)} to ${formatTime(gap.untilMs)} UTC`;
		return html`<span title="${title}" style="left:${leftPercent}%;width:${widthPercent}%"></span>`;
	});
	return html`<tr>
		<td>${entry}</td>
		<td><div class="span">${gapMarks}</div></td>
	</tr>`;
}

function renderUnseenSpan(span: UnseenSpan): Markup {
	return html`<li>
		${span.processId} has not seen ${formatTime(span.fromMs)} to ${formatTime(span.untilMs)} UTC.
	</li>`;
}

function renderRoute(route: RouteBurn): Markup {
	const { objectives } = route;
	return html`<h2>${route.route}</h2>
		<p>
			Promised: ${formatShare(objectives.answeredWithinShare)} within ${objectives.answeredWithinMs} ms,
			${formatShare(objectives.answeredWholeShare)} whole.<br />
			Budget left over 3d, ${formatShare(route.windows.at(-1)?.seenShare)} of it seen:<br />
			${renderBudgetLeft(route.budgetLeft.onTime)} on time<br />
			${renderBudgetLeft(route.budgetLeft.whole)} whole
		</p>
		${route.alarms.map((alarm) => html`<p class="alarm ${alarm.kind}"><b>${alarm.kind}</b> ${alarm.message}</p>`)}
		<table>
			<tr>
				<th>window</th>
				<th>seen</th>
				<th>jobs</th>
				<th class="left">how they ended</th>
				<th>burn on time</th>
				<th>burn whole</th>
			</tr>
			${route.windows.map(renderWindowRow)}
		</table>`;
}

function renderBudgetLeft(left: number | undefined): Markup {
	const widthPercent = Math.max(0, Math.min(1, left ?? 0)) * 100;
	return html`<span class="bar budget"><span style="width:${widthPercent}%;background:#3182ce"></span></span>
		${formatBudgetLeft(left)}`;
}

function renderWindowRow(window: WindowBurn): Markup {
	const total = countPromisedJobs(window.counts) + window.counts.cancelled;
	const segments = outcomeClasses
		.filter((outcome) => window.counts[outcome] > 0)
		.map((outcome) => {
			const widthPercent = (window.counts[outcome] / total) * 100;
			const title = `${outcomeNames[outcome]}: ${window.counts[outcome]}`;
			return html`<span
				title="${title}"
				style="width:${widthPercent}%;background:${outcomeColours[outcome]}"
			></span>`;
		});
	return html`<tr>
		<td>${window.window}</td>
		<td>${formatShare(window.seenShare)}</td>
		<td>${countPromisedJobs(window.counts)}</td>
		<td><span class="bar">${segments}</span></td>
		${window.objectives.map(renderBurnRateCell)}
	</tr>`;
}

function renderBurnRateCell(burn: ObjectiveBurn): Markup {
	const isOverspending = (burn.burnRate ?? 0) >= 1;
	return html`<td class="${isOverspending ? 'hot' : ''}">${formatBurnRate(burn.burnRate)}</td>`;
}
