/** `yuccaarch soak`: Runs the whole system under seeded faults and audits it. */

import { defineCommand } from 'citty';

/** The command's definition. */
export const soakCommand = defineCommand({
	meta: { name: 'soak', description: 'Runs the whole system under seeded faults and audits it.' },
	run: () => {
		process.stderr.write('The command "soak" is not built yet.\n');
		process.exitCode = 1;
	},
});
