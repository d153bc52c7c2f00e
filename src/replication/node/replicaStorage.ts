/** Stores a keeper's hard state, log and snapshots in one data folder. */

import { randomUUID } from 'node:crypto';
import { mkdir, readdir, rm } from 'node:fs/promises';
import path from 'node:path';
import { createDamagedFileError } from '../../services/storage/common/storageError.js';
import type { SyncFile } from '../../services/storage/node/diskAccess.js';
import { syncFolder } from '../../services/storage/node/diskAccess.js';
import { readDurableFile, writeDurableFile } from '../../services/storage/node/durableFile.js';
import { lockFolder } from '../../services/storage/node/folderLock.js';
import { defaultSegmentBytes, SegmentedLog } from '../../services/storage/node/segmentedLog.js';
import { toDisposable, type IDisposable } from '../../base/common/disposable.js';
import type { HardState, LogEntry, Snapshot } from '../common/logEntry.js';
import type { ReplicaWrite } from '../common/replicaWrite.js';
import { decodeEntry, decodeSnapshotFile, encodeEntry, encodeSnapshotFile } from './entryCodec.js';

/** State that a keeper reads from its disk when it starts. */
export interface StoredReplica {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** Entries of the log; the snapshot may cover the first of them. */
	readonly entries: readonly LogEntry[];
	/** Number of bytes of a torn write that were cut off the end of the log. */
	readonly cutBytes: number;
}

/** Options of the storage. */
export interface ReplicaStorageOptions {
	readonly segmentBytes?: number | undefined;
	readonly syncFile?: SyncFile | undefined;
	/** Whether the folder is locked against a second process; true by default. */
	readonly locksFolder?: boolean | undefined;
	/** Called after entries are written and before they are synced. */
	readonly onWillSync?: (() => void) | undefined;
}

const noLock = toDisposable(() => undefined);

const snapshotFileNamePattern = /^snapshot-(\d{16})$/;

/** Reads and writes the files of one keeper, which are locked against a second process. */
export class ReplicaStorage {
	/** Use {@link open} instead. */
	constructor(
		private readonly _folder: string,
		private readonly _lock: IDisposable,
		private readonly _log: SegmentedLog,
		private readonly _options: ReplicaStorageOptions,
		readonly stored: StoredReplica,
	) {}

	/**
	 * Opens a data folder, or creates one with a new disk id.
	 *
	 * @throws StorageError `locked`, `damaged` (with file, offset and remedy) or `failed`
	 * @example
	 * const storage = await ReplicaStorage.open('/var/lib/yuccaarch', {});
	 */
	static async open(folder: string, options: ReplicaStorageOptions): Promise<ReplicaStorage> {
		await mkdir(folder, { recursive: true });
		const lock = options.locksFolder === false ? noLock : await lockFolder(folder);
		try {
			return await openWithLock(folder, lock, options);
		} catch (error) {
			lock.dispose();
			throw error;
		}
	}

	/**
	 * Makes writes durable in their order, with as few syncs as possible.
	 *
	 * @throws StorageError `failed`; the keeper must stop
	 */
	async write(writes: readonly ReplicaWrite[]): Promise<void> {
		const hardState = writes.findLast((write) => write.hardState !== undefined)?.hardState;
		if (hardState !== undefined) {
			// Written first, so that no entry of a term is on the disk before the vote in that term.
			await writeHardState(path.join(this._folder, 'state'), hardState, this._options.syncFile);
		}
		let queued: LogEntry[] = [];
		for (const write of writes) {
			if (write.truncateAfter !== undefined || write.snapshot !== undefined) {
				await this._append(queued);
				queued = [];
				await this._truncateOrReplaceLog(write);
			}
			queued.push(...write.entries);
		}
		await this._append(queued);
		const dropBefore = writes.findLast((write) => write.dropBefore !== undefined)?.dropBefore;
		if (dropBefore !== undefined) {
			await this._log.dropBefore(dropBefore);
		}
	}

	/** Stores a snapshot and removes older ones. May run concurrently with {@link write}. */
	async writeSnapshot(snapshot: Snapshot): Promise<void> {
		const file = path.join(this._folder, getSnapshotFileName(snapshot.index));
		await writeDurableFile(file, encodeSnapshotFile(snapshot), this._options.syncFile);
		for (const index of await listSnapshotIndexes(this._folder)) {
			if (index < snapshot.index) {
				await rm(path.join(this._folder, getSnapshotFileName(index)), { force: true });
			}
		}
		await syncFolder(this._folder);
	}

	/** Closes the files and releases the lock. No write may be in progress. */
	async close(): Promise<void> {
		await this._log.close();
		this._lock.dispose();
	}

	private async _truncateOrReplaceLog(write: ReplicaWrite): Promise<void> {
		if (write.truncateAfter !== undefined) {
			await this._log.truncateAfter(write.truncateAfter);
		}
		if (write.snapshot === undefined) {
			return;
		}
		await this.writeSnapshot(write.snapshot);
		if (write.restartsLog === true) {
			await this._log.resetTo(write.snapshot.index + 1);
		}
	}

	private async _append(entries: readonly LogEntry[]): Promise<void> {
		const records = entries.map((entry) => ({ index: entry.index, payload: encodeEntry(entry) }));
		await this._log.append(records);
	}
}

async function openWithLock(
	folder: string,
	lock: IDisposable,
	options: ReplicaStorageOptions,
): Promise<ReplicaStorage> {
	const stateFile = path.join(folder, 'state');
	const hardState = await readHardState(stateFile);
	const snapshot = await readNewestSnapshot(folder);
	const opened = await SegmentedLog.open(path.join(folder, 'log'), {
		segmentBytes: options.segmentBytes ?? defaultSegmentBytes,
		startIndex: (snapshot?.index ?? 0) + 1,
		syncFile: options.syncFile,
		onWillSync: options.onWillSync,
	});
	try {
		const loadedEntries = opened.records.map((record) => decodeEntry(record.index, record.payload));
		if (hardState === undefined && (snapshot !== undefined || loadedEntries.length > 0)) {
			throw createDamagedFileError(stateFile, 0, 'It is missing, although the folder holds a log.');
		}
		requireNoGap(folder, snapshot, loadedEntries);
		const entries = await reconcileLogWithSnapshot(opened.log, snapshot, loadedEntries);
		const currentHardState = hardState ?? (await createHardState(stateFile, options.syncFile));
		const stored = { hardState: currentHardState, snapshot, entries, cutBytes: opened.cutBytes };
		return new ReplicaStorage(folder, lock, opened.log, options, stored);
	} catch (error) {
		await opened.log.close();
		throw error;
	}
}

/** Throws if the log begins after the entry that follows the snapshot: a segment or a snapshot has been lost. */
function requireNoGap(folder: string, snapshot: Snapshot | undefined, entries: readonly LogEntry[]): void {
	const nextIndex = (snapshot?.index ?? 0) + 1;
	const firstIndex = entries[0]?.index ?? nextIndex;
	if (firstIndex > nextIndex) {
		throw createDamagedFileError(
			path.join(folder, 'log'),
			0,
			`The log begins at entry ${firstIndex}, but no snapshot holds the entries from ${nextIndex} on.`,
		);
	}
}

/**
 * Empties a log that doesn't match its snapshot, as after a crash between storing the snapshot and restarting the log.
 * Returns the valid entries.
 */
async function reconcileLogWithSnapshot(
	log: SegmentedLog,
	snapshot: Snapshot | undefined,
	entries: readonly LogEntry[],
): Promise<readonly LogEntry[]> {
	if (snapshot === undefined) {
		return entries;
	}
	const followsSnapshot = entries[0]?.index === snapshot.index + 1;
	const entryAtSnapshot = entries.find((entry) => entry.index === snapshot.index);
	if (followsSnapshot || entryAtSnapshot?.term === snapshot.term) {
		return entries;
	}
	// The log is older than the snapshot: it ends before the snapshot or holds entries of another leader.
	await log.resetTo(snapshot.index + 1);
	return [];
}

async function readHardState(file: string): Promise<HardState | undefined> {
	const content = await readDurableFile(file);
	return content === undefined ? undefined : (JSON.parse(content.toString('utf8')) as HardState);
}

async function createHardState(file: string, syncFile: SyncFile | undefined): Promise<HardState> {
	const hardState: HardState = { diskId: randomUUID(), term: 0 };
	await writeHardState(file, hardState, syncFile);
	return hardState;
}

function writeHardState(file: string, hardState: HardState, syncFile: SyncFile | undefined): Promise<void> {
	return writeDurableFile(file, Buffer.from(JSON.stringify(hardState)), syncFile);
}

function getSnapshotFileName(index: number): string {
	return `snapshot-${String(index).padStart(16, '0')}`;
}

async function listSnapshotIndexes(folder: string): Promise<number[]> {
	const names = await readdir(folder);
	return names.flatMap((name) => snapshotFileNamePattern.exec(name)?.[1] ?? []).map(Number);
}

async function readNewestSnapshot(folder: string): Promise<Snapshot | undefined> {
	const indexes = await listSnapshotIndexes(folder);
	if (indexes.length === 0) {
		return undefined;
	}
	const content = await readDurableFile(path.join(folder, getSnapshotFileName(Math.max(...indexes))));
	return content === undefined ? undefined : decodeSnapshotFile(content);
}
