/** Advancement of the commit index. */

import { applyPendingBounds } from './freshness.js';
import { getQuorumValue } from './quorum.js';
import type { StepContext } from './stepContext.js';

/** Advances the commit index and outputs the newly committed entries for applying. */
export function advanceCommitIndex(ctx: StepContext, index: number): void {
	const { state } = ctx;
	if (index <= state.commitIndex) {
		return;
	}
	const entries = state.log.slice(state.commitIndex + 1, index);
	state.commitIndex = index;
	ctx.outputs.push({ kind: 'apply', entries });
	applyPendingBounds(state);
}

/**
 * Commits, on the leader, the entries that are durable on a quorum. Only an entry of the leader's own term is committed
 * by counting replicas, and earlier entries with it: a later leader may still replace an older entry that a quorum
 * holds.
 */
export function advanceCommitIndexByQuorum(ctx: StepContext): void {
	const { state } = ctx;
	if (state.role !== 'leader') {
		return;
	}
	const index = getQuorumValue(state, state.durableIndex, (peer) => peer.matchIndex);
	if (state.log.termAt(index) === state.hardState.term) {
		advanceCommitIndex(ctx, index);
	}
}
