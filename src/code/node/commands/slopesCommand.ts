/** `yuccaarch slopes`: Measures the cost of each additional task, change, member and subscriber for each role. */

import { defineCommand } from 'citty';
import { measureAgentSlopes } from '../../../bench/node/agentSlopes.js';
import { measureEntrySlopes } from '../../../bench/node/entrySlopes.js';
import { measureKeeperSlopes } from '../../../bench/node/keeperSlopes.js';
import { measureRelaySlopes } from '../../../bench/node/relaySlopes.js';

/** The command's definition. */
export const slopesCommand = defineCommand({
	meta: {
		name: 'slopes',
		description: 'Measures the cost of each additional task, change, member and subscriber for each role.',
	},
	args: {
		role: {
			type: 'string',
			default: 'keeper,relay,entry,agent',
			description: 'Roles to measure, separated by commas; relay is a keeper with agents behind an entry.',
		},
	},
	run: async ({ args }) => {
		const roles = args.role.split(',');
		const slopes = {
			...(roles.includes('keeper') ? { keeper: await measureKeeperSlopes() } : {}),
			...(roles.includes('relay') ? { relay: await measureRelaySlopes() } : {}),
			...(roles.includes('entry') ? { entry: await measureEntrySlopes() } : {}),
			...(roles.includes('agent') ? { agent: await measureAgentSlopes() } : {}),
		};
		process.stdout.write(`${JSON.stringify(slopes, undefined, 2)}\n`);
	},
});
