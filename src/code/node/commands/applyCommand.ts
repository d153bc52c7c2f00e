/** `yuccaarch apply`: Applies declarations of routes, pools and teams. */

import { defineCommand } from 'citty';
import { loadDeclaredTables } from '../../../declarations/node/loadDeclaration.js';
import { applyDeclaration } from '../../../operator/node/applyOperation.js';
import {
	getAuthor,
	changeArguments,
	connectionArguments,
	parseNonNegativeInteger,
	runOperatorCommand,
	getWaitMs,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const applyCommand = defineCommand({
	meta: {
		name: 'apply',
		description:
			'Applies declarations of routes, pools and teams. Afterwards the tables hold exactly the declared rows. ' +
			'Exit codes: 0 no change, 10 changed, 11 conflict, 12 not in force everywhere, 13 outcome unknown, 14 refused. ' +
			'Example: yuccaarch apply routes.toml --operator 127.0.0.1:7100 --token TOKEN --wait',
	},
	args: {
		file: { type: 'positional', required: true, description: 'Declaration files; several are merged.' },
		...connectionArguments,
		...changeArguments,
		dryRun: { type: 'boolean', default: false, description: 'Prints the plan without changing anything.' },
		requestId: {
			type: 'string',
			description: 'Request id of an earlier run whose answer was lost, to repeat that run.',
		},
		expectRevision: {
			type: 'string',
			description: 'Revision that the tables must have; otherwise nothing is changed.',
		},
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, (client) =>
			applyDeclaration(client, loadDeclaredTables(args._), {
				author: getAuthor(args),
				isDryRun: args.dryRun,
				waitMs: getWaitMs(args),
				requestId: args.requestId,
				expectedRevision:
					args.expectRevision === undefined
						? undefined
						: parseNonNegativeInteger('expectRevision', args.expectRevision),
			}),
		);
	},
});
