/** `yuccaarch member`: Changes the group of keepers, one member a step. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { describeError } from '../../../operator/node/applyOperation.js';
import type { MemberRequest } from '../../../protocol/common/operatorApi.js';
import { argumentError, connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const memberCommand = defineCommand({
	meta: {
		name: 'member',
		description:
			'Changes the group of keepers, one member a step: add a new keeper as a learner, promote it to a voter once it ' +
			'has caught up, remove one that is gone. A keeper that lost its disk rejoins by itself under its old name. ' +
			'Example: yuccaarch member add keeper-4 --address 10.0.0.4:7000 --operator 10.0.0.1:7100 --token TOKEN',
	},
	args: {
		action: { type: 'positional', required: true, description: 'add, promote or remove.' },
		keeper: { type: 'positional', required: true, description: 'The processId of the keeper.' },
		address: { type: 'string', description: "The keeper's peer address; needed for add." },
		...connectionArguments,
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const request = toRequest(args.action, args.keeper, args.address);
			const result = await client.changeMember(request);
			if (result.isErr()) {
				return describeError(result.error);
			}
			return {
				exitCode: operatorExitCodes.changed,
				text: `The change of the group was committed: ${request.action} ${request.processId}.`,
				json: { outcome: 'accepted', ...request },
			};
		});
	},
});

function toRequest(action: string, processId: string, address: string | undefined): MemberRequest {
	if (action === 'promote' || action === 'remove') {
		return { action, processId };
	}
	if (action !== 'add') {
		throw argumentError('action', `"${action}" is not known; give add, promote or remove.`);
	}
	if (address === undefined) {
		throw argumentError('address', "Give the keeper's peer address, such as 10.0.0.4:7000.");
	}
	return { action, processId, address };
}
