/** A keeper's replicated log. This version serves a group of one. */

import { Ok, type Result } from 'ts-results-es';
import { Deferred } from '../../base/common/async.js';
import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection } from '../../platform/transport/common/transport.js';
import type { CommandEntry } from '../common/logEntry.js';
import type { IReplicatedLog, ProposeError, ReplicaStatus } from '../common/replicatedLog.js';
import type { ReplicatedLogOptions } from './replicatedLogOptions.js';
import { ReplicaStorage } from './replicaStorage.js';

interface Proposal {
	readonly entry: CommandEntry;
	readonly result: Deferred<Result<Uint8Array, ProposeError>>;
}

/** The replicated log of one keeper. */
export class ReplicatedLog extends Disposable implements IReplicatedLog {
	private readonly _onDidChangeStatus = this._register(new Emitter<ReplicaStatus>());
	readonly onDidChangeStatus = this._onDidChangeStatus.event;

	private readonly _onDidApply = this._register(new Emitter<number>());
	readonly onDidApply = this._onDidApply.event;

	private _queue: Proposal[] = [];
	private _nextIndex: number;
	private _appliedIndex = 0;
	private _writing: Promise<void> | undefined;
	private _isStopped = false;

	private constructor(
		private readonly _options: ReplicatedLogOptions,
		private readonly _storage: ReplicaStorage,
	) {
		super();
		const { entries } = _storage.stored;
		for (const entry of entries) {
			if (entry.kind === 'command') {
				_options.stateMachine.apply(entry.index, entry.command);
			}
			this._appliedIndex = entry.index;
		}
		this._nextIndex = this._appliedIndex + 1;
	}

	/**
	 * Opens the data folder, restores the state machine and takes part in the group.
	 *
	 * @throws StorageError when the folder is locked, damaged or can't be written
	 */
	static async open(options: ReplicatedLogOptions): Promise<ReplicatedLog> {
		const storage = await ReplicaStorage.open(options.dataFolder, { syncFile: options.syncFile });
		return new ReplicatedLog(options, storage);
	}

	get status(): ReplicaStatus {
		const { processId, address } = this._options;
		const { diskId, term } = this._storage.stored.hardState;
		return {
			role: this._isStopped ? 'stopped' : 'leader',
			term,
			leaderId: processId,
			commitIndex: this._appliedIndex,
			appliedIndex: this._appliedIndex,
			members: [{ processId, address, isVoter: true, diskId }],
		};
	}

	propose(command: Uint8Array): Promise<Result<Uint8Array, ProposeError>> {
		const entry: CommandEntry = { kind: 'command', index: this._nextIndex, term: 1, command };
		this._nextIndex += 1;
		const result = new Deferred<Result<Uint8Array, ProposeError>>();
		this._queue.push({ entry, result });
		this._writing ??= this._writeQueue();
		return result.promise;
	}

	ageMs(): number {
		return this._isStopped ? Infinity : 0;
	}

	/** Takes a connection from another keeper. */
	acceptPeer(connection: IConnection): void {
		connection.dispose();
	}

	changeMember(): Promise<Result<undefined, ProposeError>> {
		return Promise.resolve(Ok(undefined));
	}

	async transferLeadership(): Promise<void> {
		await this._writing;
	}

	override dispose(): void {
		this._isStopped = true;
		void (this._writing ?? Promise.resolve()).then(() => this._storage.close());
		super.dispose();
	}

	private async _writeQueue(): Promise<void> {
		await Promise.resolve();
		while (this._queue.length > 0) {
			const proposals = this._queue;
			this._queue = [];
			try {
				await this._storage.write([{ sequence: 0, entries: proposals.map(({ entry }) => entry) }]);
			} catch (error) {
				this._stop(describeError(error));
				return;
			}
			this._apply(proposals);
		}
		this._writing = undefined;
	}

	private _apply(proposals: readonly Proposal[]): void {
		for (const { entry, result } of proposals) {
			const answer = this._options.stateMachine.apply(entry.index, entry.command);
			this._appliedIndex = entry.index;
			result.resolve(Ok(answer));
		}
		this._onDidApply.fire(this._appliedIndex);
	}

	private _stop(reason: string): void {
		this._isStopped = true;
		this._options.log.error('replica.stopped', { reason });
		this._onDidChangeStatus.fire(this.status);
	}
}
