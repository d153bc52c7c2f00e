/** `yuccaarch get`: Prints the tables in force. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeTables } from '../../../operator/common/statusText.js';
import { toErrorResult } from '../../../operator/node/applyOperation.js';
import { connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const getCommand = defineCommand({
	meta: {
		name: 'get',
		description: 'Prints the tables in force. Example: yuccaarch get --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: connectionArguments,
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const result = await client.readTables();
			if (result.isErr()) {
				return toErrorResult(result.error);
			}
			const { tables } = result.value;
			return { exitCode: operatorExitCodes.noChange, text: describeTables(tables), json: result.value };
		});
	},
});
