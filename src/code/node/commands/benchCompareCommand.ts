/** `yuccaarch bench-compare`: Measures all policies at several loads, or all scenarios; writes a plot and a table. */

import { defineCommand } from 'citty';
import { z } from 'zod';
import { defaultKeyedShare, scenarioNames } from '../../../bench/common/workload.js';
import { comparePolicies } from '../../../bench/node/policyComparison.js';
import { compareScenarios } from '../../../bench/node/scenarioComparison.js';
import type { BenchReport } from '../../../bench/common/benchReport.js';
import { policyNames } from '../../../entry/common/entrySettings.js';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';
import { validateSettings } from '../../../services/settings/node/loadSettings.js';

const optionsSchema = z.object({
	what: z.enum(['policies', 'scenarios']),
	seconds: z.coerce.number().positive().max(600),
	seed: z.coerce.number().int().nonnegative(),
	loads: z.array(z.coerce.number().positive().max(2)).min(1),
	keyedShare: z.coerce.number().min(0).max(1),
	scenarios: z.array(z.enum(scenarioNames)).min(1),
	folder: z.string().min(1),
});

/** The command's definition. */
export const benchCompareCommand = defineCommand({
	meta: {
		name: 'bench-compare',
		description:
			'Measures every placement policy at several loads, or every scenario, and writes a plot and a table.',
	},
	args: {
		what: { type: 'string', default: 'policies', description: 'What is compared: policies or scenarios.' },
		seconds: {
			type: 'string',
			default: '20',
			description: 'Time in s during which jobs arrive in each run.',
		},
		seed: { type: 'string', default: '1', description: 'Seed of the arrivals.' },
		loads: {
			type: 'string',
			description:
				'Offered loads as shares of the capacity of all slots; by default 0.5,0.8,0.95 for policies, 0.8 for scenarios.',
		},
		keyedShare: {
			type: 'string',
			default: String(defaultKeyedShare),
			description: 'Share of the jobs, from 0 to 1, that have an idempotency key.',
		},
		scenarios: {
			type: 'string',
			default: scenarioNames.join(','),
			description: 'Scenarios to run when scenarios are compared, separated by commas.',
		},
		folder: { type: 'string', default: 'docs/bench', description: 'Output folder.' },
	},
	run: async ({ args }) => {
		let options: z.output<typeof optionsSchema>;
		try {
			const loads = args.loads ?? (args.what === 'scenarios' ? '0.8' : '0.5,0.8,0.95');
			const lists = { loads: loads.split(','), scenarios: args.scenarios.split(',') };
			options = validateSettings('bench-compare', { ...args, ...lists }, optionsSchema);
		} catch (error) {
			reportSettingsError(error);
			return;
		}
		await runComparison(options);
	},
});

async function runComparison({ what, loads, ...options }: z.output<typeof optionsSchema>): Promise<void> {
	const { seed, seconds, keyedShare, folder } = options;
	const runOptions = { seed, durationMs: seconds * 1000, keyedShare };
	if (what === 'policies') {
		const steadyRunOptions = { ...runOptions, scenario: 'steady', deployment: 'registro' } as const;
		await comparePolicies({
			policies: policyNames,
			loads,
			run: steadyRunOptions,
			folder,
			onReport: printReport,
		});
		return;
	}
	const [load = 0.8] = loads;
	const homeRunOptions = { ...runOptions, policy: 'home', load };
	await compareScenarios({
		run: homeRunOptions,
		scenarios: options.scenarios,
		folder,
		onReport: printReport,
	});
}

function printReport(report: BenchReport): void {
	process.stdout.write(`${JSON.stringify(report)}\n`);
}
