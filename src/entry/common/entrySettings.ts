/** Settings of an entry and their schema. */

import { z } from 'zod';
import { keeperEndpointSchema } from '../../control/common/keeperEndpoint.js';
import {
	addressSchema,
	durationMsSchema,
	processSettingsShape,
} from '../../services/settings/common/settingsSchema.js';

/** Names of the placement policies. The daemon uses `home` by default; the others are baselines for benchmarks. */
export const policyNames = ['home', 'random', 'twoChoices', 'batchSampling'] as const;

/** Schema of an entry's settings file. */
export const entrySettingsSchema = z.strictObject({
	...processSettingsShape,
	httpAddress: addressSchema.describe('Address for readers and the balancer.'),
	peerAddress: addressSchema.describe('Address that agents and other entries connect to.'),
	advertisedPeerAddress: addressSchema
		.optional()
		.describe('Peer address that others are told, where it differs from the one that is bound.'),
	keepers: z
		.array(keeperEndpointSchema)
		.min(1)
		.describe('The keepers. Each process tries them in an order of its own, which spreads the load.'),
	freshnessLimitMs: durationMsSchema
		.default(3000)
		.describe(
			'Age of the tables past which the entry refuses new work, so that no accepted change is contradicted.',
		),
	maxBodyBytes: z
		.number()
		.int()
		.positive()
		.default(4_194_304)
		.describe('Largest request body that is taken.'),
	maxOpenJobs: z
		.number()
		.int()
		.positive()
		.default(20_000)
		.describe('Jobs that may be open at the same time.'),
	keyRetentionMs: durationMsSchema
		.default(600_000)
		.describe('Time for which a finished submission is remembered by its idempotency key.'),
	maxRelayedAgents: z
		.number()
		.int()
		.nonnegative()
		.default(500)
		.describe('Agents that may subscribe to the control state by this entry.'),
	operatorToken: z
		.string()
		.min(16)
		.optional()
		.describe('Token for reading counters and the burn report; absent means that neither is served.'),
	drainTimeoutMs: durationMsSchema
		.default(70_000)
		.describe('Time that a drain may take before the process gives up.'),
	policy: z.enum(policyNames).default('home').describe('Placement policy.'),
});

/** Settings of an entry, validated and with defaults applied. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
