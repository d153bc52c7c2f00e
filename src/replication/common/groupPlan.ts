/**
 * Plans membership changes that keep a group at its target size without an operator: admits keepers that ask to join, makes
 * them voters as soon as they have caught up, and then removes voters that leave or stay silent. A voter is replaced by
 * adding first, so that the group bears as many losses meanwhile as before. The leader runs these pure functions periodically.
 */

import { hasCaughtUp } from './memberChanges.js';
import type { MemberChange, ReplicaMember } from './replicatedLog.js';
import type { ReplicaState } from './replicaState.js';

/** A keeper that has asked to join the group. */
export interface JoinCandidate {
	readonly processId: string;
	readonly address: string;
	readonly diskId: string;
	readonly askedAgoMs: number;
}

/** Members, silences and join requests, as the leader knows them. */
export interface GroupHealth {
	readonly ownProcessId: string;
	readonly members: readonly ReplicaMember[];
	/** Time since the last answer of each other member, by processId. */
	readonly silentForMs: ReadonlyMap<string, number>;
	readonly joinCandidates: readonly JoinCandidate[];
	/** Learners that can be promoted, by processId. */
	readonly caughtUpLearnerIds: ReadonlySet<string>;
	/** Members that have told that they are about to stop, by processId. */
	readonly leavingIds: ReadonlySet<string>;
}

/** Target size and timeouts of automatic membership changes. */
export interface GroupRules {
	/** Number of voters that the group should have at least. */
	readonly targetVoters: number;
	/** Silence after which a voter is removed if enough others remain. */
	readonly replaceAfterMs: number;
	/** Silence after which a learner is removed. */
	readonly forgetLearnerAfterMs: number;
}

/** Age up to which a request to join or to leave counts as current. */
const requestLifetimeMs = 1500;

/** Returns the leader's view of the group; `undefined` on a keeper that does not lead. */
export function getGroupHealth(state: ReplicaState, nowMs: number): GroupHealth | undefined {
	const { leadership, config, log } = state;
	if (leadership === undefined) {
		return undefined;
	}
	const silentForMs = new Map<string, number>();
	for (const [processId, peer] of leadership.peers) {
		silentForMs.set(processId, nowMs - peer.lastAnswerMs);
	}
	const joinCandidates = [...leadership.joinRequests].map(([processId, { address, diskId, receivedMs }]) => ({
		processId,
		address,
		diskId,
		askedAgoMs: nowMs - receivedMs,
	}));
	const caughtUpLearnerIds = new Set(
		log.members
			.filter((member) => !member.isVoter && hasCaughtUp(state, leadership, member, nowMs))
			.map(({ processId }) => processId),
	);
	const leavingIds = new Set(
		[...leadership.leaveRequests].flatMap(([processId, receivedMs]) =>
			nowMs - receivedMs <= requestLifetimeMs ? [processId] : [],
		),
	);
	const { members } = log;
	return {
		ownProcessId: config.processId,
		...{ members, silentForMs, joinCandidates, caughtUpLearnerIds, leavingIds },
	};
}

/** Returns the number of voters up to which keepers that join become voters, so that a group does not grow without limit. */
function getMaxVoters({ targetVoters }: GroupRules): number {
	return Math.max(targetVoters + 1, 2 * targetVoters - 1);
}

/**
 * Returns the next change that brings the group toward its target size; `undefined` when none is due.
 *
 * @example
 * const change = planGroupChange(health, { targetVoters: 3, replaceAfterMs: 4000, forgetLearnerAfterMs: 30_000 });
 */
export function planGroupChange(health: GroupHealth, rules: GroupRules): MemberChange | undefined {
	const { members, leavingIds } = health;
	const joiningKeeper = health.joinCandidates.find(
		({ processId, diskId, askedAgoMs }) =>
			askedAgoMs <= requestLifetimeMs &&
			!members.some((member) => member.processId === processId && member.diskId === diskId),
	);
	if (joiningKeeper !== undefined) {
		const { processId, address, diskId } = joiningKeeper;
		return { action: 'addLearner', member: { processId, address, diskId, isVoter: false } };
	}
	const getSilenceMs = ({ processId }: ReplicaMember): number =>
		processId === health.ownProcessId ? 0 : (health.silentForMs.get(processId) ?? 0);
	const voters = members.filter((member) => member.isVoter);
	const learners = members.filter((member) => !member.isVoter);
	const successor = learners.find(
		({ processId }) => health.caughtUpLearnerIds.has(processId) && !leavingIds.has(processId),
	);
	if (successor !== undefined && voters.length < getMaxVoters(rules)) {
		return { action: 'promote', processId: successor.processId };
	}
	const replacedVoter =
		voters.length > rules.targetVoters
			? (voters.find((member) => getSilenceMs(member) > rules.replaceAfterMs) ??
				voters.find(({ processId }) => leavingIds.has(processId)))
			: undefined;
	const lostLearner = learners.find((member) => getSilenceMs(member) > rules.forgetLearnerAfterMs);
	const memberToRemove = replacedVoter ?? lostLearner;
	return memberToRemove === undefined ? undefined : { action: 'remove', processId: memberToRemove.processId };
}
