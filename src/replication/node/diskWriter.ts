/** Writes to the disk one batch at a time: what arrives during a sync shares the next one. */

import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import { Disposable } from '../../base/common/disposable.js';
import type { ReplicaWrite } from '../common/replicaWrite.js';
import type { FaultPointHandler } from './faultPoints.js';
import type { ReplicaStorage } from './replicaStorage.js';

/** Queue in front of a keeper's storage. */
export class DiskWriter extends Disposable {
	private readonly _onDidWrite = this._register(new Emitter<number>());
	/** Fires with the sequence up to which all writes are on the disk. */
	readonly onDidWrite = this._onDidWrite.event;

	private readonly _onDidFail = this._register(new Emitter<string>());
	/** Fires once when the disk refused; nothing is written afterwards. */
	readonly onDidFail = this._onDidFail.event;

	private _queue: ReplicaWrite[] = [];
	private _working: Promise<void> | undefined;
	private _hasFailed = false;

	constructor(
		private readonly _storage: ReplicaStorage,
		private readonly _faultPoints: FaultPointHandler,
	) {
		super();
	}

	/** Queues a write behind the earlier ones. */
	enqueue(write: ReplicaWrite): void {
		if (this._hasFailed) {
			return;
		}
		this._queue.push(write);
		this._working ??= this._work();
	}

	/** Resolves when nothing is being written. */
	async whenIdle(): Promise<void> {
		await this._working;
	}

	override dispose(): void {
		this._queue = [];
		super.dispose();
	}

	private async _work(): Promise<void> {
		// What this turn of the event loop still brings joins the first batch.
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
			this._working = undefined;
		}
	}

	private async _writeBatch(): Promise<void> {
		const batch = this._queue;
		this._queue = [];
		this._faultPoints('beforeAppend');
		await this._storage.write(batch);
		this._faultPoints('afterSync');
		const sequence = batch.at(-1)?.sequence;
		if (sequence !== undefined) {
			this._onDidWrite.fire(sequence);
		}
	}
}
