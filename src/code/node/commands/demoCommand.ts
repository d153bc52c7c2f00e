/** `yuccaarch demo`: Runs the whole system on loopback and shows what readers get. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const demoCommand = defineCommand({
	meta: { name: 'demo', description: 'Runs the whole system on loopback and shows what readers get.' },
	run: () => {
		process.stderr.write('The command "demo" is not built yet.\n');
		process.exitCode = 1;
	},
});
