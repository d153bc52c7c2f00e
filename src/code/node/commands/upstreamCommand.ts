/** `yuccaarch upstream`: Runs a stand-in upstream, for demonstrations and tests. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const upstreamCommand = defineCommand({
	meta: { name: 'upstream', description: 'Runs a stand-in upstream, for demonstrations and tests.' },
	run: () => {
		process.stderr.write('The command "upstream" is not built yet.\n');
		process.exitCode = 1;
	},
});
