/** The keepers' replicated state: history id, tables, entry directory, claims and log time. */

import { match } from 'ts-pattern';
import type { EntryDirectory } from '../../protocol/common/keeperMessages.js';
import { ReplicatedStateMachine } from '../../replication/common/replicatedLog.js';
import { ClaimStore, type ClaimsSnapshot } from './claimStore.js';
import {
	decodeValue,
	encodeValue,
	type AdvanceTimeCommand,
	type KeeperCommand,
	type KeeperCommandResults,
	type RecordClaimsCommand,
	type SetDirectoryCommand,
} from './keeperCommands.js';
import { TableStore, type TablesSnapshot } from './tableStore.js';

/** Version of the snapshot format. A keeper refuses to restore any other version. */
const snapshotVersion = 1;

interface KeeperSnapshot {
	readonly version: number;
	readonly historyId: string;
	readonly logTimeMs: number;
	readonly directory: EntryDirectory;
	readonly tables: TablesSnapshot;
	readonly claims: ClaimsSnapshot;
}

/**
 * Deterministic state machine, equal on every keeper after the same commands. It reads no clock and no random numbers;
 * all inputs are in the commands.
 */
export class KeeperStateMachine extends ReplicatedStateMachine {
	private readonly _tableStore = new TableStore();
	private readonly _claimStore = new ClaimStore();
	private _historyId = '';
	private _logTimeMs = 0;
	private _directory: EntryDirectory = { epoch: 0, entries: [] };

	/** Tables and the history of their changes. */
	get tableStore(): Pick<TableStore, 'tables' | 'history' | 'deltasSince'> {
		return this._tableStore;
	}

	/** Directory of the entries, with its epoch. */
	get directory(): EntryDirectory {
		return this._directory;
	}

	/** Id of the history; empty until the group's first leader has set one. */
	get historyId(): string {
		return this._historyId;
	}

	/** Log time in milliseconds: the time that leaders have measured since the history began. */
	get logTimeMs(): number {
		return this._logTimeMs;
	}

	/** Number of stored claims. */
	get claimCount(): number {
		return this._claimStore.size;
	}

	override apply(_index: number, command: Uint8Array): Uint8Array {
		return encodeValue(this.applyCommand(decodeValue(command) as KeeperCommand));
	}

	/** Applies a decoded command and returns its result. */
	applyCommand(command: KeeperCommand): KeeperCommandResults[KeeperCommand['kind']] {
		return match(command)
			.with({ kind: 'beginHistory' }, ({ historyId }) => this._beginHistory(historyId))
			.with({ kind: 'changeTables' }, ({ request, acceptedAt, shortestDrain }) =>
				this._tableStore.applyChange(request, acceptedAt, shortestDrain),
			)
			.with({ kind: 'recordClaims' }, (claims) => this._recordClaims(claims))
			.with({ kind: 'setDirectory' }, (change) => this._setDirectory(change))
			.with({ kind: 'advanceTime' }, (step) => this._advanceLogTime(step))
			.exhaustive();
	}

	override encodeSnapshot(): Uint8Array {
		const snapshot: KeeperSnapshot = {
			version: snapshotVersion,
			historyId: this._historyId,
			logTimeMs: this._logTimeMs,
			directory: this._directory,
			tables: this._tableStore.snapshot(),
			claims: this._claimStore.snapshot(),
		};
		return encodeValue(snapshot);
	}

	override restoreSnapshot(bytes: Uint8Array): void {
		const snapshot = decodeValue(bytes) as KeeperSnapshot;
		if (snapshot.version !== snapshotVersion) {
			throw new Error(
				`The snapshot has version ${snapshot.version}, but this program reads version ${snapshotVersion}. ` +
					'Start the program version that wrote the snapshot.',
			);
		}
		this._historyId = snapshot.historyId;
		this._logTimeMs = snapshot.logTimeMs;
		this._directory = snapshot.directory;
		this._tableStore.restore(snapshot.tables);
		this._claimStore.restore(snapshot.claims);
	}

	private _beginHistory(historyId: string): KeeperCommandResults['beginHistory'] {
		if (this._historyId === '') {
			this._historyId = historyId;
		}
		return { historyId: this._historyId };
	}

	private _recordClaims({ claims, releases }: RecordClaimsCommand): KeeperCommandResults['recordClaims'] {
		const outcomes = claims.map((claim) => this._claimStore.claim(claim, this._logTimeMs));
		for (const release of releases) {
			this._claimStore.release(release);
		}
		return { outcomes };
	}

	/** Replaces the directory if the epoch matches, and returns the epoch that is current afterwards. */
	private _setDirectory({
		expectedEpoch,
		entries,
	}: SetDirectoryCommand): KeeperCommandResults['setDirectory'] {
		if (expectedEpoch === this._directory.epoch) {
			this._directory = { epoch: expectedEpoch + 1, entries };
		}
		return { epoch: this._directory.epoch };
	}

	/** Ignores a step that does not start at the current log time, such as one of a former leader. */
	private _advanceLogTime(step: AdvanceTimeCommand): KeeperCommandResults['advanceTime'] {
		if (step.fromMs === this._logTimeMs && step.toMs > step.fromMs) {
			this._logTimeMs = step.toMs;
			this._claimStore.expire(step.toMs - step.claimRetentionMs);
		}
		return { logTimeMs: this._logTimeMs };
	}
}
