/** `yuccaarch apply`: Applies a declaration of routes, pools and teams. */

import { defineCommand } from 'citty';
import { loadDeclaredTables } from '../../../declarations/node/loadDeclaration.js';
import { applyDeclaration } from '../../../operator/node/applyOperation.js';
import {
	authorOf,
	changeArguments,
	connectionArguments,
	parseCount,
	runOperatorCommand,
	waitMsOf,
} from '../operator/operatorArguments.js';

/** The command's definition. */
export const applyCommand = defineCommand({
	meta: {
		name: 'apply',
		description:
			'Applies declarations of routes, pools and teams: afterwards the tables hold exactly their rows. ' +
			'Exit codes: 0 no change, 10 changed, 11 conflict, 12 not in force everywhere, 13 unknown, 14 refused. ' +
			'Example: yuccaarch apply routes.toml --operator 127.0.0.1:7100 --token TOKEN --wait',
	},
	args: {
		file: { type: 'positional', required: true, description: 'Declaration files; several are joined.' },
		...connectionArguments,
		...changeArguments,
		dryRun: { type: 'boolean', default: false, description: 'Prints the plan and changes nothing.' },
		requestId: { type: 'string', description: 'Id of an earlier run whose answer was lost.' },
		expectRevision: { type: 'string', description: 'Changes nothing unless this is the present revision.' },
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, (client) =>
			applyDeclaration(client, loadDeclaredTables(args._), {
				author: authorOf(args),
				isDryRun: args.dryRun,
				waitMs: waitMsOf(args),
				requestId: args.requestId,
				expectedRevision:
					args.expectRevision === undefined ? undefined : parseCount('expectRevision', args.expectRevision),
			}),
		);
	},
});
