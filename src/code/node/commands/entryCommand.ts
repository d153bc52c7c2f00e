/** `yuccaarch entry`: Runs an entry, which takes jobs from readers. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const entryCommand = defineCommand({
	meta: { name: 'entry', description: 'Runs an entry, which takes jobs from readers.' },
	run: () => {
		process.stderr.write('The command "entry" is not built yet.\n');
		process.exitCode = 1;
	},
});
