/** `yuccaarch slopes`: Measures cost per task, change, member and subscriber. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const slopesCommand = defineCommand({
	meta: { name: 'slopes', description: 'Measures cost per task, change, member and subscriber.' },
	run: () => {
		process.stderr.write('The command "slopes" is not built yet.\n');
		process.exitCode = 1;
	},
});
