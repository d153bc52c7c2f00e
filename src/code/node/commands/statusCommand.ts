/** `yuccaarch status`: Prints the keepers, their leader, and each process's revision in force and age. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeStatus, fillInProcessAges } from '../../../operator/common/statusText.js';
import { toErrorResult } from '../../../operator/node/applyOperation.js';
import { connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const statusCommand = defineCommand({
	meta: {
		name: 'status',
		description:
			"Prints the members and leader of the keeper group, and each process's revision in force and age. " +
			'Example: yuccaarch status --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: connectionArguments,
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const result = await client.readStatus();
			if (result.isErr()) {
				return toErrorResult(result.error);
			}
			const status = fillInProcessAges(result.value, await client.readStatusOfEachKeeper());
			return { exitCode: operatorExitCodes.noChange, text: describeStatus(status), json: status };
		});
	},
});
