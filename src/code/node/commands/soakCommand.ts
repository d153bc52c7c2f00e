/** `yuccaarch soak`: Runs the whole system, injects faults from a seed and audits the outcome. */

import { defineCommand } from 'citty';
import { exitCodes } from '../../../services/daemon/node/daemon.js';
import { runSoak } from '../../../proof/node/soak.js';

/** The command's definition. */
export const soakCommand = defineCommand({
	meta: {
		name: 'soak',
		description:
			'Runs the whole system, injects faults from a seed, two at a time, and audits the outcome. Prints one JSON ' +
			'object. Exit codes: 0 passed, 1 a guarantee was broken or the run failed.',
	},
	args: {
		seconds: { type: 'string', default: '60', description: 'Time for which faults are injected.' },
		seed: {
			type: 'string',
			default: '1',
			description: 'Seed of the faults and of the load from the readers.',
		},
		jobsPerSecond: { type: 'string', default: '60', description: 'Jobs per second over all entries.' },
		keepers: { type: 'string', default: '3', description: 'Number of keepers: 1, 3 or 5.' },
	},
	run: async ({ args }) => {
		const report = await runSoak({
			seconds: parsePositiveInteger('seconds', args.seconds),
			seed: parsePositiveInteger('seed', args.seed),
			jobsPerSecond: parsePositiveInteger('jobsPerSecond', args.jobsPerSecond),
			keepers: parsePositiveInteger('keepers', args.keepers),
		});
		process.stdout.write(`${JSON.stringify(report)}\n`);
		const hasPassed = report.audit.breaches.length === 0 && report.failures.length === 0;
		process.exitCode = hasPassed ? exitCodes.ok : exitCodes.failed;
	},
});

function parsePositiveInteger(name: string, text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name} must be a whole number of at least 1, but "${text}" was given.`);
	}
	return value;
}
