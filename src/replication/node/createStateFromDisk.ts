/** Creates the core's state when a keeper starts. */

import { randomUUID } from 'node:crypto';
import { createReplicaState, type ReplicaState } from '../common/replicaState.js';
import type { ReplicatedLogOptions } from './replicatedLogOptions.js';
import type { StoredReplica } from './replicaStorage.js';

/** Largest size of the entries in one append message, in bytes. */
const maxAppendBytes = 512 * 1024;

/** Size of the part of a snapshot that one message carries, in bytes. */
const snapshotChunkBytes = 512 * 1024;

/**
 * Number of entries kept in the log before a snapshot, so that a restarted keeper catches up from entries instead of the
 * snapshot.
 */
const defaultTrailingEntries = 10_000;

/** Creates the core's state from the stored hard state, snapshot and log entries. */
export function createStateFromDisk(options: ReplicatedLogOptions, stored: StoredReplica): ReplicaState {
	const { hardState, snapshot, entries } = stored;
	return createReplicaState({
		config: {
			processId: options.processId,
			address: options.address,
			initialMembers: options.initialMembers,
			electionTimeoutMs: options.electionTimeoutMs,
			heartbeatIntervalMs: options.heartbeatIntervalMs,
			maxAppendBytes,
			maxSnapshotChunkBytes: snapshotChunkBytes,
			trailingEntries: options.trailingEntries ?? defaultTrailingEntries,
			mayFormGroup: options.mayForm ?? true,
			random: options.random,
			createGroupId: randomUUID,
		},
		hardState,
		snapshot,
		entries,
		nowMs: options.clock.nowMs(),
	});
}
