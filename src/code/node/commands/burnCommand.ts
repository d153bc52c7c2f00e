/** `yuccaarch burn`: Prints the error budgets of the routes and how fast they burn. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const burnCommand = defineCommand({
	meta: { name: 'burn', description: 'Prints the error budgets of the routes and how fast they burn.' },
	run: () => {
		process.stderr.write('The command "burn" is not built yet.\n');
		process.exitCode = 1;
	},
});
