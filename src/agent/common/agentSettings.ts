/** Settings of an agent. */

import { z } from 'zod';
import { keeperEndpointSchema } from '../../control/common/keeperEndpoint.js';
import {
	addressSchema,
	durationMsSchema,
	processSettingsShape,
} from '../../platform/settings/common/settingsSchema.js';

/** Schema of an agent's settings file. */
export const agentSettingsSchema = z.strictObject({
	...processSettingsShape,
	announceAddress: addressSchema.describe('Loopback address on which the upstream announces itself.'),
	keepers: z.array(keeperEndpointSchema).min(1).describe('The keepers, in order of preference.'),
	identityRetentionMs: durationMsSchema
		.default(600_000)
		.describe(
			'Time for which a finished task is remembered, so that a late or doubled start never runs it again.',
		),
	maxQueuedTasks: z.number().int().nonnegative().default(64).describe('Starts that may wait for a slot.'),
	drainTimeoutMs: durationMsSchema
		.default(30_000)
		.describe('Time that a drain may take before the process gives up.'),
});

/** Settings of an agent. */
export type AgentSettings = z.output<typeof agentSettingsSchema>;
