/** Membership changes, one member at a time. */

import { isPeerSilent, hasLiveQuorum, filterVoters } from './quorum.js';
import type { JoinMessage } from './replicaMessages.js';
import type { MemberChange, ReplicaMember } from './replicatedLog.js';
import type { Leadership, ReplicaState } from './replicaState.js';
import { sendAppendsToAll, acceptsMemberChange, acceptsProposals } from './leader.js';
import { syncPeersWithMembers } from './peerProgress.js';
import type { StepContext } from './stepContext.js';

/** Appends a requested membership change, or refuses it with a reason. */
export function proposeMemberChange(ctx: StepContext, change: MemberChange): void {
	const { state } = ctx;
	if (!acceptsProposals(state)) {
		ctx.outputs.push({ kind: 'refused', reason: 'This keeper does not lead the group; ask the leader.' });
		return;
	}
	const planned = planMemberChange(state, state.leadership, change, ctx.nowMs);
	if (typeof planned === 'string') {
		ctx.outputs.push({ kind: 'refused', reason: planned });
		return;
	}
	const firstIndex = appendMembersEntry(ctx, planned);
	ctx.outputs.push({ kind: 'appended', firstIndex, term: state.hardState.term });
}

/**
 * Handles the join request of a keeper with an empty disk. A member with another disk becomes a learner in its old
 * place, unless the old disk still answers, because then two processes use the same processId. The request of a keeper
 * that is no member is recorded for a later `addLearner`. A keeper that does not lead passes the request on to the leader,
 * to which the asking keeper need not have a connection.
 */
export function handleJoinRequest(ctx: StepContext, message: JoinMessage): void {
	const { state, nowMs } = ctx;
	const { processId, address, diskId } = message;
	if (message.groupId !== state.hardState.groupId) {
		return;
	}
	if (state.role !== 'leader') {
		relayToLeader(ctx, message);
		return;
	}
	if (!acceptsProposals(state)) {
		return;
	}
	const { leadership } = state;
	const listed = state.log.members.find((member) => member.processId === processId);
	if (listed === undefined) {
		leadership.joinRequests.set(processId, { address, diskId, receivedMs: nowMs });
		return;
	}
	const peer = leadership.peers.get(processId);
	const isOldDiskLive = peer !== undefined && !isPeerSilent(state, peer, nowMs);
	if (listed.diskId === diskId || isOldDiskLive || !acceptsMemberChange(state, leadership)) {
		return;
	}
	const learner = { processId, address, diskId, isVoter: false, isRejoining: true };
	const members = replaceMember(state.log.members, learner);
	if (hasLiveQuorum(state, members, nowMs)) {
		appendMembersEntry(ctx, members);
	}
}

/** Passes a join request on once, so that two keepers that take each other for the leader don't send it back and forth. */
function relayToLeader(ctx: StepContext, message: JoinMessage): void {
	const { leaderId } = ctx.state;
	if (leaderId !== undefined && message.isRelayed !== true) {
		ctx.sendFormationMessage(leaderId, { ...message, isRelayed: true });
	}
}

/** Promotes a rejoining learner once it holds all that was committed at the start of the last confirmed round. */
export function promoteRejoinedLearner(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	if (!acceptsProposals(state) || !acceptsMemberChange(state, state.leadership)) {
		return;
	}
	const { leadership } = state;
	const learner = state.log.members.find(
		(member) =>
			member.isRejoining === true && !member.isVoter && hasCaughtUp(state, leadership, member, nowMs),
	);
	if (learner !== undefined) {
		appendMembersEntry(ctx, replaceLearnerByVoter(state.log.members, learner));
	}
}

function planMemberChange(
	state: ReplicaState,
	leadership: Leadership,
	change: MemberChange,
	nowMs: number,
): readonly ReplicaMember[] | string {
	if (!acceptsMemberChange(state, leadership)) {
		return 'An earlier membership change is not committed yet; try again in a moment.';
	}
	switch (change.action) {
		case 'addLearner':
			return planLearnerAddition(state, leadership, change.member, nowMs);
		case 'promote':
			return planPromotion(state, leadership, change.processId, nowMs);
		case 'remove':
			return planRemoval(state, change.processId, nowMs);
	}
}

function planLearnerAddition(
	state: ReplicaState,
	leadership: Leadership,
	member: ReplicaMember,
	nowMs: number,
): readonly ReplicaMember[] | string {
	const { processId } = member;
	const joinRequest = leadership.joinRequests.get(processId);
	const diskId = member.diskId === '' ? joinRequest?.diskId : member.diskId;
	if (diskId === undefined) {
		return `The keeper "${processId}" has not asked to join; start it with an empty data folder first.`;
	}
	const { members } = state.log;
	if (members.some((listed) => listed.processId === processId && listed.diskId === diskId)) {
		return `The keeper "${processId}" is already a member with this disk.`;
	}
	const planned = replaceMember(members, { processId, address: member.address, diskId, isVoter: false });
	return requireLiveQuorum(state, planned, nowMs);
}

function planPromotion(
	state: ReplicaState,
	leadership: Leadership,
	processId: string,
	nowMs: number,
): readonly ReplicaMember[] | string {
	const member = state.log.members.find((listed) => listed.processId === processId);
	if (member === undefined) {
		return `The keeper "${processId}" is not a member; add it as a learner first.`;
	}
	if (member.isVoter) {
		return `The keeper "${processId}" is already a voter.`;
	}
	if (!hasCaughtUp(state, leadership, member, nowMs)) {
		const matchIndex = leadership.peers.get(processId)?.matchIndex ?? 0;
		return (
			`The learner "${processId}" has ${matchIndex} of ${state.commitIndex} entries; ` +
			'wait until it has caught up.'
		);
	}
	return replaceLearnerByVoter(state.log.members, member);
}

function planRemoval(
	state: ReplicaState,
	processId: string,
	nowMs: number,
): readonly ReplicaMember[] | string {
	const { members } = state.log;
	const planned = members.filter((member) => member.processId !== processId);
	if (planned.length === members.length) {
		return `The keeper "${processId}" is not a member.`;
	}
	if (filterVoters(planned).length === 0) {
		return `The keeper "${processId}" is the last voter and can't be removed.`;
	}
	return requireLiveQuorum(state, planned, nowMs);
}

function requireLiveQuorum(
	state: ReplicaState,
	planned: readonly ReplicaMember[],
	nowMs: number,
): readonly ReplicaMember[] | string {
	if (filterVoters(planned).length === 0) {
		return 'The change would leave the group without a voter.';
	}
	if (!hasLiveQuorum(state, planned, nowMs)) {
		return 'The change would leave the group without a quorum of live voters; start the silent ones first.';
	}
	return planned;
}

/** Returns whether a live member holds all that was committed at the start of the last confirmed round. */
export function hasCaughtUp(
	state: ReplicaState,
	leadership: Leadership,
	member: ReplicaMember,
	nowMs: number,
): boolean {
	const peer = leadership.peers.get(member.processId);
	return (
		peer?.diskId === member.diskId &&
		!isPeerSilent(state, peer, nowMs) &&
		peer.matchIndex >= leadership.termStartIndex &&
		peer.matchIndex >= leadership.confirmedRoundCommitIndex
	);
}

function appendMembersEntry(ctx: StepContext, members: readonly ReplicaMember[]): number {
	const { state } = ctx;
	const index = state.log.lastIndex + 1;
	ctx.append([{ kind: 'members', index, term: state.hardState.term, members }]);
	syncPeersWithMembers(ctx);
	sendAppendsToAll(ctx);
	return index;
}

function replaceMember(members: readonly ReplicaMember[], member: ReplicaMember): readonly ReplicaMember[] {
	return [...members.filter((listed) => listed.processId !== member.processId), member];
}

function replaceLearnerByVoter(
	members: readonly ReplicaMember[],
	learner: ReplicaMember,
): readonly ReplicaMember[] {
	const { processId, address, diskId } = learner;
	return replaceMember(members, { processId, address, diskId, isVoter: true });
}
