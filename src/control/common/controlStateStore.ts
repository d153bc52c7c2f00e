/** A subscriber's copy of the keepers' state, which accepts only newer state and tracks its maximum age. */

import { match } from 'ts-pattern';
import { applyEdits } from '../../declarations/common/tableEdits.js';
import { emptyTables, type TableDelta, type Tables } from '../../declarations/common/tables.js';
import type {
	ControlDeltaMessage,
	ControlFreshnessMessage,
	ControlSnapshotMessage,
	EntryDirectory,
	TableScope,
} from '../../protocol/common/keeperMessages.js';
import type { ControlState } from './controlPlane.js';
import { DeltaLog } from './deltaLog.js';
import type { IStateSource } from './stateSource.js';
import { isSameScope } from './tableScope.js';

/** A message that carries state or its freshness. */
export type StateMessage = ControlSnapshotMessage | ControlDeltaMessage | ControlFreshnessMessage;

/** Effect of a message on the state. */
export type ApplyResult =
	/** The state has changed. */
	| 'changed'
	/** The message contained nothing newer. */
	| 'current'
	/** Changes before the ones in the message are missing; the process must subscribe again. */
	| 'gap'
	/** The keeper has a different history, which is not known to be newer in both revision and epoch. */
	| 'otherHistory'
	/** The message is for rows that are not requested, or the requested rows in it are older than the current state. */
	| 'otherScope';

/** Holds the latest state and serves other processes from it. Revision and epoch never decrease. */
export class ControlStateStore implements IStateSource {
	private _state: ControlState = { tables: emptyTables, directory: { epoch: 0, entries: [] } };
	private readonly _deltas = new DeltaLog();
	private _historyId = '';
	private _confirmedAtMs = -Infinity;
	/** Requested rows; undefined for all. */
	private _requestedScope: TableScope | undefined;

	get state(): ControlState {
		return this._state;
	}

	/** Requested rows; undefined for all. */
	get requestedScope(): TableScope | undefined {
		return this._requestedScope;
	}

	/** Whether the state holds exactly the requested rows, so that deltas can be applied to it. */
	get holdsRequestedScope(): boolean {
		return this._historyId !== '' && isSameScope(this._state.scope, this._requestedScope);
	}

	/** Sets the requested rows. Until a snapshot with them arrives, the state stays as it is and gets no fresher. */
	requestScope(scope: TableScope | undefined): void {
		this._requestedScope = scope;
	}

	get tables(): Tables {
		return this._state.tables;
	}

	get directory(): EntryDirectory {
		return this._state.directory;
	}

	/** History that the state belongs to; empty before the first snapshot. */
	get historyId(): string {
		return this._historyId;
	}

	/** Latest time, by the own clock, at which the state is proved to contain everything that was committed. */
	get confirmedAtMs(): number {
		return this._confirmedAtMs;
	}

	deltasSince(revision: number, maxDeltas: number): readonly TableDelta[] | undefined {
		return this._deltas.getBetween(revision, this._state.tables.revision, maxDeltas);
	}

	/**
	 * Applies a message.
	 *
	 * @param probeSentAtMs time, by the own clock, at which the probe in the message was sent; undefined when unknown
	 * @example
	 * if (store.apply(message, probes.getSentAtMs(message.probe)) === 'gap') { subscribeAgain(); }
	 */
	apply(message: StateMessage, probeSentAtMs: number | undefined): ApplyResult {
		const result = match(message)
			.with({ kind: 'controlSnapshot' }, (snapshot) => this._applySnapshot(snapshot))
			.with({ kind: 'controlDelta' }, (delta) => this._applyDelta(delta))
			.with({ kind: 'controlFreshness' }, (freshness) => this._applyFreshness(freshness))
			.exhaustive();
		const isUpToDate = result === 'changed' || result === 'current';
		if (isUpToDate && probeSentAtMs !== undefined && Number.isFinite(message.ageMs)) {
			this._confirmedAtMs = Math.max(this._confirmedAtMs, probeSentAtMs - message.ageMs);
		}
		return result;
	}

	private _applySnapshot({ historyId, scope, tables, directory }: ControlSnapshotMessage): ApplyResult {
		const isSameHistory = this._historyId === '' || this._historyId === historyId;
		if (!isSameHistory && !this._isEntirelyNewer(tables, directory)) {
			return 'otherHistory';
		}
		// A snapshot of all rows, as a server of an older version sends it, satisfies any requested scope.
		const isRequested = scope === undefined || isSameScope(scope, this._requestedScope);
		const isOlder = tables.revision < this._state.tables.revision;
		if (!isRequested || (isOlder && !this.holdsRequestedScope && this._historyId !== '')) {
			return 'otherScope';
		}
		if (this._historyId !== historyId || tables.revision > this._state.tables.revision) {
			this._deltas.clear();
		}
		this._historyId = historyId;
		if (!isOlder && !isSameScope(scope, this._state.scope)) {
			return this._replaceRows(scope, tables, directory);
		}
		return this._setIfNewer(tables, directory);
	}

	private _applyDelta({ historyId, deltas, directory }: ControlDeltaMessage): ApplyResult {
		if (historyId !== this._historyId) {
			return 'otherHistory';
		}
		if (!this._coversRequestedScope) {
			return 'otherScope';
		}
		const tables = applyDeltas(this._state.tables, deltas);
		if (tables === undefined) {
			return 'gap';
		}
		this._deltas.add(deltas.filter(({ revision }) => revision > this._state.tables.revision));
		return this._setIfNewer(tables, directory ?? this._state.directory);
	}

	private _applyFreshness({ historyId, revision, epoch }: ControlFreshnessMessage): ApplyResult {
		if (historyId !== this._historyId) {
			return 'otherHistory';
		}
		if (!this._coversRequestedScope) {
			return 'otherScope';
		}
		const isBehind = this._state.tables.revision < revision || this._state.directory.epoch < epoch;
		return isBehind ? 'gap' : 'current';
	}

	/** Whether the state includes the requested rows. */
	private get _coversRequestedScope(): boolean {
		return this._state.scope === undefined || this.holdsRequestedScope;
	}

	/** Replaces the rows with those of another scope at the same or a newer revision. */
	private _replaceRows(
		scope: TableScope | undefined,
		tables: Tables,
		directory: EntryDirectory,
	): ApplyResult {
		const { directory: currentDirectory } = this._state;
		this._state = {
			tables,
			scope,
			directory: directory.epoch > currentDirectory.epoch ? directory : currentDirectory,
		};
		return 'changed';
	}

	private _isEntirelyNewer(tables: Tables, directory: EntryDirectory): boolean {
		return tables.revision > this._state.tables.revision && directory.epoch > this._state.directory.epoch;
	}

	private _setIfNewer(tables: Tables, directory: EntryDirectory): ApplyResult {
		const newer: ControlState = {
			scope: this._state.scope,
			tables: tables.revision > this._state.tables.revision ? tables : this._state.tables,
			directory: directory.epoch > this._state.directory.epoch ? directory : this._state.directory,
		};
		if (newer.tables === this._state.tables && newer.directory === this._state.directory) {
			return 'current';
		}
		this._state = newer;
		return 'changed';
	}
}

/** Applies the deltas that follow the tables. Returns undefined when a delta in between is missing. */
function applyDeltas(tables: Tables, deltas: readonly TableDelta[]): Tables | undefined {
	let present = tables;
	for (const delta of deltas) {
		if (delta.revision > present.revision + 1) {
			return undefined;
		}
		if (delta.revision === present.revision + 1) {
			present = applyEdits(present, delta.edits);
		}
	}
	return present;
}
