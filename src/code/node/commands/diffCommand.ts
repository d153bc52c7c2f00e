/** `yuccaarch diff`: Shows what applying a declaration would change. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const diffCommand = defineCommand({
	meta: { name: 'diff', description: 'Shows what applying a declaration would change.' },
	run: () => {
		process.stderr.write('The command "diff" is not built yet.\n');
		process.exitCode = 1;
	},
});
