/** What a core tells about itself. */

import { match } from 'ts-pattern';
import { describeFormation } from './formation.js';
import { isOwnDiskVoter, leaderPatienceMs, quorumSize, votersOf } from './quorum.js';
import type { ReplicaRole, ReplicaStatus } from './replicatedLog.js';
import type { ReplicaState } from './replicaState.js';

/** The status that users of the log see. */
export function statusOf(state: ReplicaState): ReplicaStatus {
	return {
		role: roleOf(state),
		term: state.hard.term,
		leaderId: state.leaderId,
		commitIndex: state.commitIndex,
		appliedIndex: state.commitIndex,
		members: state.log.members,
	};
}

/** Why the group takes no commands as far as this keeper can tell, and what to do. */
export function describeNoLeader(state: ReplicaState, nowMs: number): string {
	if (state.hard.groupId === undefined) {
		return describeFormation(state, nowMs);
	}
	const voters = votersOf(state.log.members);
	const silent = voters
		.map((voter) => voter.processId)
		.filter((processId) => processId !== state.config.processId && !isHeard(state, processId, nowMs));
	const needed = quorumSize(voters.length);
	if (voters.length - silent.length >= needed) {
		return 'The group has no leader at the moment; try again in a second.';
	}
	return (
		`This keeper hears only ${voters.length - silent.length} of ${voters.length} voters, itself included, and ` +
		`${needed} are needed: nothing can be accepted without losing what the others may hold. ` +
		`Start ${silent.join(', ')}, or see "A lone survivor" in docs/REPLICATION.md.`
	);
}

function isHeard(state: ReplicaState, processId: string, nowMs: number): boolean {
	return nowMs - (state.lastHeardMs.get(processId) ?? -Infinity) <= 2 * leaderPatienceMs(state);
}

function roleOf(state: ReplicaState): ReplicaRole {
	if (!isOwnDiskVoter(state)) {
		return 'learner';
	}
	return match(state.role)
		.returnType<ReplicaRole>()
		.with('leader', () => 'leader')
		.with('follower', () => 'follower')
		.with('preCandidate', 'candidate', () => 'candidate')
		.exhaustive();
}
