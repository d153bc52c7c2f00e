/** The leader's replication progress of the other members. */

import type { ReplicaMember } from './replicatedLog.js';
import { otherMembers, type PeerProgress, type ReplicaState } from './replicaState.js';
import { becomeFollower } from './roles.js';
import type { StepContext } from './stepContext.js';

/** Adds the progress of new members, and removes that of former members and of replaced disks. */
export function syncPeersWithMembers(ctx: StepContext): void {
	const { state, nowMs } = ctx;
	if (state.leadership === undefined) {
		return;
	}
	const { peers } = state.leadership;
	const members = otherMembers(state);
	for (const [processId, peer] of peers) {
		if (!members.some((member) => member.processId === processId && member.diskId === peer.diskId)) {
			peers.delete(processId);
		}
	}
	for (const member of members) {
		if (!peers.has(member.processId)) {
			peers.set(member.processId, createPeerProgress(state, member, nowMs));
		}
	}
}

/**
 * Returns the peer that sent an answer in the current term, and records the time of the answer. Returns `undefined` for
 * any other sender, disk or term; a newer term makes this keeper a follower.
 */
export function resolveAnsweringPeer(
	ctx: StepContext,
	from: string,
	message: { readonly term: number; readonly fromDiskId: string },
): PeerProgress | undefined {
	const { state, nowMs } = ctx;
	if (message.term > state.hardState.term) {
		becomeFollower(ctx, message.term, undefined);
		return undefined;
	}
	const peer = state.leadership?.peers.get(from);
	if (message.term !== state.hardState.term || peer?.diskId !== message.fromDiskId) {
		return undefined;
	}
	peer.lastAnswerMs = nowMs;
	return peer;
}

function createPeerProgress(state: ReplicaState, member: ReplicaMember, nowMs: number): PeerProgress {
	return {
		diskId: member.diskId,
		matchIndex: 0,
		nextIndex: Math.max(1, state.log.lastIndex),
		isProbing: true,
		inflightAppends: 0,
		sentCommitIndex: 0,
		lastAnswerMs: nowMs,
		lastActivityMs: nowMs,
		answeredRound: 0,
		lastHeartbeatAnswer: undefined,
		snapshotTransfer: undefined,
	};
}

/** Restarts the search for the last index at which both logs match. */
export function restartProbing(peer: PeerProgress, nowMs: number): void {
	peer.isProbing = true;
	peer.inflightAppends = 0;
	peer.nextIndex = peer.matchIndex + 1;
	peer.lastActivityMs = nowMs;
}
