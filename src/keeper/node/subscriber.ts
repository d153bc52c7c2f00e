/** One subscription: what the subscriber holds, and what to send it next. */

import { Disposable } from '../../base/common/disposable.js';
import type { IConnection } from '../../platform/transport/common/transport.js';
import type { KeeperToMemberMessage, SubscribeMessage } from '../../protocol/common/keeperMessages.js';
import type { KeeperStateMachine } from '../common/keeperStateMachine.js';

/** Beyond so many missing changes a subscriber gets a snapshot. */
const maxDeltas = 200;

/** Sends the keeper's state to one subscriber, as deltas or as a snapshot, never an older revision. */
export class Subscriber extends Disposable {
	private _historyId: string | undefined;
	private _revision: number;
	private _epoch: number;
	private _probe: number;

	constructor(
		readonly connection: IConnection,
		private readonly _machine: KeeperStateMachine,
		private readonly _ageMs: () => number,
		first: SubscribeMessage,
	) {
		super();
		this._historyId = first.historyId;
		this._revision = first.revision;
		this._epoch = first.epoch;
		this._probe = first.probe;
	}

	/** Notes that a probe has arrived; later messages prove freshness by it. */
	noteProbe(probe: number): void {
		this._probe = Math.max(this._probe, probe);
	}

	/** Sends what the subscriber does not have yet; nothing when it is up to date or ahead of this keeper. */
	sendChanges(): void {
		if (this._machine.historyId === '') {
			return;
		}
		if (this._historyId !== this._machine.historyId) {
			this._sendSnapshot();
			return;
		}
		const { tables, directory } = this._machine;
		const isBehind = tables.tables.revision > this._revision;
		const hasOlderDirectory = directory.epoch > this._epoch;
		if (!isBehind && !hasOlderDirectory) {
			return;
		}
		const deltas = isBehind ? tables.deltasSince(this._revision, maxDeltas) : [];
		if (deltas === undefined) {
			this._sendSnapshot();
			return;
		}
		this._revision = Math.max(this._revision, tables.tables.revision);
		this._epoch = Math.max(this._epoch, directory.epoch);
		this._send({
			kind: 'controlDelta',
			historyId: this._machine.historyId,
			deltas,
			directory: hasOlderDirectory ? directory : undefined,
			...this._freshness(),
		});
	}

	/** Says how fresh this keeper's state is. */
	sendFreshness(): void {
		if (this._machine.historyId === '') {
			return;
		}
		this._send({
			kind: 'controlFreshness',
			historyId: this._machine.historyId,
			revision: this._machine.tables.tables.revision,
			epoch: this._machine.directory.epoch,
			...this._freshness(),
		});
	}

	private _sendSnapshot(): void {
		const { historyId, tables, directory } = this._machine;
		this._historyId = historyId;
		this._revision = tables.tables.revision;
		this._epoch = directory.epoch;
		this._send({
			kind: 'controlSnapshot',
			historyId,
			tables: tables.tables,
			directory,
			...this._freshness(),
		});
	}

	private _freshness(): { ageMs: number; probe: number } {
		return { ageMs: this._ageMs(), probe: this._probe };
	}

	private _send(message: KeeperToMemberMessage): void {
		this.connection.send(message);
	}
}
