/** Renders the reports of the scenarios as tables: what readers saw, and whether each scenario came out as it should. */

import { match } from 'ts-pattern';
import type { BenchReport } from './benchReport.js';
import type { ScenarioName } from './workload.js';

/** What each scenario does, for the page's readers. */
export const scenarioWords: Readonly<Record<ScenarioName, string>> = {
	steady: 'nothing',
	burst: 'for 1 s in 10 s, jobs come 3 times as often',
	stragglers: 'one worker takes 4 times as long for everything',
	'failing-worker': 'one worker fails every task, and is sound again after 40% of the run',
	'cancel-wave': 'every 8 s, 40% of the readers of the last second give up at once',
	'wrong-declarations': 'jobs declare 0 to 16 cores a task and use 1',
	'team-flood': 'one team sends 1.5 times what all slots can do',
	'worker-deaths': 'two workers are killed with their agents, at 30% and 60% of the run',
};

/**
 * Renders one row for each report.
 *
 * @example
 * writeFileSync('SCENARIOS.md', renderScenarioTable(reports));
 */
export function renderScenarioTable(reports: readonly BenchReport[]): string {
	const head = [
		'deployment',
		'scenario',
		'jobs',
		'p50',
		'p95',
		'p99',
		'relays a task',
		'wasted a task',
		'complete',
		'ran and failed',
		'may have run',
		'not run',
		'cancelled',
		'unanswered',
		'double starts',
		'partial answers',
		'untrue refusals',
		'what came of it',
	];
	const rows = reports.map((report) => {
		const { p50, p95, p99 } = report.responseOverIdeal;
		const { complete, ranAndFailed, mayHaveRun, notRun, cancelled, unanswered } = report.outcomes;
		return [
			report.deployment,
			report.scenario,
			report.jobs,
			p50,
			p95,
			p99,
			report.relayMessagesPerTask,
			report.wastedMessagesPerTask,
			complete,
			ranAndFailed,
			mayHaveRun,
			notRun,
			cancelled,
			unanswered,
			report.doubleStarts,
			report.partialAnswers,
			report.untrueRefusals,
			describeOutcome(report),
		];
	});
	return [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |\n`).join('');
}

/** Says in a few words whether the system did what the scenario asks for. */
export function describeOutcome({ scenario, evidence }: BenchReport): string {
	const { cancelled } = evidence;
	return match(scenario)
		.with(
			'failing-worker',
			() =>
				`ejected ${evidence.ejections} times, taken back ${evidence.takenBack} times; ` +
				`${percent(evidence.oddWorkerStartShare)} of the starts were there`,
		)
		.with(
			'stragglers',
			() => `${percent(evidence.oddWorkerStartShare)} of the starts were at the slow worker`,
		)
		.with(
			'cancel-wave',
			() =>
				`of ${cancelled.tasks} cancelled tasks ${cancelled.neverStarted} never started, ${cancelled.stopped} ` +
				`were stopped, ${cancelled.startedLate} started late; ${evidence.cancelFrames} frames named ` +
				`${evidence.cancelItems} tasks and jobs`,
		)
		.with(
			'worker-deaths',
			() => `${evidence.failuresWithoutCause} failures without a task that ran at a killed worker`,
		)
		.with(
			'steady',
			'burst',
			'wrong-declarations',
			'team-flood',
			() => `mean run time learned ${evidence.learnedRunMs} ms, true ${evidence.trueRunMs} ms`,
		)
		.exhaustive();
}

function percent(share: number | undefined): string {
	return share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;
}
