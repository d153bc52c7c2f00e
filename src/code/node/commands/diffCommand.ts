/** `yuccaarch diff`: Shows the changes that applying declarations would make. */

import { defineCommand } from 'citty';
import { loadDeclaredTables } from '../../../declarations/node/loadDeclaration.js';
import { applyDeclaration } from '../../../operator/node/applyOperation.js';
import { connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const diffCommand = defineCommand({
	meta: {
		name: 'diff',
		description:
			'Shows the changes that applying declarations would make. Exit codes: 0 no change, 10 changes to make. ' +
			'Example: yuccaarch diff routes.toml --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		file: { type: 'positional', required: true, description: 'Declaration files; several are merged.' },
		...connectionArguments,
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, (client) =>
			applyDeclaration(client, loadDeclaredTables(args._), { author: 'diff', isDryRun: true }),
		);
	},
});
