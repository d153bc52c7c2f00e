/** Elections: pre-votes and votes. */

import type { PreVoteAnswer, PreVoteMessage, VoteAnswer, VoteMessage } from './replicaMessages.js';
import type { StepContext } from './stepContext.js';
import { becomeFollower, resetElectionDeadline } from './roles.js';
import { isVoterWithThisDisk, isQuorum, filterVoters } from './quorum.js';
import { otherMembers, type ReplicaState } from './replicaState.js';
import { becomeLeader } from './leader.js';

/** Starts a pre-vote when the election timeout has passed without contact from a leader. */
export function tickElection(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	if (state.role === 'leader' || nowMs < state.electionDeadlineMs) {
		return;
	}
	state.leaderId = undefined;
	resetElectionDeadline(state, nowMs);
	if (isVoterWithThisDisk(state)) {
		startPreVote(ctx);
	}
}

/** Answers a `preVote` without changing the term. */
export function handlePreVote(ctx: StepContext, from: string, message: PreVoteMessage): void {
	const { state } = ctx;
	const isGranted =
		message.nextTerm > state.hardState.term && !hasRecentLeaderContact(ctx) && isLogUpToDate(state, message);
	const answer = { kind: 'preVoteAnswer' as const, nextTerm: message.nextTerm, isGranted };
	ctx.send(from, message.fromDiskId, answer, 'term');
}

/** Counts a granted pre-vote, and starts the election once a quorum has granted it. */
export function handlePreVoteAnswer(ctx: StepContext, from: string, message: PreVoteAnswer): void {
	const { state } = ctx;
	if (!message.isGranted && message.term > state.hardState.term) {
		becomeFollower(ctx, message.term, undefined);
		return;
	}
	if (state.role !== 'preCandidate' || !message.isGranted || message.nextTerm !== state.hardState.term + 1) {
		return;
	}
	if (!isVoterDisk(state, from, message.fromDiskId)) {
		return;
	}
	state.grantingVoterIds.add(from);
	if (isQuorum(state, state.grantingVoterIds)) {
		startElection(ctx, false);
	}
}

/**
 * Grants or refuses a vote. Ignores the request when a leader was heard within the election timeout, unless the leader
 * asked for the election.
 */
export function handleVote(ctx: StepContext, from: string, message: VoteMessage): void {
	const { state, nowMs } = ctx;
	if (!message.isTransfer && hasRecentLeaderContact(ctx)) {
		return;
	}
	if (message.term > state.hardState.term) {
		becomeFollower(ctx, message.term, undefined);
	}
	const { votedFor, term } = state.hardState;
	const canVote = message.term === term && (votedFor === undefined || votedFor === from);
	const isGranted = canVote && isLogUpToDate(state, message);
	if (isGranted) {
		resetElectionDeadline(state, nowMs);
		if (votedFor === undefined) {
			ctx.setHardState({ votedFor: from });
		}
	}
	ctx.send(from, message.fromDiskId, { kind: 'voteAnswer', isGranted }, 'term');
}

/** Counts a granted vote, and becomes leader once a quorum has granted it. */
export function handleVoteAnswer(ctx: StepContext, from: string, message: VoteAnswer): void {
	const { state } = ctx;
	if (message.term > state.hardState.term) {
		becomeFollower(ctx, message.term, undefined);
		return;
	}
	const isValidGrant =
		message.isGranted && message.term === state.hardState.term && state.role === 'candidate';
	if (!isValidGrant || !isVoterDisk(state, from, message.fromDiskId)) {
		return;
	}
	state.grantingVoterIds.add(from);
	if (isQuorum(state, state.grantingVoterIds)) {
		becomeLeader(ctx);
	}
}

/** Starts an election in the next term. A leadership transfer needs no pre-vote, because the leader asked for it. */
export function startElection(ctx: StepContext, isTransfer: boolean): void {
	const { state, nowMs } = ctx;
	const { processId } = state.config;
	ctx.setHardState({ term: state.hardState.term + 1, votedFor: processId });
	state.role = 'candidate';
	state.leaderId = undefined;
	state.grantingVoterIds = new Set([processId]);
	state.failedElections += 1;
	resetElectionDeadline(state, nowMs);
	if (isQuorum(state, state.grantingVoterIds)) {
		becomeLeader(ctx);
		return;
	}
	const { lastIndex, lastTerm } = state.log;
	for (const voter of filterVoters(otherMembers(state))) {
		ctx.send(voter.processId, voter.diskId, { kind: 'vote', lastIndex, lastTerm, isTransfer }, 'term');
	}
}

function startPreVote(ctx: StepContext): void {
	const { state } = ctx;
	state.role = 'preCandidate';
	state.grantingVoterIds = new Set([state.config.processId]);
	if (isQuorum(state, state.grantingVoterIds)) {
		startElection(ctx, false);
		return;
	}
	const nextTerm = state.hardState.term + 1;
	const { lastIndex, lastTerm } = state.log;
	for (const voter of filterVoters(otherMembers(state))) {
		ctx.send(voter.processId, voter.diskId, { kind: 'preVote', nextTerm, lastIndex, lastTerm }, 'term');
	}
}

/** Returns whether this keeper leads, or has heard from a leader within the election timeout. */
function hasRecentLeaderContact(ctx: StepContext): boolean {
	const { state, nowMs } = ctx;
	return state.role === 'leader' || nowMs - state.lastLeaderContactMs < state.config.electionTimeoutMs;
}

/** Returns whether a candidate's log is at least as up to date as this keeper's. */
function isLogUpToDate(state: ReplicaState, candidate: { lastIndex: number; lastTerm: number }): boolean {
	const { lastIndex, lastTerm } = state.log;
	if (candidate.lastTerm !== lastTerm) {
		return candidate.lastTerm > lastTerm;
	}
	return candidate.lastIndex >= lastIndex;
}

function isVoterDisk(state: ReplicaState, processId: string, diskId: string): boolean {
	return filterVoters(state.log.members).some(
		(voter) => voter.processId === processId && voter.diskId === diskId,
	);
}
