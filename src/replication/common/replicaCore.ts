/** The deterministic Raft core of a keeper: maps its state, an input and a time to outputs, without I/O. */

import { match } from 'ts-pattern';
import { advanceCommitIndexByQuorum } from './commitIndex.js';
import {
	handlePreVote,
	handlePreVoteAnswer,
	handleVote,
	handleVoteAnswer,
	tickElection,
} from './elections.js';
import { handleAppend, handleHeartbeat, handleStandNow } from './follower.js';
import { handleProbe, handleProbeAnswer, tickFormation } from './groupFormation.js';
import { askToLeave, handleLeaveAnswer, handleLeaveRequest } from './leaving.js';
import {
	handleAppendAnswer,
	handleConnected,
	handleHeartbeatAnswer,
	sendAppendsToAll,
	stepDownIfRemoved,
	acceptsProposals,
	tickLeader,
} from './leader.js';
import type { LogEntry, Snapshot } from './logEntry.js';
import { proposeMemberChange, handleJoinRequest, promoteRejoinedLearner } from './memberChanges.js';
import { filterVoters } from './quorum.js';
import type { GroupMessage, ReplicaMessage } from './replicaMessages.js';
import { otherMembers, type ReplicaInput, type ReplicaOutput, type ReplicaState } from './replicaState.js';
import { becomeFollower, recordLeaderContact } from './roles.js';
import { handleSnapshotChunk } from './snapshotReceiver.js';
import { handleSnapshotChunkAnswer } from './snapshotSender.js';
import { handleWritten, StepContext } from './stepContext.js';

/** Kinds of messages from which a keeper with an empty disk may adopt its group. */
const groupAdoptingKinds: ReadonlySet<string> = new Set([
	'preVote',
	'vote',
	'append',
	'heartbeat',
	'snapshotChunk',
]);

/**
 * Handles one input. Changes the state in place and returns the outputs, to be performed in order.
 *
 * @param nowMs time of the keeper's monotonic clock
 * @example
 * for (const output of step(state, { kind: 'tick' }, clock.nowMs())) { perform(output); }
 */
export function step(state: ReplicaState, input: ReplicaInput, nowMs: number): ReplicaOutput[] {
	const ctx = new StepContext(state, nowMs);
	match(input)
		.with({ kind: 'tick' }, () => {
			runTimers(ctx);
		})
		.with({ kind: 'receive' }, ({ from, message }) => {
			receiveMessage(ctx, from, message);
		})
		.with({ kind: 'connected' }, ({ to }) => {
			handleConnected(ctx, to);
		})
		.with({ kind: 'propose' }, ({ commands }) => {
			appendCommands(ctx, commands);
		})
		.with({ kind: 'changeMember' }, ({ change }) => {
			proposeMemberChange(ctx, change);
		})
		.with({ kind: 'transfer' }, () => {
			transferLeadership(ctx);
		})
		.with({ kind: 'leave' }, () => {
			askToLeave(ctx);
		})
		.with({ kind: 'written' }, ({ sequence }) => {
			handleWritten(ctx, sequence);
			advanceCommitIndexByQuorum(ctx);
			stepDownIfRemoved(ctx);
			sendAppendsToAll(ctx);
		})
		.with({ kind: 'snapshotStored' }, ({ snapshot }) => {
			compactLog(ctx, snapshot);
		})
		.exhaustive();
	return ctx.finish();
}

function runTimers(ctx: StepContext): void {
	tickFormation(ctx);
	tickElection(ctx);
	tickLeader(ctx);
	promoteRejoinedLearner(ctx);
}

function receiveMessage(ctx: StepContext, from: string, message: ReplicaMessage): void {
	ctx.state.lastHeardMs.set(from, ctx.nowMs);
	switch (message.kind) {
		case 'probe':
			handleProbe(ctx, from);
			return;
		case 'probeAnswer':
			handleProbeAnswer(ctx, from, message);
			return;
		case 'join':
			handleJoinRequest(ctx, message);
			return;
		case 'leave':
			handleLeaveRequest(ctx, from, message);
			return;
		case 'leaveAnswer':
			handleLeaveAnswer(ctx, message);
			return;
		default:
			receiveGroupMessage(ctx, from, message);
	}
}

function receiveGroupMessage(ctx: StepContext, from: string, message: GroupMessage): void {
	if (!checkGroupAndDisk(ctx, message)) {
		return;
	}
	match(message)
		.with({ kind: 'preVote' }, (preVote) => {
			handlePreVote(ctx, from, preVote);
		})
		.with({ kind: 'preVoteAnswer' }, (answer) => {
			handlePreVoteAnswer(ctx, from, answer);
		})
		.with({ kind: 'vote' }, (vote) => {
			handleVote(ctx, from, vote);
		})
		.with({ kind: 'voteAnswer' }, (answer) => {
			handleVoteAnswer(ctx, from, answer);
		})
		.with({ kind: 'appendAnswer' }, (answer) => {
			handleAppendAnswer(ctx, from, answer);
		})
		.with({ kind: 'heartbeatAnswer' }, (answer) => {
			handleHeartbeatAnswer(ctx, from, answer);
		})
		.with({ kind: 'snapshotChunkAnswer' }, (answer) => {
			handleSnapshotChunkAnswer(ctx, from, answer);
		})
		.with({ kind: 'standNow' }, (request) => {
			handleStandNow(ctx, request);
		})
		.with({ kind: 'append' }, { kind: 'heartbeat' }, { kind: 'snapshotChunk' }, (fromLeader) => {
			receiveFromLeader(ctx, from, fromLeader);
		})
		.exhaustive();
}

function receiveFromLeader(
	ctx: StepContext,
	from: string,
	message: Extract<GroupMessage, { kind: 'append' | 'heartbeat' | 'snapshotChunk' }>,
): void {
	const { hardState } = ctx.state;
	if (message.term < hardState.term) {
		// The newer term in the answer makes the stale leader step down.
		const answer = { kind: 'heartbeatAnswer' as const, round: 0, sentMs: ctx.nowMs };
		ctx.send(from, message.fromDiskId, answer, 'term');
		return;
	}
	if (message.term > hardState.term) {
		becomeFollower(ctx, message.term, from);
	}
	recordLeaderContact(ctx, from);
	match(message)
		.with({ kind: 'append' }, (append) => {
			handleAppend(ctx, from, append);
		})
		.with({ kind: 'heartbeat' }, (heartbeat) => {
			handleHeartbeat(ctx, from, heartbeat);
		})
		.with({ kind: 'snapshotChunk' }, (chunk) => {
			handleSnapshotChunk(ctx, from, chunk);
		})
		.exhaustive();
}

/**
 * Returns whether a message is addressed to this keeper's group and disk. A keeper without a group adopts the group of
 * the first message of one of the {@link groupAdoptingKinds}.
 */
function checkGroupAndDisk(ctx: StepContext, message: GroupMessage): boolean {
	const { hardState } = ctx.state;
	if (message.toDiskId !== hardState.diskId) {
		return false;
	}
	if (hardState.groupId === undefined && groupAdoptingKinds.has(message.kind)) {
		ctx.setHardState({ groupId: message.groupId });
		return true;
	}
	return message.groupId === hardState.groupId;
}

function appendCommands(ctx: StepContext, commands: readonly Uint8Array[]): void {
	const { state } = ctx;
	if (!acceptsProposals(state)) {
		ctx.outputs.push({ kind: 'refused', reason: 'This keeper does not lead the group.' });
		return;
	}
	const firstIndex = state.log.lastIndex + 1;
	const { term } = state.hardState;
	const entries: LogEntry[] = commands.map((command, position) => ({
		kind: 'command',
		index: firstIndex + position,
		term,
		command,
	}));
	ctx.append(entries);
	ctx.outputs.push({ kind: 'appended', firstIndex, term });
	sendAppendsToAll(ctx);
}

/**
 * Asks the voter with the highest match index to start an election. Proposals are rejected until that voter leads or
 * one election timeout has passed.
 */
function transferLeadership(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	if (!acceptsProposals(state)) {
		return;
	}
	const { leadership } = state;
	const candidates = filterVoters(otherMembers(state))
		.flatMap((voter) => {
			const peer = leadership.peers.get(voter.processId);
			return peer === undefined ? [] : [{ processId: voter.processId, peer }];
		})
		.sort((left, right) => right.peer.matchIndex - left.peer.matchIndex);
	const [target] = candidates;
	if (target === undefined) {
		return;
	}
	leadership.transfer = { targetId: target.processId, untilMs: nowMs + state.config.electionTimeoutMs };
	ctx.send(target.processId, target.peer.diskId, { kind: 'standNow' }, 'term');
}

/**
 * Removes the entries that a stored snapshot covers, except for the trailing ones, which save a follower that is
 * slightly behind from needing the snapshot.
 */
function compactLog(ctx: StepContext, snapshot: Snapshot): void {
	const { state } = ctx;
	if (snapshot.index <= (state.log.snapshot?.index ?? 0) || snapshot.index > state.commitIndex) {
		return;
	}
	const keepAfterIndex = Math.max(state.log.baseIndex, snapshot.index - state.config.trailingEntries);
	state.log.compact(snapshot, keepAfterIndex);
	ctx.dropBefore(keepAfterIndex + 1);
}
