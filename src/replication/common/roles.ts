/** Changes of a keeper's Raft role that several modules cause. */

import { retainLeaderFreshness } from './freshness.js';
import { drawElectionTimeoutMs, type ReplicaState } from './replicaState.js';
import type { StepContext } from './stepContext.js';

/** Becomes a follower, and adopts the term if it is newer than the current one. */
export function becomeFollower(ctx: StepContext, term: number, leaderId: string | undefined): void {
	const { state, nowMs } = ctx;
	if (term > state.hardState.term) {
		ctx.setHardState({ term, votedFor: undefined });
	}
	if (state.role === 'leader') {
		retainLeaderFreshness(state, nowMs);
		state.leadership = undefined;
	}
	if (state.role !== 'follower') {
		resetElectionDeadline(state, nowMs);
	}
	state.role = 'follower';
	state.leaderId = leaderId;
}

/** Records contact with the current term's leader, and follows it. */
export function recordLeaderContact(ctx: StepContext, leaderId: string): void {
	const { state, nowMs } = ctx;
	if (state.role !== 'follower' || state.leaderId !== leaderId) {
		becomeFollower(ctx, state.hardState.term, leaderId);
	}
	state.lastLeaderContactMs = nowMs;
	state.failedElections = 0;
	resetElectionDeadline(state, nowMs);
}

/** Restarts the election timeout with a newly drawn duration. */
export function resetElectionDeadline(state: ReplicaState, nowMs: number): void {
	state.electionDeadlineMs =
		nowMs + drawElectionTimeoutMs(state.config, state.lastLeaderContactMs > -Infinity, state.failedElections);
}
