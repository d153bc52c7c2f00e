/** `yuccaarch drain`: Drains an entry or agent, or takes it back. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const drainCommand = defineCommand({
	meta: { name: 'drain', description: 'Drains an entry or agent, or takes it back.' },
	run: () => {
		process.stderr.write('The command "drain" is not built yet.\n');
		process.exitCode = 1;
	},
});
