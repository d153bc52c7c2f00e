/** `yuccaarch bench-compare`: runs every policy at several loads and writes a plot and a table. */

import { defineCommand } from 'citty';
import { comparePolicies } from '../../../bench/node/policyComparison.js';
import { policyNames } from '../../../entry/common/entrySettings.js';

/** The command's definition. */
export const benchCompareCommand = defineCommand({
	meta: {
		name: 'bench-compare',
		description: 'Runs every placement policy at several loads, for docs/bench.',
	},
	args: {
		seconds: { type: 'string', default: '20', description: 'Time over which jobs arrive in each run.' },
		seed: { type: 'string', default: '1', description: 'Seed of the arrivals.' },
		loads: { type: 'string', default: '0.5,0.8,0.95', description: 'Offered work, as shares of the slots.' },
		folder: { type: 'string', default: 'docs/bench', description: 'Folder that is written to.' },
	},
	run: async ({ args }) => {
		await comparePolicies({
			policies: policyNames,
			loads: args.loads.split(',').map(Number),
			run: {
				scenario: 'steady',
				deployment: 'registro',
				seed: Number(args.seed),
				durationMs: Number(args.seconds) * 1000,
				isKeyed: false,
			},
			folder: args.folder,
			onReport: (report) => {
				process.stdout.write(`${JSON.stringify(report)}\n`);
			},
		});
	},
});
