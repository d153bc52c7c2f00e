/** `yuccaarch history`: Prints the accepted changes and their authors. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeHistory } from '../../../operator/common/statusText.js';
import { toErrorResult } from '../../../operator/node/applyOperation.js';
import {
	connectionArguments,
	parseNonNegativeInteger,
	runOperatorCommand,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const historyCommand = defineCommand({
	meta: {
		name: 'history',
		description:
			'Prints the accepted changes and their authors, the newest first. ' +
			'Example: yuccaarch history --limit 5 --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		...connectionArguments,
		limit: {
			type: 'string',
			default: '20',
			description: 'Maximum number of changes to print; the keepers keep at most 1000.',
		},
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const result = await client.readHistory(parseNonNegativeInteger('limit', args.limit));
			if (result.isErr()) {
				return toErrorResult(result.error);
			}
			const { changes } = result.value;
			return { exitCode: operatorExitCodes.noChange, text: describeHistory(changes), json: result.value };
		});
	},
});
