/** `yuccaarch apply`: Applies a declaration of routes, pools and teams. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const applyCommand = defineCommand({
	meta: { name: 'apply', description: 'Applies a declaration of routes, pools and teams.' },
	run: () => {
		process.stderr.write('The command "apply" is not built yet.\n');
		process.exitCode = 1;
	},
});
