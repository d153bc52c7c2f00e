/** `yuccaarch status`: Prints members, leader, revisions in force and freshness. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeStatus, withAges } from '../../../operator/common/statusText.js';
import { describeError } from '../../../operator/node/applyOperation.js';
import { connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const statusCommand = defineCommand({
	meta: {
		name: 'status',
		description:
			'Prints members, leader, revisions in force and freshness. ' +
			'Example: yuccaarch status --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: connectionArguments,
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const read = await client.status();
			if (read.isErr()) {
				return describeError(read.error);
			}
			const status = withAges(read.value, await client.statuses());
			return { exitCode: operatorExitCodes.noChange, text: describeStatus(status), json: status };
		});
	},
});
