/** Takes snapshots of the state machine as the log grows, and stores them concurrently with log writes. */

import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/disposable.js';
import { getEntrySizeBytes, type LogEntry, type Snapshot } from '../common/logEntry.js';
import type { ReplicatedStateMachine } from '../common/replicatedLog.js';
import type { ReplicaState } from '../common/replicaState.js';
import type { ReplicaStorage } from './replicaStorage.js';

/** Default size of the entries applied since the last snapshot, in bytes, at which the next one is taken. */
export const defaultSnapshotAfterBytes = 16 * 1024 * 1024;

/** Takes and stores snapshots, one at a time. */
export class SnapshotTaker extends Disposable {
	private readonly _onDidStore = this._register(new Emitter<Snapshot>());
	/** Fires when a snapshot is durable. */
	readonly onDidStore = this._onDidStore.event;

	private readonly _onDidFail = this._register(new Emitter<string>());
	/** Fires with the reason when a snapshot can't be stored. */
	readonly onDidFail = this._onDidFail.event;

	private _bytesSinceSnapshot = 0;
	private _storing: Promise<void> | undefined;

	constructor(
		private readonly _storage: ReplicaStorage,
		private readonly _stateMachine: ReplicatedStateMachine,
		private readonly _snapshotAfterBytes: number,
	) {
		super();
	}

	/** Adds the size of applied entries to the bytes since the last snapshot. */
	countApplied(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this._bytesSinceSnapshot += getEntrySizeBytes(entry);
		}
	}

	/** Takes a snapshot of the applied state if enough bytes were applied since the last one and none is being stored. */
	takeIfDue(state: ReplicaState): void {
		const index = state.commitIndex;
		const term = state.log.termAt(index);
		if (
			this._bytesSinceSnapshot < this._snapshotAfterBytes ||
			this._storing !== undefined ||
			term === undefined
		) {
			return;
		}
		this._bytesSinceSnapshot = 0;
		const members = state.log.membersAt(index);
		const data = this._stateMachine.encodeSnapshot();
		this._storing = this._storeSnapshot({ index, term, members, data });
	}

	/** Resolves when nothing is being stored. */
	async whenIdle(): Promise<void> {
		await this._storing;
	}

	private async _storeSnapshot(snapshot: Snapshot): Promise<void> {
		try {
			await this._storage.writeSnapshot(snapshot);
			this._onDidStore.fire(snapshot);
		} catch (error) {
			this._onDidFail.fire(describeError(error));
		} finally {
			this._storing = undefined;
		}
	}
}
