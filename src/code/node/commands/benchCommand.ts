/** `yuccaarch bench`: measures a placement policy against the ideal on real processes. */

import { defineCommand } from 'citty';
import { z } from 'zod';
import { scenarioNames } from '../../../bench/common/workload.js';
import { runBench, type BenchOptions } from '../../../bench/node/benchRun.js';
import { checkSettings } from '../../../platform/settings/node/loadSettings.js';
import { policyNames } from '../../../entry/common/entrySettings.js';
import { reportSettingsError } from '../../../platform/daemon/node/daemon.js';

const optionsSchema = z.object({
	policy: z.enum(policyNames),
	load: z.coerce.number().positive().max(2),
	scenario: z.enum(scenarioNames),
	seed: z.coerce.number().int().nonnegative(),
	durationMs: z.coerce.number().positive().max(600_000),
	deployment: z.enum(['registro', 'citacion']),
});

/** The command's definition. */
export const benchCommand = defineCommand({
	meta: { name: 'bench', description: 'Measures a placement policy against the ideal, on real processes.' },
	args: {
		policy: { type: 'string', default: 'home', description: `One of ${policyNames.join(', ')}.` },
		load: {
			type: 'string',
			default: '0.8',
			description: 'Offered work as a share of what the slots can do.',
		},
		scenario: { type: 'string', default: 'steady', description: `One of ${scenarioNames.join(', ')}.` },
		seed: { type: 'string', default: '1', description: 'Seed of the arrivals.' },
		seconds: { type: 'string', default: '30', description: 'Time over which jobs arrive.' },
		deployment: {
			type: 'string',
			default: 'registro',
			description: 'registro or citacion: sizes and delays.',
		},
		json: { type: 'boolean', default: false, description: 'Prints one JSON object on one line.' },
	},
	run: async ({ args }) => {
		let options: BenchOptions;
		try {
			options = checkSettings('bench', { ...args, durationMs: Number(args.seconds) * 1000 }, optionsSchema);
		} catch (error) {
			reportSettingsError(error);
			return;
		}
		const report = await runBench(options);
		process.stdout.write(`${JSON.stringify(report, undefined, args.json ? undefined : 2)}\n`);
	},
});
