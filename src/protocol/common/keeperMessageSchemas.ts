/**
 * Schemas of the messages between keepers, relaying entries and subscribers. Malformed messages are rejected on
 * arrival, because claims and statuses become part of every keeper's replicated state, and tables reach every process.
 */

import { z } from 'zod';
import { tableDeltaSchema, tablesSchema } from '../../declarations/common/tableSchemas.js';
import type { ProcessRole } from '../../services/transport/common/transport.js';
import type {
	ClaimRequest,
	EntryDirectory,
	KeeperToSubscriberMessage,
	MemberStatus,
	SubscriberToKeeperMessage,
	TableScope,
} from './keeperMessages.js';

/** Maximum length of a name, address or id. */
const maxShortTextLength = 256;

/** Maximum number of claims or releases in one message. */
const maxClaimsPerMessage = 20_000;

/** Maximum number of processes in each list of a report. */
const maxMembersPerReport = 20_000;

const shortTextSchema = z.string().min(1).max(maxShortTextLength);
const nonNegativeIntegerSchema = z.number().int().nonnegative();
/** A duration, which may be infinite. */
const durationMsSchema = z.custom<number>((value) => typeof value === 'number' && value >= 0);

const claimRequestSchema: z.ZodType<ClaimRequest> = z.object({
	submissionId: shortTextSchema,
	ownerId: shortTextSchema,
	ownerIncarnation: shortTextSchema,
	claimNumber: nonNegativeIntegerSchema.optional(),
});

const claimRequestsSchema = z.array(claimRequestSchema).max(maxClaimsPerMessage);

// Accepts unknown fields, so that a keeper passes on those that a newer agent adds.
const upstreamOfferSchema = z.looseObject({
	pool: shortTextSchema,
	slots: z.number(),
	connections: z.number(),
	cores: z.number(),
	memoryBytes: z.number(),
	accelerators: z.number(),
});

const memberStatusSchema: z.ZodType<MemberStatus> = z.looseObject({
	peerAddress: shortTextSchema.optional(),
	httpAddress: shortTextSchema.optional(),
	dataCentre: shortTextSchema,
	rack: shortTextSchema,
	isDraining: z.boolean(),
	revisionInForce: nonNegativeIntegerSchema,
	drainTimeoutMs: nonNegativeIntegerSchema.optional(),
	offer: upstreamOfferSchema.optional(),
});

const tableScopeSchema: z.ZodType<TableScope> = z.object({
	pool: shortTextSchema.optional(),
	processId: shortTextSchema,
});

const processRoles: readonly ProcessRole[] = [
	'entry',
	'agent',
	'keeper',
	'reporter',
	'subscriber',
	'operator',
	'probe',
];

/** Schema of a keeper's report to another keeper, or of an entry's report about the agents that subscribe to it. */
export const memberReportsSchema = z.object({
	kind: z.literal('memberReports'),
	members: z
		.array(
			z.object({
				processId: shortTextSchema,
				role: z.enum(processRoles),
				incarnation: shortTextSchema,
				subscribedAgoMs: durationMsSchema,
				heardAgoMs: durationMsSchema,
				hasLeft: z.boolean(),
				relayId: shortTextSchema.optional(),
				status: memberStatusSchema,
			}),
		)
		.max(maxMembersPerReport),
	heardWithinMs: durationMsSchema,
	relayedWithinMs: durationMsSchema,
	silent: z
		.array(z.object({ processId: shortTextSchema, heardAgoMs: durationMsSchema }))
		.max(maxMembersPerReport),
});

/** Schema of the messages that a subscriber sends. */
export const subscriberToKeeperSchema: z.ZodType<SubscriberToKeeperMessage> = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('subscribe'),
		revision: nonNegativeIntegerSchema,
		epoch: nonNegativeIntegerSchema,
		historyId: shortTextSchema.optional(),
		scope: tableScopeSchema.optional(),
		status: memberStatusSchema,
		probe: nonNegativeIntegerSchema,
	}),
	z.object({ kind: z.literal('memberStatus'), status: memberStatusSchema, probe: nonNegativeIntegerSchema }),
	z.object({
		kind: z.literal('renewLease'),
		probe: nonNegativeIntegerSchema,
		revisionInForce: nonNegativeIntegerSchema,
		ageMs: durationMsSchema.optional(),
	}),
	z.object({ kind: z.literal('leave') }),
	z.object({ kind: z.literal('claim'), claims: claimRequestsSchema }),
	z.object({ kind: z.literal('releaseClaims'), claims: claimRequestsSchema }),
	memberReportsSchema,
]);

/** Maximum number of entries in a directory. */
const maxDirectoryEntries = 10_000;

/** Maximum number of changes in one message. */
const maxDeltasPerMessage = 1000;

// Accepts unknown fields, so that an entry passes on those that a newer keeper adds.
const entryDirectorySchema: z.ZodType<EntryDirectory> = z.looseObject({
	epoch: nonNegativeIntegerSchema,
	entries: z
		.array(
			z.looseObject({
				processId: shortTextSchema,
				incarnation: shortTextSchema,
				peerAddress: shortTextSchema,
				dataCentre: shortTextSchema,
				isDraining: z.boolean(),
			}),
		)
		.max(maxDirectoryEntries),
});

const freshnessFields = {
	historyId: shortTextSchema,
	ageMs: durationMsSchema,
	probe: nonNegativeIntegerSchema,
};

/** Schema of the messages that a keeper, or a relaying entry, sends to a subscriber. */
export const keeperToSubscriberSchema: z.ZodType<KeeperToSubscriberMessage> = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('controlSnapshot'),
		...freshnessFields,
		scope: tableScopeSchema.optional(),
		tables: tablesSchema,
		directory: entryDirectorySchema,
	}),
	z.object({
		kind: z.literal('controlDelta'),
		...freshnessFields,
		deltas: z.array(tableDeltaSchema).max(maxDeltasPerMessage),
		directory: entryDirectorySchema.optional(),
	}),
	z.object({
		kind: z.literal('controlFreshness'),
		...freshnessFields,
		revision: nonNegativeIntegerSchema,
		epoch: nonNegativeIntegerSchema,
	}),
	z.object({
		kind: z.literal('claimAnswers'),
		answers: z.array(
			z.object({
				submissionId: shortTextSchema,
				claimNumber: nonNegativeIntegerSchema.optional(),
				outcome: z.enum(['granted', 'taken', 'unknown']),
			}),
		),
		released: z.array(
			z.object({ submissionId: shortTextSchema, claimNumber: nonNegativeIntegerSchema.optional() }),
		),
	}),
	z.object({ kind: z.literal('keeperLeaving') }),
]);
