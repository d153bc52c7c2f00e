/** `yuccaarch check`: Checks a settings file or a declaration without starting anything. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const checkCommand = defineCommand({
	meta: { name: 'check', description: 'Checks a settings file or a declaration without starting anything.' },
	run: () => {
		process.stderr.write('The command "check" is not built yet.\n');
		process.exitCode = 1;
	},
});
