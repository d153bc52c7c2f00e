/** Group commit: writes that arrive during a sync are batched and share the next sync. */

import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/disposable.js';
import type { ReplicaWrite } from '../common/replicaWrite.js';
import type { FaultPointHandler } from './faultPoints.js';
import type { ReplicaStorage } from './replicaStorage.js';

/** Queues writes to a keeper's storage and writes them in batches, one batch at a time. */
export class DiskWriter extends Disposable {
	private readonly _onDidWrite = this._register(new Emitter<number>());
	/** Fires with the sequence number up to which all writes are durable. */
	readonly onDidWrite = this._onDidWrite.event;

	private readonly _onDidFail = this._register(new Emitter<string>());
	/** Fires once with the reason when a write fails; nothing is written afterwards. */
	readonly onDidFail = this._onDidFail.event;

	private _queue: ReplicaWrite[] = [];
	private _writing: Promise<void> | undefined;
	private _hasFailed = false;

	constructor(
		private readonly _storage: ReplicaStorage,
		private readonly _onFaultPoint: FaultPointHandler,
	) {
		super();
	}

	/** Queues a write after the earlier ones; does nothing once a write has failed. */
	enqueue(write: ReplicaWrite): void {
		if (this._hasFailed) {
			return;
		}
		this._queue.push(write);
		this._writing ??= this._writeQueue();
	}

	/** Resolves when nothing is being written. */
	async whenIdle(): Promise<void> {
		await this._writing;
	}

	override dispose(): void {
		this._queue = [];
		super.dispose();
	}

	private async _writeQueue(): Promise<void> {
		// Writes queued later in this turn of the event loop join the first batch.
		await new Promise((resolve) => setImmediate(resolve));
		try {
			while (this._queue.length > 0) {
				await this._writeBatch();
			}
		} catch (error) {
			this._hasFailed = true;
			this._queue = [];
			this._onDidFail.fire(describeError(error));
		} finally {
			this._writing = undefined;
		}
	}

	private async _writeBatch(): Promise<void> {
		const batch = this._queue;
		this._queue = [];
		this._onFaultPoint('beforeAppend');
		await this._storage.write(batch);
		this._onFaultPoint('afterSync');
		const sequence = batch.at(-1)?.sequence;
		if (sequence !== undefined) {
			this._onDidWrite.fire(sequence);
		}
	}
}
