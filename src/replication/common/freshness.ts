/**
 * Upper bound of the age of the applied state, without synchronized clocks.
 *
 * A heartbeat round that a quorum confirms proves that no other leader had acknowledged anything before the round
 * started. A follower bounds the transit time of a heartbeat by the time since it sent its last answer, less the time
 * for which the leader held that answer; each of the two is a difference within one clock.
 */

import type { HeartbeatMessage } from './replicaMessages.js';
import type { Leadership, ReplicaState } from './replicaState.js';

/**
 * Maximum number of freshness bounds that wait for their entries to be applied. Further bounds are dropped, so the
 * reported age of the state keeps growing.
 */
const maxPendingBounds = 64;

/** Returns the upper bound of the age of the applied state in ms; `Infinity` without a confirmed round. */
export function getMaxStateAgeMs(state: ReplicaState, nowMs: number): number {
	return nowMs - Math.max(state.freshness.freshAsOfMs, getLeaderFreshAsOfMs(state, nowMs));
}

/** Returns whether a leader has committed an entry of its own term, and so holds everything acknowledged before it. */
export function hasCommittedInOwnTerm(state: ReplicaState, leadership: Leadership): boolean {
	return state.commitIndex >= leadership.termStartIndex;
}

/** Keeps the freshness bound of a leader that steps down, because it still holds for the applied state. */
export function retainLeaderFreshness(state: ReplicaState, nowMs: number): void {
	const { freshness } = state;
	freshness.freshAsOfMs = Math.max(freshness.freshAsOfMs, getLeaderFreshAsOfMs(state, nowMs));
}

/** Records the freshness bound of a heartbeat that has just arrived. */
export function recordHeartbeatFreshness(
	state: ReplicaState,
	heartbeat: HeartbeatMessage,
	nowMs: number,
): void {
	const { echoMs, heldMs, freshIndex } = heartbeat;
	if (heartbeat.ageMs === undefined || echoMs === undefined) {
		return;
	}
	const maxTransitMs = Math.max(0, nowMs - echoMs - heldMs);
	const { pendingBounds } = state.freshness;
	if (pendingBounds.length < maxPendingBounds) {
		pendingBounds.push({ index: freshIndex, freshAsOfMs: nowMs - maxTransitMs - heartbeat.ageMs });
	}
	applyPendingBounds(state);
}

/** Adopts the pending bounds whose entries are now applied. */
export function applyPendingBounds(state: ReplicaState): void {
	const { freshness, commitIndex } = state;
	for (const bound of freshness.pendingBounds) {
		if (bound.index <= commitIndex) {
			freshness.freshAsOfMs = Math.max(freshness.freshAsOfMs, bound.freshAsOfMs);
		}
	}
	freshness.pendingBounds = freshness.pendingBounds.filter((bound) => bound.index > commitIndex);
}

function getLeaderFreshAsOfMs(state: ReplicaState, nowMs: number): number {
	const { leadership } = state;
	if (leadership === undefined || !hasCommittedInOwnTerm(state, leadership)) {
		return -Infinity;
	}
	return leadership.peers.size === 0 ? nowMs : leadership.confirmedRoundStartMs;
}
