/** `yuccaarch diff`: Shows what applying a declaration would change. */

import { defineCommand } from 'citty';
import { loadDeclaredTables } from '../../../declarations/node/loadDeclaration.js';
import { applyDeclaration } from '../../../operator/node/applyOperation.js';
import { connectionArguments, runOperatorCommand } from '../operator/operatorArguments.js';

/** The command's definition. */
export const diffCommand = defineCommand({
	meta: {
		name: 'diff',
		description:
			'Shows what applying declarations would change. Exit codes: 0 nothing, 10 something. ' +
			'Example: yuccaarch diff routes.toml --operator 127.0.0.1:7100 --token TOKEN',
	},
	args: {
		file: { type: 'positional', required: true, description: 'Declaration files; several are joined.' },
		...connectionArguments,
	},
	run: async ({ args }) => {
		await runOperatorCommand(args, (client) =>
			applyDeclaration(client, loadDeclaredTables(args._), { author: 'diff', isDryRun: true }),
		);
	},
});
