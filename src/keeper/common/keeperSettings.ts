/** Schema of a keeper's settings. */

import { z } from 'zod';
import { keeperEndpointSchema } from '../../control/common/keeperEndpoint.js';
import {
	addressSchema,
	durationMsSchema,
	processSettingsShape,
} from '../../services/settings/common/settingsSchema.js';

/** Schema of a keeper's settings file. */
export const keeperSettingsSchema = z
	.strictObject({
		...processSettingsShape,
		peerAddress: addressSchema.describe('Address that keepers, entries and agents connect to.'),
		operatorAddress: addressSchema.describe("Address of the operators' HTTP interface."),
		operatorToken: z.string().min(16).describe('Token that operators send; at least 16 characters.'),
		dataFolder: z.string().min(1).describe('Folder of all durable files.'),
		members: z
			.array(keeperEndpointSchema)
			.min(1)
			.max(5)
			.describe('The group at its first start, this keeper included; later changes go through the log.'),
		claimRetentionMs: durationMsSchema
			.default(86_400_000)
			.describe('Time for which a claim of a not-repeatable submission is kept.'),
		memberLeaseMs: durationMsSchema
			.default(1500)
			.describe('Time after its last status for which a subscriber counts as live.'),
		electionTimeoutMs: durationMsSchema
			.default(300)
			.describe('Least silence of a leader before a follower stands.'),
		heartbeatIntervalMs: durationMsSchema.default(75).describe("Time between a leader's heartbeats."),
	})
	.refine(({ heartbeatIntervalMs, electionTimeoutMs }) => 2 * heartbeatIntervalMs <= electionTimeoutMs, {
		path: ['heartbeatIntervalMs'],
		error:
			'It must be at most half of electionTimeoutMs; otherwise one late heartbeat ends the leadership. ' +
			'Lower heartbeatIntervalMs or raise electionTimeoutMs.',
	});

/** Validated settings of a keeper, with defaults filled in. */
export type KeeperSettings = z.output<typeof keeperSettingsSchema>;
