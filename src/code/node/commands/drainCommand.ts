/** `yuccaarch drain`: Drains an entry or agent, or ends its drain. */

import { defineCommand } from 'citty';
import { drainProcess } from '../../../operator/node/drainOperation.js';
import {
	getAuthor,
	changeArguments,
	connectionArguments,
	runOperatorCommand,
	getWaitMs,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const drainCommand = defineCommand({
	meta: {
		name: 'drain',
		description:
			'Drains an entry or agent: it receives no new work and finishes the work that it has. ' +
			'Example: yuccaarch drain agent-7 --wait --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		process: { type: 'positional', required: true, description: 'The processId of the entry or agent.' },
		undo: { type: 'boolean', default: false, description: 'Ends the drain of the process.' },
		...connectionArguments,
		...changeArguments,
	},
	run: async ({ args }) => {
		const options = { author: getAuthor(args), isDryRun: false, waitMs: getWaitMs(args) };
		await runOperatorCommand(args, (client) => drainProcess(client, args.process, args.undo, options));
	},
});
