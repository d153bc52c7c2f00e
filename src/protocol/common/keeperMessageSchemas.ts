/**
 * Schemas of what keepers take from other processes. Claims and statuses end in the replicated state of every keeper,
 * so that a malformed one must be stopped before it is proposed.
 */

import { z } from 'zod';
import type { ProcessRole } from '../../platform/transport/common/transport.js';
import type {
	ClaimRequest,
	MemberReportsMessage,
	MemberStatus,
	MemberToKeeperMessage,
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

/** Messages of a subscriber. */
export const memberToKeeperSchema: z.ZodType<MemberToKeeperMessage> = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('subscribe'),
		revision: countSchema,
		epoch: countSchema,
		historyId: textSchema.optional(),
		status: statusSchema,
		probe: countSchema,
	}),
	z.object({ kind: z.literal('memberStatus'), status: statusSchema, probe: countSchema }),
	z.object({ kind: z.literal('renewLease'), probe: countSchema, revisionInForce: countSchema }),
	z.object({ kind: z.literal('leave') }),
	z.object({ kind: z.literal('claim'), claims: claimsSchema }),
	z.object({ kind: z.literal('releaseClaims'), claims: claimsSchema }),
]);

const roles: readonly ProcessRole[] = ['entry', 'agent', 'keeper', 'reporter', 'operator', 'probe'];

/** Reports of another keeper. */
export const memberReportsSchema: z.ZodType<MemberReportsMessage> = z.object({
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
				status: statusSchema,
			}),
		)
		.max(maxReportedMembers),
	heardWithinMs: ageSchema,
	silent: z.array(z.object({ processId: textSchema, heardAgoMs: ageSchema })).max(maxReportedMembers),
});
