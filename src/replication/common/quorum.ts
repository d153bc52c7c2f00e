/** Voters and quorums. */

import type { ReplicaMember } from './replicatedLog.js';
import type { PeerProgress, ReplicaState } from './replicaState.js';

/** Returns the members that count toward a quorum. */
export function filterVoters(members: readonly ReplicaMember[]): readonly ReplicaMember[] {
	return members.filter((member) => member.isVoter);
}

/** Returns the smallest number of voters that is a majority. */
export function getQuorumSize(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/** Returns whether this keeper is listed as a voter with its present disk id; its processId alone is not enough. */
export function isVoterWithThisDisk(state: ReplicaState): boolean {
	return filterVoters(state.log.members).some(
		(member) => member.processId === state.config.processId && member.diskId === state.hardState.diskId,
	);
}

/** Returns whether a set of processIds contains a quorum of the members in force. */
export function isQuorum(state: ReplicaState, processIds: ReadonlySet<string>): boolean {
	const voters = filterVoters(state.log.members);
	const count = voters.filter((voter) => processIds.has(voter.processId)).length;
	return count >= getQuorumSize(voters.length);
}

/**
 * Returns the highest value that a quorum of voters has reached.
 *
 * @param ownValue value of this keeper; counts only if it is listed as a voter with its present disk id
 * @param readValue returns the value from another voter's progress
 * @example
 * const index = getQuorumValue(state, state.durableIndex, (peer) => peer.matchIndex);
 */
export function getQuorumValue(
	state: ReplicaState,
	ownValue: number,
	readValue: (peer: PeerProgress) => number,
): number {
	const { config, hardState, leadership, log } = state;
	const values = filterVoters(log.members).map((voter) => {
		if (voter.processId === config.processId) {
			return voter.diskId === hardState.diskId ? ownValue : 0;
		}
		const peer = leadership?.peers.get(voter.processId);
		return peer?.diskId === voter.diskId ? readValue(peer) : 0;
	});
	values.sort((left, right) => right - left);
	return values[getQuorumSize(values.length) - 1] ?? 0;
}

/** Returns whether this keeper and the peers that are not silent form a quorum of the given members. */
export function hasLiveQuorum(
	state: ReplicaState,
	members: readonly ReplicaMember[],
	nowMs: number,
): boolean {
	const voters = filterVoters(members);
	const liveVoters = voters.filter((voter) => {
		if (voter.processId === state.config.processId) {
			return true;
		}
		const peer = state.leadership?.peers.get(voter.processId);
		return peer?.diskId === voter.diskId && !isPeerSilent(state, peer, nowMs);
	});
	return liveVoters.length >= getQuorumSize(voters.length);
}

/** Returns whether a peer has not answered for longer than the quorum timeout, so its keeper or disk may be lost. */
export function isPeerSilent(state: ReplicaState, peer: PeerProgress, nowMs: number): boolean {
	return nowMs - peer.lastAnswerMs > getQuorumTimeoutMs(state);
}

/**
 * Returns the time in ms without a confirmed heartbeat round after which a leader steps down. It is twice the election
 * timeout, because by then the other voters may have elected the next leader.
 */
export function getQuorumTimeoutMs(state: ReplicaState): number {
	return 2 * state.config.electionTimeoutMs;
}
