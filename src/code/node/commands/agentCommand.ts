/** `yuccaarch agent`: Runs an agent, which stands beside one upstream. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const agentCommand = defineCommand({
	meta: { name: 'agent', description: 'Runs an agent, which stands beside one upstream.' },
	run: () => {
		process.stderr.write('The command "agent" is not built yet.\n');
		process.exitCode = 1;
	},
});
