/** Sending of a snapshot in chunks to a peer whose next entry the log no longer holds. */

import type { SnapshotChunkAnswer } from './replicaMessages.js';
import type { PeerProgress } from './replicaState.js';
import type { StepContext } from './stepContext.js';
import { resolveAnsweringPeer } from './peerProgress.js';

/** Sends the next chunk, one at a time. A transfer that has begun is finished, even if a newer snapshot exists. */
export function sendSnapshotChunk(ctx: StepContext, to: string, peer: PeerProgress): void {
	const { state, nowMs } = ctx;
	const snapshot = peer.snapshotTransfer?.snapshot ?? state.log.snapshot;
	if (snapshot === undefined) {
		return;
	}
	peer.snapshotTransfer ??= { snapshot, offsetBytes: 0 };
	peer.isProbing = true;
	peer.inflightAppends = 1;
	peer.lastActivityMs = nowMs;
	const { offsetBytes } = peer.snapshotTransfer;
	ctx.send(
		to,
		peer.diskId,
		{
			kind: 'snapshotChunk',
			snapshotIndex: snapshot.index,
			snapshotTerm: snapshot.term,
			members: snapshot.members,
			offsetBytes,
			totalBytes: snapshot.data.length,
			bytes: snapshot.data.subarray(offsetBytes, offsetBytes + state.config.maxSnapshotChunkBytes),
		},
		'term',
	);
}

/** Continues the transfer from the number of bytes that the peer has received; ignores a repeated answer. */
export function handleSnapshotChunkAnswer(
	ctx: StepContext,
	from: string,
	message: SnapshotChunkAnswer,
): void {
	const peer = resolveAnsweringPeer(ctx, from, message);
	if (peer?.snapshotTransfer?.snapshot.index !== message.snapshotIndex) {
		return;
	}
	if (message.receivedBytes === peer.snapshotTransfer.offsetBytes && message.receivedBytes > 0) {
		return;
	}
	peer.snapshotTransfer.offsetBytes = message.receivedBytes;
	sendSnapshotChunk(ctx, from, peer);
}
