/** `yuccaarch drain`: Drains an entry or agent, or takes it back. */

import { defineCommand } from 'citty';
import { drainProcess } from '../../../operator/node/drainOperation.js';
import {
	authorOf,
	changeArguments,
	connectionArguments,
	runOperatorCommand,
	waitMsOf,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const drainCommand = defineCommand({
	meta: {
		name: 'drain',
		description:
			'Drains an entry or agent: it gets nothing new, and what it holds is finished. ' +
			'Example: yuccaarch drain agent-7 --wait --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		process: { type: 'positional', required: true, description: 'The processId of the entry or agent.' },
		undo: { type: 'boolean', default: false, description: 'Takes the process back.' },
		...connectionArguments,
		...changeArguments,
	},
	run: async ({ args }) => {
		const options = { author: authorOf(args), isDryRun: false, waitMs: waitMsOf(args) };
		await runOperatorCommand(args, (client) => drainProcess(client, args.process, args.undo, options));
	},
});
