/** Handling of the leader's messages by a follower or learner. */

import { advanceCommitIndex } from './commitIndex.js';
import { recordHeartbeatFreshness } from './freshness.js';
import type { LogEntry } from './logEntry.js';
import type { AppendMessage, HeartbeatMessage, StandNowMessage } from './replicaMessages.js';
import type { ReplicaState } from './replicaState.js';
import { isVoterWithThisDisk } from './quorum.js';
import { startElection } from './elections.js';
import type { StepContext } from './stepContext.js';

/** Appends entries from the leader, or rejects them when the log does not match at the preceding index. */
export function handleAppend(ctx: StepContext, from: string, message: AppendMessage): void {
	const { state } = ctx;
	const { prevIndex } = message;
	const entries = message.entries.filter((entry) => entry.index > state.log.baseIndex);
	const isMatching = prevIndex < state.log.baseIndex || state.log.termAt(prevIndex) === message.prevTerm;
	if (!isMatching) {
		const answer = { kind: 'appendAnswer' as const, isMatch: false, prevIndex };
		ctx.send(from, message.fromDiskId, { ...answer, index: findRetryIndex(state, prevIndex) }, 'entries');
		return;
	}
	appendMissingEntries(ctx, entries);
	const matchIndex = Math.max(prevIndex + message.entries.length, state.log.baseIndex);
	advanceCommitIndex(ctx, Math.min(message.commitIndex, matchIndex));
	ctx.send(
		from,
		message.fromDiskId,
		{ kind: 'appendAnswer', isMatch: true, prevIndex, index: matchIndex },
		'entries',
	);
}

/** Adopts the commit index and freshness of a heartbeat, and confirms its round. */
export function handleHeartbeat(ctx: StepContext, from: string, message: HeartbeatMessage): void {
	const { state, nowMs } = ctx;
	advanceCommitIndex(ctx, Math.min(message.commitIndex, state.log.lastIndex));
	recordHeartbeatFreshness(state, message, nowMs);
	if (message.round > 0) {
		const answer = { kind: 'heartbeatAnswer' as const, round: message.round, sentMs: nowMs };
		ctx.send(from, message.fromDiskId, answer, 'term');
	}
}

/** Starts an election at once, because the leader is handing over its leadership. */
export function handleStandNow(ctx: StepContext, message: StandNowMessage): void {
	const { state } = ctx;
	if (message.term === state.hardState.term && isVoterWithThisDisk(state)) {
		startElection(ctx, true);
	}
}

/** Appends the entries that the log lacks, after removing its own entries from the first conflict on. */
function appendMissingEntries(ctx: StepContext, entries: readonly LogEntry[]): void {
	const { log } = ctx.state;
	const firstNewPosition = entries.findIndex((entry) => log.termAt(entry.index) !== entry.term);
	const first = entries[firstNewPosition];
	if (first === undefined) {
		return;
	}
	if (first.index <= log.lastIndex) {
		ctx.truncateAfter(first.index - 1);
	}
	ctx.append(entries.slice(firstNewPosition));
}

/** Returns the last index that may match the leader: the one before all entries of the conflicting term. */
function findRetryIndex(state: ReplicaState, prevIndex: number): number {
	const { log, commitIndex } = state;
	if (prevIndex > log.lastIndex) {
		return log.lastIndex;
	}
	const conflictingTerm = log.termAt(prevIndex);
	let index = prevIndex - 1;
	while (index > commitIndex && log.termAt(index) === conflictingTerm) {
		index -= 1;
	}
	return index;
}
