/** `yuccaarch history`: Prints the accepted changes and who made them. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeHistory } from '../../../operator/common/statusText.js';
import { describeError } from '../../../operator/node/applyOperation.js';
import { connectionArguments, parseCount, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const historyCommand = defineCommand({
	meta: {
		name: 'history',
		description:
			'Prints the accepted changes and who made them, the newest first. ' +
			'Example: yuccaarch history --limit 5 --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		...connectionArguments,
		limit: { type: 'string', default: '20', description: 'Number of changes; at most 1000 are kept.' },
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const read = await client.history(parseCount('limit', args.limit));
			if (read.isErr()) {
				return describeError(read.error);
			}
			const { changes } = read.value;
			return { exitCode: operatorExitCodes.noChange, text: describeHistory(changes), json: read.value };
		});
	},
});
