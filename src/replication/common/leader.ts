/** The leader: heartbeat rounds, appends and the answers to them. */

import type { AppendAnswer, HeartbeatAnswer } from './replicaMessages.js';
import type { StepContext } from './stepContext.js';
import { advanceCommitIndexByQuorum } from './commitIndex.js';
import { becomeFollower } from './roles.js';
import { resolveAnsweringPeer, restartProbing, syncPeersWithMembers } from './peerProgress.js';
import { getMaxStateAgeMs, hasCommittedInOwnTerm } from './freshness.js';
import { isVoterWithThisDisk, getQuorumTimeoutMs, getQuorumValue } from './quorum.js';
import { maxInflightAppends, type Leadership, type PeerProgress, type ReplicaState } from './replicaState.js';
import { sendSnapshotChunk } from './snapshotSender.js';

/** Becomes the leader of the current term and appends its no-op entry. */
export function becomeLeader(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	state.role = 'leader';
	state.failedElections = 0;
	state.leaderId = state.config.processId;
	const leadership: Leadership = {
		termStartIndex: state.log.lastIndex + 1,
		peers: new Map(),
		unconfirmedRounds: [],
		lastRound: 0,
		confirmedRoundStartMs: nowMs,
		confirmedRoundCommitIndex: 0,
		nextHeartbeatMs: nowMs,
		transfer: undefined,
		joinRequests: new Map(),
		leaveRequests: new Map(),
	};
	state.leadership = leadership;
	ctx.append([{ kind: 'noop', index: leadership.termStartIndex, term: state.hardState.term }]);
	syncPeersWithMembers(ctx);
	tickLeader(ctx);
	sendAppendsToAll(ctx);
}

/**
 * Starts a round of heartbeats when one is due. Steps down when the last round confirmed by a quorum is older than the
 * quorum timeout.
 */
export function tickLeader(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	const { leadership } = state;
	if (leadership === undefined) {
		return;
	}
	confirmHeartbeatRounds(state, leadership, nowMs);
	if (nowMs - leadership.confirmedRoundStartMs > getQuorumTimeoutMs(state)) {
		becomeFollower(ctx, state.hardState.term, undefined);
		return;
	}
	if (leadership.transfer !== undefined && nowMs > leadership.transfer.untilMs) {
		leadership.transfer = undefined;
	}
	if (nowMs < leadership.nextHeartbeatMs) {
		return;
	}
	leadership.nextHeartbeatMs = nowMs + state.config.heartbeatIntervalMs;
	leadership.lastRound += 1;
	leadership.unconfirmedRounds.push({
		round: leadership.lastRound,
		startMs: nowMs,
		commitIndex: state.commitIndex,
	});
	for (const [processId, peer] of leadership.peers) {
		sendHeartbeat(ctx, processId, peer, leadership.lastRound);
		resendIfStalled(ctx, processId, peer);
	}
}

/** Sends each peer the entries that it lacks, and a heartbeat when it lacks a newer commit index. */
export function sendAppendsToAll(ctx: StepContext): void {
	const { leadership, commitIndex } = ctx.state;
	for (const [processId, peer] of leadership?.peers ?? []) {
		sendAppends(ctx, processId, peer);
		if (peer.sentCommitIndex < Math.min(commitIndex, peer.matchIndex)) {
			sendHeartbeat(ctx, processId, peer, 0);
		}
	}
}

/** Resumes replication over a new connection, because messages sent over the previous one may be lost. */
export function handleConnected(ctx: StepContext, to: string): void {
	const peer = ctx.state.leadership?.peers.get(to);
	if (peer === undefined) {
		return;
	}
	sendHeartbeat(ctx, to, peer, ctx.state.leadership?.lastRound ?? 0);
	restartProbing(peer, ctx.nowMs);
	sendAppends(ctx, to, peer);
}

/** Updates a peer's progress from its answer to an append, and commits what a quorum now holds. */
export function handleAppendAnswer(ctx: StepContext, from: string, message: AppendAnswer): void {
	const peer = resolveAnsweringPeer(ctx, from, message);
	if (peer === undefined) {
		return;
	}
	peer.lastActivityMs = ctx.nowMs;
	if (!message.isMatch) {
		if (message.prevIndex >= peer.matchIndex) {
			restartProbing(peer, ctx.nowMs);
			peer.nextIndex = Math.max(peer.matchIndex, Math.min(message.index, message.prevIndex - 1)) + 1;
			sendAppends(ctx, from, peer);
		}
		return;
	}
	peer.inflightAppends = Math.max(0, peer.inflightAppends - 1);
	peer.isProbing = false;
	peer.snapshotTransfer = undefined;
	peer.matchIndex = Math.max(peer.matchIndex, message.index);
	peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
	advanceCommitIndexByQuorum(ctx);
	stepDownIfRemoved(ctx);
	sendAppendsToAll(ctx);
}

/** Records a peer's confirmation of a heartbeat round. */
export function handleHeartbeatAnswer(ctx: StepContext, from: string, message: HeartbeatAnswer): void {
	const peer = resolveAnsweringPeer(ctx, from, message);
	const { leadership } = ctx.state;
	if (peer === undefined || leadership === undefined) {
		return;
	}
	peer.answeredRound = Math.max(peer.answeredRound, message.round);
	peer.lastHeartbeatAnswer = { sentMs: message.sentMs, receivedMs: ctx.nowMs };
	confirmHeartbeatRounds(ctx.state, leadership, ctx.nowMs);
	sendAppends(ctx, from, peer);
}

/** Steps down once the removal of this leader is committed; it leads until then. */
export function stepDownIfRemoved(ctx: StepContext): void {
	const { state } = ctx;
	const isCommitted = state.log.lastMembersIndex <= state.commitIndex;
	if (state.role === 'leader' && isCommitted && !isVoterWithThisDisk(state)) {
		becomeFollower(ctx, state.hardState.term, undefined);
	}
}

/**
 * Sends the entries that a peer lacks, up to the limit of unanswered appends, or a snapshot when the log no longer
 * holds the next entry.
 */
export function sendAppends(ctx: StepContext, to: string, peer: PeerProgress): void {
	const { state } = ctx;
	const maxInflight = peer.isProbing ? 1 : maxInflightAppends;
	while (peer.inflightAppends < maxInflight && peer.nextIndex <= state.log.lastIndex) {
		const prevIndex = peer.nextIndex - 1;
		const prevTerm = state.log.termAt(prevIndex);
		if (prevTerm === undefined || peer.snapshotTransfer !== undefined) {
			sendSnapshotChunk(ctx, to, peer);
			return;
		}
		const entries = state.log.slice(peer.nextIndex, state.log.lastIndex, state.config.maxAppendBytes);
		const { commitIndex } = state;
		ctx.send(to, peer.diskId, { kind: 'append', prevIndex, prevTerm, entries, commitIndex }, 'term');
		peer.nextIndex += entries.length;
		peer.inflightAppends += 1;
		peer.lastActivityMs = ctx.nowMs;
		peer.sentCommitIndex = Math.min(commitIndex, peer.nextIndex - 1);
	}
}

function resendIfStalled(ctx: StepContext, to: string, peer: PeerProgress): void {
	const { state, nowMs } = ctx;
	const isBehind = peer.matchIndex < state.log.lastIndex;
	if (isBehind && nowMs - peer.lastActivityMs > state.config.electionTimeoutMs) {
		restartProbing(peer, nowMs);
		sendAppends(ctx, to, peer);
	}
}

function sendHeartbeat(ctx: StepContext, to: string, peer: PeerProgress, round: number): void {
	const { state, nowMs } = ctx;
	const maxStateAgeMs = getMaxStateAgeMs(state, nowMs);
	const commitIndex = Math.min(state.commitIndex, peer.matchIndex);
	peer.sentCommitIndex = Math.max(peer.sentCommitIndex, commitIndex);
	ctx.send(
		to,
		peer.diskId,
		{
			kind: 'heartbeat',
			commitIndex,
			round,
			freshIndex: state.commitIndex,
			ageMs: Number.isFinite(maxStateAgeMs) ? maxStateAgeMs : undefined,
			echoMs: peer.lastHeartbeatAnswer?.sentMs,
			heldMs: peer.lastHeartbeatAnswer === undefined ? 0 : nowMs - peer.lastHeartbeatAnswer.receivedMs,
		},
		'term',
	);
}

function confirmHeartbeatRounds(state: ReplicaState, leadership: Leadership, nowMs: number): void {
	const confirmedRound = getQuorumValue(state, Infinity, (peer) => peer.answeredRound);
	if (confirmedRound === Infinity) {
		leadership.confirmedRoundStartMs = nowMs;
		leadership.confirmedRoundCommitIndex = state.commitIndex;
		leadership.unconfirmedRounds = [];
		return;
	}
	const lastConfirmed = leadership.unconfirmedRounds.findLast((each) => each.round <= confirmedRound);
	if (lastConfirmed === undefined) {
		return;
	}
	leadership.confirmedRoundStartMs = lastConfirmed.startMs;
	leadership.confirmedRoundCommitIndex = lastConfirmed.commitIndex;
	leadership.unconfirmedRounds = leadership.unconfirmedRounds.filter((each) => each.round > confirmedRound);
}

/** Returns whether this keeper leads and accepts proposals; it rejects them during a leadership transfer. */
export function acceptsProposals(state: ReplicaState): state is ReplicaState & { leadership: Leadership } {
	return state.leadership !== undefined && state.leadership.transfer === undefined;
}

/**
 * Returns whether a membership change may begin: only one at a time, and none before the leader has committed an entry
 * of its own term.
 */
export function acceptsMemberChange(state: ReplicaState, leadership: Leadership): boolean {
	return hasCommittedInOwnTerm(state, leadership) && state.log.lastMembersIndex <= state.commitIndex;
}
