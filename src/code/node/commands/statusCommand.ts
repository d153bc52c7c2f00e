/** `yuccaarch status`: Prints members, leader, revisions in force and freshness. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const statusCommand = defineCommand({
	meta: { name: 'status', description: 'Prints members, leader, revisions in force and freshness.' },
	run: () => {
		process.stderr.write('The command "status" is not built yet.\n');
		process.exitCode = 1;
	},
});
