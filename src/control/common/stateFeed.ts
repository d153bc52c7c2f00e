/** The sending side of one subscription: what the subscriber holds and what is sent next. */

import type { Tables } from '../../declarations/common/tables.js';
import type {
	KeeperToSubscriberMessage,
	SubscribeMessage,
	TableScope,
} from '../../protocol/common/keeperMessages.js';
import type { IStateSource } from './stateSource.js';
import { filterDeltas, filterTables } from './tableScope.js';

/** Maximum number of missing deltas; a subscriber that misses more gets a snapshot. */
const maxDeltas = 200;

/**
 * Sends the state of a source to one subscriber, as deltas or as a snapshot, never an older revision.
 *
 * @example
 * const feed = new StateFeed(source, () => log.getMaxStateAgeMs(), (message) => connection.send(message), subscribe);
 * feed.sendChanges();
 */
export class StateFeed {
	private readonly _scope: TableScope | undefined;
	/** Tables that the subscriber is known to hold; undefined until this is known. */
	private _sentTables: Tables | undefined;
	private _sentHistoryId: string | undefined;
	private _sentRevision: number;
	private _sentEpoch: number;
	private _lastProbe: number;

	constructor(
		private readonly _source: IStateSource,
		private readonly _ageMs: () => number,
		private readonly _send: (message: KeeperToSubscriberMessage) => void,
		subscription: SubscribeMessage,
	) {
		this._scope = subscription.scope;
		this._sentHistoryId = subscription.historyId;
		this._sentRevision = subscription.revision;
		this._sentEpoch = subscription.epoch;
		this._lastProbe = subscription.probe;
	}

	/** Records a received probe, which later messages repeat as their proof of freshness. */
	recordProbe(probe: number): void {
		this._lastProbe = Math.max(this._lastProbe, probe);
	}

	/** Sends the changes that the subscriber lacks. Sends nothing when it is up to date or ahead of the source. */
	sendChanges(): void {
		if (this._source.historyId === '') {
			return;
		}
		if (this._sentHistoryId !== this._source.historyId) {
			this._sendSnapshot();
			return;
		}
		const { tables, directory } = this._source;
		const areTablesBehind = tables.revision > this._sentRevision;
		if (tables.revision === this._sentRevision) {
			this._sentTables = tables;
		}
		const isDirectoryBehind = directory.epoch > this._sentEpoch;
		if (!areTablesBehind && !isDirectoryBehind) {
			return;
		}
		const deltas = areTablesBehind ? this._source.deltasSince(this._sentRevision, maxDeltas) : [];
		if (deltas === undefined) {
			this._sendSnapshot();
			return;
		}
		const scoped = filterDeltas(deltas, this._scope, this._sentTables);
		if (areTablesBehind) {
			this._sentTables = tables;
		}
		this._sentRevision = Math.max(this._sentRevision, tables.revision);
		this._sentEpoch = Math.max(this._sentEpoch, directory.epoch);
		this._send({
			kind: 'controlDelta',
			historyId: this._source.historyId,
			deltas: scoped,
			directory: isDirectoryBehind ? directory : undefined,
			...this._getFreshness(),
		});
	}

	/** Sends the age of the source's state. */
	sendFreshness(): void {
		if (this._source.historyId === '') {
			return;
		}
		this._send({
			kind: 'controlFreshness',
			historyId: this._source.historyId,
			revision: this._source.tables.revision,
			epoch: this._source.directory.epoch,
			...this._getFreshness(),
		});
	}

	private _sendSnapshot(): void {
		const { historyId, tables, directory } = this._source;
		this._sentHistoryId = historyId;
		this._sentTables = tables;
		this._sentRevision = tables.revision;
		this._sentEpoch = directory.epoch;
		this._send({
			kind: 'controlSnapshot',
			historyId,
			scope: this._scope,
			tables: filterTables(tables, this._scope),
			directory,
			...this._getFreshness(),
		});
	}

	private _getFreshness(): { ageMs: number; probe: number } {
		return { ageMs: this._ageMs(), probe: this._lastProbe };
	}
}
