/** `yuccaarch demo`: Runs the whole system on loopback and shows the answers that readers get. */

import { defineCommand } from 'citty';
import { exitCodes } from '../../../services/daemon/node/daemon.js';
import { runDemo } from '../../../proof/node/demo.js';

/** The command's definition. */
export const demoCommand = defineCommand({
	meta: {
		name: 'demo',
		description: 'Runs the whole system on loopback and shows the answers that readers get.',
	},
	run: async () => {
		const report = await runDemo((line) => {
			process.stdout.write(`${line}\n`);
		});
		for (const surprise of report.unexpectedOutcomes) {
			process.stderr.write(`${surprise}\n`);
		}
		const hasPassed = report.unexpectedOutcomes.length === 0 && report.audit.breaches.length === 0;
		process.exitCode = hasPassed ? exitCodes.ok : exitCodes.failed;
	},
});
