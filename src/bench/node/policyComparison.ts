/** Runs every policy at several loads on the same arrivals, and writes a plot and a table. */

import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import type { BenchReport, RunParameters } from '../common/benchReport.js';
import { drawPolicies, renderPolicyTable } from '../common/policyPlot.js';
import { runBench } from './benchRun.js';

/** What is compared. */
export interface ComparisonOptions {
	readonly policies: readonly string[];
	readonly loads: readonly number[];
	/** Options of each run but its policy and load. */
	readonly run: Omit<RunParameters, 'policy' | 'load'>;
	/** Folder for `policies.svg`, `policies.json` and `POLICIES.md`. */
	readonly folder: string;
	/** Told of each report as it comes. */
	readonly onReport: (report: BenchReport) => void;
}

/**
 * Runs the comparison; one run at a time, so that none disturbs another.
 *
 * @example
 * await comparePolicies({ policies: ['random', 'home'], loads: [0.5, 0.95], run, folder: 'docs/bench', onReport });
 */
export async function comparePolicies(options: ComparisonOptions): Promise<void> {
	const reports: BenchReport[] = [];
	for (const policy of options.policies) {
		for (const load of options.loads) {
			const report = await runBench({ ...options.run, policy, load });
			reports.push(report);
			options.onReport(report);
		}
	}
	mkdirSync(options.folder, { recursive: true });
	writeFileSync(path.join(options.folder, 'policies.svg'), drawPolicies(reports));
	writeFileSync(path.join(options.folder, 'policies.json'), `${JSON.stringify(reports, undefined, '\t')}\n`);
	writeFileSync(path.join(options.folder, 'POLICIES.md'), renderPage(options, reports));
}

function renderPage(options: ComparisonOptions, reports: readonly BenchReport[]): string {
	const { deployment, scenario, seed, durationMs, keyedShare } = options.run;
	return [
		'# Placement policies side by side',
		'',
		`Made by \`npm run bench:compare\`: deployment ${deployment}, scenario ${scenario}, seed ${seed}, ` +
			`${durationMs / 1000} s of arrivals a run, ${keyedShare * 100}% of the jobs with a key, one run at a time. Columns p50 to p99 are the response over the ideal.`,
		'',
		'![Response over the ideal and wasted messages by policy and load](policies.svg)',
		'',
		renderPolicyTable(reports),
	].join('\n');
}
