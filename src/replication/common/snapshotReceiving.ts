/** Gathers a snapshot that the leader sends in parts. */

import type { Snapshot } from './logEntry.js';
import type { SnapshotChunkMessage } from './replicaMessages.js';
import type { IncomingSnapshot, ReplicaState } from './replicaState.js';
import type { StepContext } from './stepContext.js';

/** Takes one part; the last one replaces the state. */
export function handleSnapshotChunk(ctx: StepContext, from: string, message: SnapshotChunkMessage): void {
	const { state } = ctx;
	const { snapshotIndex, fromDiskId } = message;
	if (snapshotIndex <= state.commitIndex) {
		state.incoming = undefined;
		confirmMatch(ctx, from, fromDiskId, state.commitIndex);
		return;
	}
	const incoming = takeChunk(state, message);
	if (incoming.receivedBytes < message.totalBytes) {
		const answer = { kind: 'snapshotChunkAnswer' as const, snapshotIndex };
		ctx.send(from, fromDiskId, { ...answer, receivedBytes: incoming.receivedBytes }, 'term');
		return;
	}
	state.incoming = undefined;
	const snapshot: Snapshot = {
		index: snapshotIndex,
		term: message.snapshotTerm,
		members: message.members,
		data: incoming.bytes,
	};
	ctx.installSnapshot(snapshot, state.log.termAt(snapshotIndex) === message.snapshotTerm);
	confirmMatch(ctx, from, fromDiskId, snapshotIndex);
}

function takeChunk(state: ReplicaState, message: SnapshotChunkMessage): IncomingSnapshot {
	const { snapshotIndex, snapshotTerm, totalBytes } = message;
	if (state.incoming?.index !== snapshotIndex || state.incoming.term !== snapshotTerm) {
		state.incoming = {
			index: snapshotIndex,
			term: snapshotTerm,
			bytes: new Uint8Array(totalBytes),
			receivedBytes: 0,
		};
	}
	const { incoming } = state;
	if (message.offsetBytes === incoming.receivedBytes) {
		incoming.bytes.set(message.bytes, message.offsetBytes);
		incoming.receivedBytes += message.bytes.length;
	}
	return incoming;
}

function confirmMatch(ctx: StepContext, to: string, toDiskId: string, index: number): void {
	const answer = { kind: 'appendAnswer' as const, isMatch: true, prevIndex: index, index };
	ctx.send(to, toDiskId, answer, 'entries');
}
