/** `yuccaarch bench`: Measures a placement policy on real processes and compares it with the ideal. */

import { defineCommand } from 'citty';
import { z } from 'zod';
import { defaultKeyedShare, scenarioNames } from '../../../bench/common/workload.js';
import { benchParts, runFullBench } from '../../../bench/node/fullBench.js';
import { validateSettings } from '../../../services/settings/node/loadSettings.js';
import { policyNames } from '../../../entry/common/entrySettings.js';
import { reportSettingsError } from '../../../services/daemon/node/daemon.js';

const optionsSchema = z.object({
	policy: z.enum(policyNames),
	load: z.coerce.number().positive().max(2),
	scenario: z.enum(scenarioNames),
	seed: z.coerce.number().int().nonnegative(),
	durationMs: z.coerce.number().positive().max(600_000),
	deployment: z.enum(['registro', 'citacion']),
	keyedShare: z.coerce.number().min(0).max(1),
	parts: z.array(z.enum(benchParts)).min(1),
});

/** The command's definition. */
export const benchCommand = defineCommand({
	meta: {
		name: 'bench',
		description: 'Measures a placement policy on real processes and compares it with the ideal.',
	},
	args: {
		policy: { type: 'string', default: 'home', description: `One of ${policyNames.join(', ')}.` },
		load: {
			type: 'string',
			default: '0.8',
			description: 'Offered load as a share of the capacity of all slots; 0.8 is 80%.',
		},
		scenario: { type: 'string', default: 'steady', description: `One of ${scenarioNames.join(', ')}.` },
		seed: { type: 'string', default: '1', description: 'Seed of the arrivals.' },
		seconds: { type: 'string', default: '30', description: 'Time in s during which jobs arrive.' },
		deployment: {
			type: 'string',
			default: 'registro',
			description: 'Simulated deployment, which sets sizes and delays: registro or citacion.',
		},
		parts: {
			type: 'string',
			default: benchParts.join(','),
			description: 'Parts to run, separated by commas: load, idle, rate.',
		},
		keyedShare: {
			type: 'string',
			default: String(defaultKeyedShare),
			description: 'Share of the jobs, from 0 to 1, that have an idempotency key.',
		},
		json: { type: 'boolean', default: false, description: 'Prints one JSON object on one line.' },
	},
	run: async ({ args }) => {
		let options: z.output<typeof optionsSchema>;
		try {
			options = validateSettings('bench', toRawOptions(args), optionsSchema);
		} catch (error) {
			reportSettingsError(error);
			return;
		}
		const report = await runFullBench(options, options.parts);
		process.stdout.write(`${JSON.stringify(report, undefined, args.json ? undefined : 2)}\n`);
	},
});

/** Converts the arguments into the form that {@link optionsSchema} validates. */
function toRawOptions(args: { readonly seconds: string; readonly parts: string }): object {
	return {
		...args,
		durationMs: Number(args.seconds) * 1000,
		parts: args.parts.split(','),
	};
}
