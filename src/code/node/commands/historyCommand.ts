/** `yuccaarch history`: Prints the accepted changes and who made them. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const historyCommand = defineCommand({
	meta: { name: 'history', description: 'Prints the accepted changes and who made them.' },
	run: () => {
		process.stderr.write('The command "history" is not built yet.\n');
		process.exitCode = 1;
	},
});
