/** `yuccaarch keeper`: Runs a keeper, which stores the tables and claims. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const keeperCommand = defineCommand({
	meta: { name: 'keeper', description: 'Runs a keeper, which stores the tables and claims.' },
	run: () => {
		process.stderr.write('The command "keeper" is not built yet.\n');
		process.exitCode = 1;
	},
});
