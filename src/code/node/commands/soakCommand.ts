/** `yuccaarch soak`: Runs the whole system under seeded faults and audits it. */

import { defineCommand } from 'citty';
import { exitCodes } from '../../../services/daemon/node/daemon.js';
import { runSoak } from '../../../proof/node/soak.js';

/** The command's definition. */
export const soakCommand = defineCommand({
	meta: {
		name: 'soak',
		description:
			'Runs the whole system under seeded faults, two at once, and audits it. Prints one JSON object and ends ' +
			'with code 1 when a promise was broken.',
	},
	args: {
		seconds: { type: 'string', default: '60', description: 'Time for which faults are injected.' },
		seed: { type: 'string', default: '1', description: 'Seed of the faults and the readers.' },
		jobsPerSecond: { type: 'string', default: '60', description: 'Jobs a second over all entries.' },
		keepers: { type: 'string', default: '3', description: 'Keepers: 1, 3 or 5.' },
	},
	run: async ({ args }) => {
		const report = await runSoak({
			seconds: toCount('seconds', args.seconds),
			seed: toCount('seed', args.seed),
			jobsPerSecond: toCount('jobsPerSecond', args.jobsPerSecond),
			keepers: toCount('keepers', args.keepers),
		});
		process.stdout.write(`${JSON.stringify(report)}\n`);
		const isFlawless = report.audit.breaches.length === 0 && report.failures.length === 0;
		process.exitCode = isFlawless ? exitCodes.ok : exitCodes.failed;
	},
});

function toCount(name: string, text: string): number {
	const value = Number(text);
	if (!Number.isInteger(value) || value < 1) {
		throw new Error(`--${name} takes a whole number from 1, but "${text}" was given.`);
	}
	return value;
}
