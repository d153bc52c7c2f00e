/** `yuccaarch get`: Prints the tables that are in force. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const getCommand = defineCommand({
	meta: { name: 'get', description: 'Prints the tables that are in force.' },
	run: () => {
		process.stderr.write('The command "get" is not built yet.\n');
		process.exitCode = 1;
	},
});
