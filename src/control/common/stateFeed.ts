/** One subscription, at a keeper or an entry: what the subscriber holds, and what to send it next. */

import type { Tables } from '../../declarations/common/tables.js';
import type {
	KeeperToMemberMessage,
	SubscribeMessage,
	TableScope,
} from '../../protocol/common/keeperMessages.js';
import type { IStateSource } from './stateSource.js';
import { scopeDeltas, scopeTables } from './tableScope.js';

/** Beyond so many missing changes a subscriber gets a snapshot. */
const maxDeltas = 200;

/**
 * Sends the state of a source to one subscriber, as deltas or as a snapshot, never an older revision.
 *
 * @example
 * const feed = new StateFeed(source, () => log.ageMs(), (message) => connection.send(message), subscribe);
 * feed.sendChanges();
 */
export class StateFeed {
	private readonly _scope: TableScope | undefined;
	/** Tables that the subscriber surely has; unknown until something was sent. */
	private _sent: Tables | undefined;
	private _historyId: string | undefined;
	private _revision: number;
	private _epoch: number;
	private _probe: number;

	constructor(
		private readonly _source: IStateSource,
		private readonly _ageMs: () => number,
		private readonly _send: (message: KeeperToMemberMessage) => void,
		first: SubscribeMessage,
	) {
		this._scope = first.scope;
		this._historyId = first.historyId;
		this._revision = first.revision;
		this._epoch = first.epoch;
		this._probe = first.probe;
	}

	/** Notes that a probe has arrived; later messages prove freshness by it. */
	noteProbe(probe: number): void {
		this._probe = Math.max(this._probe, probe);
	}

	/** Sends what the subscriber does not have yet; nothing when it is up to date or ahead of the source. */
	sendChanges(): void {
		if (this._source.historyId === '') {
			return;
		}
		if (this._historyId !== this._source.historyId) {
			this._sendSnapshot();
			return;
		}
		const { tables, directory } = this._source;
		const isBehind = tables.revision > this._revision;
		if (tables.revision === this._revision) {
			this._sent = tables;
		}
		const hasOlderDirectory = directory.epoch > this._epoch;
		if (!isBehind && !hasOlderDirectory) {
			return;
		}
		const deltas = isBehind ? this._source.deltasSince(this._revision, maxDeltas) : [];
		if (deltas === undefined) {
			this._sendSnapshot();
			return;
		}
		const scoped = scopeDeltas(deltas, this._scope, this._sent);
		if (isBehind) {
			this._sent = tables;
		}
		this._revision = Math.max(this._revision, tables.revision);
		this._epoch = Math.max(this._epoch, directory.epoch);
		this._send({
			kind: 'controlDelta',
			historyId: this._source.historyId,
			deltas: scoped,
			directory: hasOlderDirectory ? directory : undefined,
			...this._freshness(),
		});
	}

	/** Says how fresh the source's state is. */
	sendFreshness(): void {
		if (this._source.historyId === '') {
			return;
		}
		this._send({
			kind: 'controlFreshness',
			historyId: this._source.historyId,
			revision: this._source.tables.revision,
			epoch: this._source.directory.epoch,
			...this._freshness(),
		});
	}

	private _sendSnapshot(): void {
		const { historyId, tables, directory } = this._source;
		this._historyId = historyId;
		this._sent = tables;
		this._revision = tables.revision;
		this._epoch = directory.epoch;
		this._send({
			kind: 'controlSnapshot',
			historyId,
			scope: this._scope,
			tables: scopeTables(tables, this._scope),
			directory,
			...this._freshness(),
		});
	}

	private _freshness(): { ageMs: number; probe: number } {
		return { ageMs: this._ageMs(), probe: this._probe };
	}
}
