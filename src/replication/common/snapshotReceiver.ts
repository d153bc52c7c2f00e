/** Receiving of a snapshot that the leader sends in chunks. */

import type { Snapshot } from './logEntry.js';
import type { SnapshotChunkMessage } from './replicaMessages.js';
import type { IncomingSnapshot, ReplicaState } from './replicaState.js';
import type { StepContext } from './stepContext.js';

/** Stores a chunk, and installs the snapshot when the last one has arrived. */
export function handleSnapshotChunk(ctx: StepContext, from: string, message: SnapshotChunkMessage): void {
	const { state } = ctx;
	const { snapshotIndex, fromDiskId } = message;
	if (snapshotIndex <= state.commitIndex) {
		state.incomingSnapshot = undefined;
		sendMatchAnswer(ctx, from, fromDiskId, state.commitIndex);
		return;
	}
	const incoming = storeChunk(state, message);
	if (incoming.receivedBytes < message.totalBytes) {
		const answer = { kind: 'snapshotChunkAnswer' as const, snapshotIndex };
		ctx.send(from, fromDiskId, { ...answer, receivedBytes: incoming.receivedBytes }, 'term');
		return;
	}
	state.incomingSnapshot = undefined;
	const snapshot: Snapshot = {
		index: snapshotIndex,
		term: message.snapshotTerm,
		members: message.members,
		data: incoming.bytes,
	};
	ctx.installSnapshot(snapshot, state.log.termAt(snapshotIndex) === message.snapshotTerm);
	sendMatchAnswer(ctx, from, fromDiskId, snapshotIndex);
}

function storeChunk(state: ReplicaState, message: SnapshotChunkMessage): IncomingSnapshot {
	const { snapshotIndex, snapshotTerm, totalBytes } = message;
	if (state.incomingSnapshot?.index !== snapshotIndex || state.incomingSnapshot.term !== snapshotTerm) {
		state.incomingSnapshot = {
			index: snapshotIndex,
			term: snapshotTerm,
			bytes: new Uint8Array(totalBytes),
			receivedBytes: 0,
		};
	}
	const { incomingSnapshot } = state;
	if (message.offsetBytes === incomingSnapshot.receivedBytes) {
		incomingSnapshot.bytes.set(message.bytes, message.offsetBytes);
		incomingSnapshot.receivedBytes += message.bytes.length;
	}
	return incomingSnapshot;
}

function sendMatchAnswer(ctx: StepContext, to: string, toDiskId: string, index: number): void {
	const answer = { kind: 'appendAnswer' as const, isMatch: true, prevIndex: index, index };
	ctx.send(to, toDiskId, answer, 'entries');
}
