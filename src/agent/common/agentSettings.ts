/** Settings of an agent and their schema. */

import { z } from 'zod';
import { keeperEndpointSchema } from '../../control/common/keeperEndpoint.js';
import { controlPaths } from '../../control/common/serverSelector.js';
import {
	addressSchema,
	durationMsSchema,
	processSettingsShape,
} from '../../services/settings/common/settingsSchema.js';

/** Schema of an agent's settings file. */
export const agentSettingsSchema = z
	.strictObject({
		...processSettingsShape,
		announceAddress: addressSchema.describe('Loopback address on which the upstream announces itself.'),
		keepers: z
			.array(keeperEndpointSchema)
			.min(1)
			.describe('The keepers. Each process tries them in an order of its own, which spreads the load.'),
		controlPath: z
			.enum(controlPaths)
			.default('keepers')
			.describe('By what the agent subscribes to the tables: by a keeper, or by an entry that relays them.'),
		identityRetentionMs: durationMsSchema
			.default(600_000)
			.describe(
				'Time for which a finished task is remembered, so that a late or doubled start never runs it again.',
			),
		maxQueuedTasks: z.number().int().nonnegative().default(64).describe('Starts that may wait for a slot.'),
		maxRememberedTasks: z
			.number()
			.int()
			.positive()
			.default(100_000)
			.describe(
				'Task identities that are remembered; at the limit new starts are refused rather than forgotten.',
			),
		maxKeptResultBytes: z
			.number()
			.int()
			.positive()
			.default(16_777_216)
			.describe('Bytes of results that are kept for entries which have not acknowledged them.'),
		maxResultBytes: z
			.number()
			.int()
			.positive()
			.default(1_048_576)
			.describe('Largest result of a task; a larger one ends the task as failed.'),
		freshnessLimitMs: durationMsSchema
			.default(2000)
			.describe(
				"Age of the agent's and the sender's tables past which a start is refused, as a drain may have been missed.",
			),
		drainTimeoutMs: durationMsSchema
			.default(70_000)
			.describe('Time that a drain may take before the process gives up.'),
	})
	.refine(({ maxResultBytes, maxKeptResultBytes }) => maxResultBytes <= maxKeptResultBytes, {
		path: ['maxResultBytes'],
		error:
			'It must not exceed maxKeptResultBytes, or a single result could never be kept. ' +
			'Lower maxResultBytes or raise maxKeptResultBytes.',
	});

/** Validated settings of an agent, with defaults filled in. */
export type AgentSettings = z.output<typeof agentSettingsSchema>;
