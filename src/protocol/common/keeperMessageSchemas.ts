/**
 * Schemas of the messages between keepers, relaying entries and subscribers. Claims and statuses end in the replicated
 * state of every keeper, and tables in every process, so that a malformed one must be stopped where it arrives.
 */

import { z } from 'zod';
import { tableDeltaSchema, tablesSchema } from '../../declarations/common/tableSchemas.js';
import type { ProcessRole } from '../../services/transport/common/transport.js';
import type {
	ClaimRequest,
	EntryDirectory,
	KeeperToMemberMessage,
	MemberStatus,
	MemberToKeeperMessage,
	TableScope,
} from './keeperMessages.js';

/** Longest name, address or id that is taken. */
const maxTextLength = 256;

/** Claims or releases in one message. */
const maxClaimsPerMessage = 20_000;

/** Processes in one report. */
const maxReportedMembers = 20_000;

const textSchema = z.string().min(1).max(maxTextLength);
const countSchema = z.number().int().nonnegative();
/** A time that may be infinite. */
const ageSchema = z.custom<number>((value) => typeof value === 'number' && value >= 0);

const claimSchema: z.ZodType<ClaimRequest> = z.object({
	submissionId: textSchema,
	ownerId: textSchema,
	ownerIncarnation: textSchema,
	claimNumber: countSchema.optional(),
});

const claimsSchema = z.array(claimSchema).max(maxClaimsPerMessage);

// Loose, so that a keeper hands on what a newer agent adds.
const offerSchema = z.looseObject({
	pool: textSchema,
	slots: z.number(),
	connections: z.number(),
	cores: z.number(),
	memoryBytes: z.number(),
	accelerators: z.number(),
});

const statusSchema: z.ZodType<MemberStatus> = z.looseObject({
	peerAddress: textSchema.optional(),
	httpAddress: textSchema.optional(),
	dataCentre: textSchema,
	rack: textSchema,
	isDraining: z.boolean(),
	revisionInForce: countSchema,
	drainTimeoutMs: countSchema.optional(),
	offer: offerSchema.optional(),
});

const scopeSchema: z.ZodType<TableScope> = z.object({ pool: textSchema.optional(), processId: textSchema });

const roles: readonly ProcessRole[] = [
	'entry',
	'agent',
	'keeper',
	'reporter',
	'subscriber',
	'operator',
	'probe',
];

/** Reports of another keeper, or of an entry about the agents that subscribe to it. */
export const memberReportsSchema = z.object({
	kind: z.literal('memberReports'),
	members: z
		.array(
			z.object({
				processId: textSchema,
				role: z.enum(roles),
				incarnation: textSchema,
				subscribedAgoMs: ageSchema,
				heardAgoMs: ageSchema,
				hasLeft: z.boolean(),
				relayId: textSchema.optional(),
				status: statusSchema,
			}),
		)
		.max(maxReportedMembers),
	heardWithinMs: ageSchema,
	relayedWithinMs: ageSchema,
	silent: z.array(z.object({ processId: textSchema, heardAgoMs: ageSchema })).max(maxReportedMembers),
});

/** Messages of a subscriber. */
export const memberToKeeperSchema: z.ZodType<MemberToKeeperMessage> = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('subscribe'),
		revision: countSchema,
		epoch: countSchema,
		historyId: textSchema.optional(),
		scope: scopeSchema.optional(),
		status: statusSchema,
		probe: countSchema,
	}),
	z.object({ kind: z.literal('memberStatus'), status: statusSchema, probe: countSchema }),
	z.object({
		kind: z.literal('renewLease'),
		probe: countSchema,
		revisionInForce: countSchema,
		ageMs: ageSchema.optional(),
	}),
	z.object({ kind: z.literal('leave') }),
	z.object({ kind: z.literal('claim'), claims: claimsSchema }),
	z.object({ kind: z.literal('releaseClaims'), claims: claimsSchema }),
	memberReportsSchema,
]);

/** Entries in one directory. */
const maxDirectoryEntries = 10_000;

/** Changes in one message. */
const maxDeltasPerMessage = 1000;

// Loose, so that an entry hands on what a newer keeper adds.
const directorySchema: z.ZodType<EntryDirectory> = z.looseObject({
	epoch: countSchema,
	entries: z
		.array(
			z.looseObject({
				processId: textSchema,
				incarnation: textSchema,
				peerAddress: textSchema,
				dataCentre: textSchema,
				isDraining: z.boolean(),
			}),
		)
		.max(maxDirectoryEntries),
});

const freshnessShape = { historyId: textSchema, ageMs: ageSchema, probe: countSchema };

/** Messages of a keeper, or of an entry that relays, to a subscriber. */
export const keeperToMemberSchema: z.ZodType<KeeperToMemberMessage> = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('controlSnapshot'),
		...freshnessShape,
		scope: scopeSchema.optional(),
		tables: tablesSchema,
		directory: directorySchema,
	}),
	z.object({
		kind: z.literal('controlDelta'),
		...freshnessShape,
		deltas: z.array(tableDeltaSchema).max(maxDeltasPerMessage),
		directory: directorySchema.optional(),
	}),
	z.object({
		kind: z.literal('controlFreshness'),
		...freshnessShape,
		revision: countSchema,
		epoch: countSchema,
	}),
	z.object({
		kind: z.literal('claimAnswers'),
		answers: z.array(
			z.object({
				submissionId: textSchema,
				claimNumber: countSchema.optional(),
				outcome: z.enum(['granted', 'taken', 'unknown']),
			}),
		),
		released: z.array(z.object({ submissionId: textSchema, claimNumber: countSchema.optional() })),
	}),
	z.object({ kind: z.literal('keeperLeaving') }),
]);
