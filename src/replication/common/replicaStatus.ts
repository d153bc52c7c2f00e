/** Status and diagnostics of a keeper's core. */

import { match } from 'ts-pattern';
import { explainMissingGroup } from './groupFormation.js';
import { isVoterWithThisDisk, getQuorumTimeoutMs, getQuorumSize, filterVoters } from './quorum.js';
import type { ReplicaRole, ReplicaStatus } from './replicatedLog.js';
import type { ReplicaState } from './replicaState.js';

/** Returns the status that users of the log see. */
export function getReplicaStatus(state: ReplicaState): ReplicaStatus {
	return {
		role: getReplicaRole(state),
		term: state.hardState.term,
		leaderId: state.leaderId,
		commitIndex: state.commitIndex,
		appliedIndex: state.commitIndex,
		members: state.log.members,
	};
}

/** Explains why the group accepts no commands, as far as this keeper knows, and what the operator can do. */
export function explainMissingLeader(state: ReplicaState, nowMs: number): string {
	if (state.hardState.groupId === undefined) {
		return explainMissingGroup(state, nowMs);
	}
	const voters = filterVoters(state.log.members);
	const silentVoterIds = voters
		.map((voter) => voter.processId)
		.filter((processId) => processId !== state.config.processId && !isHeardRecently(state, processId, nowMs));
	const requiredVoters = getQuorumSize(voters.length);
	if (voters.length - silentVoterIds.length >= requiredVoters) {
		return 'The group has no leader at the moment; try again in a second.';
	}
	return (
		`This keeper hears only ${voters.length - silentVoterIds.length} of ${voters.length} voters, itself included, and ` +
		`${requiredVoters} are needed: accepting commands now could lose entries that the others hold. ` +
		`Start ${silentVoterIds.join(', ')}, or see "A lone survivor" in docs/REPLICATION.md.`
	);
}

function isHeardRecently(state: ReplicaState, processId: string, nowMs: number): boolean {
	return nowMs - (state.lastHeardMs.get(processId) ?? -Infinity) <= 2 * getQuorumTimeoutMs(state);
}

function getReplicaRole(state: ReplicaState): ReplicaRole {
	if (!isVoterWithThisDisk(state)) {
		return 'learner';
	}
	return match(state.role)
		.returnType<ReplicaRole>()
		.with('leader', () => 'leader')
		.with('follower', () => 'follower')
		.with('preCandidate', 'candidate', () => 'candidate')
		.exhaustive();
}
