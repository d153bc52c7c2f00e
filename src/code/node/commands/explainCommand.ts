/** `yuccaarch explain`: Prints the decisions about one request from collected log files. */

import { readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { explainRequest } from '../../../operator/common/explainLog.js';

/** The command's definition. */
export const explainCommand = defineCommand({
	meta: {
		name: 'explain',
		description:
			'Prints the decisions about one request from collected log files. ' +
			'Example: yuccaarch explain 35bb3f19167681d8 entry.log agent.log',
	},
	args: { id: { type: 'positional', required: true, description: 'Id of the request.' } },
	run: ({ args }) => {
		const files = args._.slice(1);
		process.stdout.write(
			explainRequest(
				args.id,
				files.map((file) => readFileSync(file, 'utf8')),
			),
		);
	},
});
