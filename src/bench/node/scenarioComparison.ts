/** Runs every scenario at both deployments, and writes a table. */

import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { BenchReport, RunParameters } from '../common/benchReport.js';
import { deployments } from '../common/deployment.js';
import { renderScenarioTable, scenarioWords } from '../common/scenarioTable.js';
import { scenarioNames, type ScenarioName } from '../common/workload.js';
import { runBench } from './benchRun.js';

/** What is run. */
export interface ScenarioComparisonOptions {
	/** Options of each run but its scenario and deployment. */
	readonly run: Omit<RunParameters, 'scenario' | 'deployment'>;
	readonly scenarios: readonly ScenarioName[];
	/** Folder for `SCENARIOS.md` and `scenarios.json`. */
	readonly folder: string;
	/** Told of each report as it comes. */
	readonly onReport: (report: BenchReport) => void;
}

/**
 * Runs the scenarios; one run at a time, so that none disturbs another.
 *
 * @example
 * await compareScenarios({ run, scenarios: scenarioNames, folder: 'docs/bench', onReport });
 */
export async function compareScenarios(options: ScenarioComparisonOptions): Promise<void> {
	const reports: BenchReport[] = [];
	for (const { name: deployment } of Object.values(deployments)) {
		for (const scenario of options.scenarios) {
			const report = await runBench({ ...options.run, deployment, scenario });
			reports.push(report);
			options.onReport(report);
		}
	}
	mkdirSync(options.folder, { recursive: true });
	const json = `${JSON.stringify(reports, undefined, '\t')}\n`;
	writeFileSync(path.join(options.folder, 'scenarios.json'), json);
	writeFileSync(path.join(options.folder, 'SCENARIOS.md'), renderPage(options, reports));
}

function renderPage({ run }: ScenarioComparisonOptions, reports: readonly BenchReport[]): string {
	return [
		'# Scenarios',
		'',
		`Made by \`npm run bench:scenarios\`: policy ${run.policy}, load ${run.load * 100}%, seed ${run.seed}, ` +
			`${run.durationMs / 1000} s of arrivals a run, ${run.keyedShare * 100}% of the jobs with a key, one run at a ` +
			'time. Columns p50 to p99 are the response over the ideal, of complete jobs of teams that do not flood; the ' +
			'ideal avoids workers that fail, straggle or are about to die, and serves a flooding team last.',
		'',
		...scenarioNames.map((scenario) => `- ${scenario}: ${scenarioWords[scenario]}.`),
		'',
		renderScenarioTable(reports),
	].join('\n');
}
