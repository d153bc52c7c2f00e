/** `yuccaarch bench`: Measures a placement policy against the ideal. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const benchCommand = defineCommand({
	meta: { name: 'bench', description: 'Measures a placement policy against the ideal.' },
	run: () => {
		process.stderr.write('The command "bench" is not built yet.\n');
		process.exitCode = 1;
	},
});
