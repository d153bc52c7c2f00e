/** `yuccaarch member`: Changes the membership of the keeper group, one member at a time. */

import { defineCommand } from 'citty';
import { operatorExitCodes } from '../../../operator/common/operatorExitCodes.js';
import { toErrorResult } from '../../../operator/node/applyOperation.js';
import type { MemberChangeRequest } from '../../../protocol/common/operatorApi.js';
import {
	createArgumentError,
	connectionArguments,
	runOperatorCommand,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const memberCommand = defineCommand({
	meta: {
		name: 'member',
		description:
			'Changes the keeper group by one member: adds a new keeper as a learner, promotes it to a voter once it has caught ' +
			'up, or removes a keeper. A keeper that lost its disk rejoins automatically under its old processId. ' +
			'Example: yuccaarch member add keeper-4 --address 10.0.0.4:7000 --operator 10.0.0.1:7100 --token TOKEN',
	},
	args: {
		action: { type: 'positional', required: true, description: 'add, promote or remove.' },
		keeper: { type: 'positional', required: true, description: 'The processId of the keeper.' },
		address: { type: 'string', description: "The keeper's peer address; required for add." },
		...connectionArguments,
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, async (client) => {
			const request = parseMemberRequest(args.action, args.keeper, args.address);
			const result = await client.requestMemberChange(request);
			if (result.isErr()) {
				return toErrorResult(result.error);
			}
			return {
				exitCode: operatorExitCodes.changed,
				text: `The membership change was committed: ${request.action} ${request.processId}.`,
				json: { outcome: 'accepted', ...request },
			};
		});
	},
});

/**
 * Converts the arguments into a request.
 *
 * @throws SettingsError when the action is not known, or when `add` lacks the address
 */
function parseMemberRequest(
	action: string,
	processId: string,
	address: string | undefined,
): MemberChangeRequest {
	if (action === 'promote' || action === 'remove') {
		return { action, processId };
	}
	if (action !== 'add') {
		throw createArgumentError('action', `"${action}" is not known; give add, promote or remove.`);
	}
	if (address === undefined) {
		throw createArgumentError('address', "Give the keeper's peer address, such as 10.0.0.4:7000.");
	}
	return { action, processId, address };
}
