/** A keeper's files: hard state, log and snapshots under one data folder. */

import { randomUUID } from 'node:crypto';
import { mkdir, readdir, rm } from 'node:fs/promises';
import path from 'node:path';
import { damagedFile } from '../../services/storage/common/storageError.js';
import type { SyncFile } from '../../services/storage/node/diskAccess.js';
import { syncFolder } from '../../services/storage/node/diskAccess.js';
import { readDurableFile, writeDurableFile } from '../../services/storage/node/durableFile.js';
import { lockFolder } from '../../services/storage/node/folderLock.js';
import { defaultSegmentBytes, SegmentedLog } from '../../services/storage/node/segmentedLog.js';
import { toDisposable, type IDisposable } from '../../base/common/disposable.js';
import type { HardState, LogEntry, Snapshot } from '../common/logEntry.js';
import type { ReplicaWrite } from '../common/replicaWrite.js';
import { decodeEntry, decodeSnapshotFile, encodeEntry, encodeSnapshotFile } from './entryCodec.js';

/** What a keeper finds on its disk when it starts. */
export interface StoredReplica {
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** Entries of the log; the first ones may be covered by the snapshot. */
	readonly entries: readonly LogEntry[];
	/** Bytes of a torn write that were cut off the log. */
	readonly cutBytes: number;
}

/** Options of the storage. */
export interface ReplicaStorageOptions {
	readonly segmentBytes?: number | undefined;
	readonly syncFile?: SyncFile | undefined;
	/** Whether the folder is locked against a second process; true by default. */
	readonly locksFolder?: boolean | undefined;
	/** Called between the write of entries and their sync. */
	readonly onWillSync?: (() => void) | undefined;
}

const noLock = toDisposable(() => undefined);

const snapshotPattern = /^snapshot-(\d{16})$/;

/** The files of one keeper, locked against a second process. */
export class ReplicaStorage {
	/** Use {@link open}. */
	constructor(
		private readonly _folder: string,
		private readonly _lock: IDisposable,
		private readonly _log: SegmentedLog,
		private readonly _options: ReplicaStorageOptions,
		readonly stored: StoredReplica,
	) {}

	/**
	 * Opens a data folder, or makes a new one with a new disk identity.
	 *
	 * @throws StorageError `locked`, `damaged` (with file, offset and remedy) or `failed`
	 * @example
	 * const storage = await ReplicaStorage.open('/var/lib/yuccaarch', {});
	 */
	static async open(folder: string, options: ReplicaStorageOptions): Promise<ReplicaStorage> {
		await mkdir(folder, { recursive: true });
		const lock = options.locksFolder === false ? noLock : await lockFolder(folder);
		try {
			return await openLocked(folder, lock, options);
		} catch (error) {
			lock.dispose();
			throw error;
		}
	}

	/**
	 * Makes writes durable, in their order, with as few syncs as possible.
	 *
	 * @throws StorageError `failed`; the keeper must stop
	 */
	async write(writes: readonly ReplicaWrite[]): Promise<void> {
		const hardState = writes.findLast((write) => write.hardState !== undefined)?.hardState;
		if (hardState !== undefined) {
			// First, so that no entry of a term is on the disk before the vote of that term is.
			await writeHardState(path.join(this._folder, 'state'), hardState, this._options.syncFile);
		}
		let queued: LogEntry[] = [];
		for (const write of writes) {
			if (write.truncateAfter !== undefined || write.snapshot !== undefined) {
				await this._append(queued);
				queued = [];
				await this._shrink(write);
			}
			queued.push(...write.entries);
		}
		await this._append(queued);
		const dropBefore = writes.findLast((write) => write.dropBefore !== undefined)?.dropBefore;
		if (dropBefore !== undefined) {
			await this._log.dropBefore(dropBefore);
		}
	}

	/** Stores a snapshot and removes older ones. May run beside {@link write}. */
	async writeSnapshot(snapshot: Snapshot): Promise<void> {
		const file = path.join(this._folder, snapshotName(snapshot.index));
		await writeDurableFile(file, encodeSnapshotFile(snapshot), this._options.syncFile);
		for (const index of await listSnapshots(this._folder)) {
			if (index < snapshot.index) {
				await rm(path.join(this._folder, snapshotName(index)), { force: true });
			}
		}
		await syncFolder(this._folder);
	}

	/** Closes the files and gives up the lock. Nothing may be in the course of being written. */
	async close(): Promise<void> {
		await this._log.close();
		this._lock.dispose();
	}

	private async _shrink(write: ReplicaWrite): Promise<void> {
		if (write.truncateAfter !== undefined) {
			await this._log.truncateAfter(write.truncateAfter);
		}
		if (write.snapshot === undefined) {
			return;
		}
		await this.writeSnapshot(write.snapshot);
		if (write.restartsLog === true) {
			await this._log.restartAt(write.snapshot.index + 1);
		}
	}

	private async _append(entries: readonly LogEntry[]): Promise<void> {
		const records = entries.map((entry) => ({ index: entry.index, payload: encodeEntry(entry) }));
		await this._log.append(records);
	}
}

async function openLocked(
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
		const found = opened.records.map((record) => decodeEntry(record.index, record.payload));
		if (hardState === undefined && (snapshot !== undefined || found.length > 0)) {
			throw damagedFile(stateFile, 0, 'It is missing, although the folder holds a log.');
		}
		requireNoGap(folder, snapshot, found);
		const entries = await reconcile(opened.log, snapshot, found);
		const known = hardState ?? (await createHardState(stateFile, options.syncFile));
		const stored = { hardState: known, snapshot, entries, cutBytes: opened.cutBytes };
		return new ReplicaStorage(folder, lock, opened.log, options, stored);
	} catch (error) {
		await opened.log.close();
		throw error;
	}
}

/** A log that begins behind its snapshot has lost a segment or a snapshot. */
function requireNoGap(folder: string, snapshot: Snapshot | undefined, entries: readonly LogEntry[]): void {
	const nextIndex = (snapshot?.index ?? 0) + 1;
	const firstIndex = entries[0]?.index ?? nextIndex;
	if (firstIndex > nextIndex) {
		throw damagedFile(
			path.join(folder, 'log'),
			0,
			`The log begins at entry ${firstIndex}, but no snapshot holds the entries from ${nextIndex} on.`,
		);
	}
}

/** Brings log and snapshot together after a crash between the two; returns the entries that count. */
async function reconcile(
	log: SegmentedLog,
	snapshot: Snapshot | undefined,
	entries: readonly LogEntry[],
): Promise<readonly LogEntry[]> {
	if (snapshot === undefined) {
		return entries;
	}
	const followsSnapshot = entries[0]?.index === snapshot.index + 1;
	const atSnapshot = entries.find((entry) => entry.index === snapshot.index);
	if (followsSnapshot || atSnapshot?.term === snapshot.term) {
		return entries;
	}
	// The log belongs to what the snapshot replaced: it ends before it or holds another leader's entries.
	await log.restartAt(snapshot.index + 1);
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

function snapshotName(index: number): string {
	return `snapshot-${String(index).padStart(16, '0')}`;
}

async function listSnapshots(folder: string): Promise<number[]> {
	const names = await readdir(folder);
	return names.flatMap((name) => snapshotPattern.exec(name)?.[1] ?? []).map(Number);
}

async function readNewestSnapshot(folder: string): Promise<Snapshot | undefined> {
	const indexes = await listSnapshots(folder);
	if (indexes.length === 0) {
		return undefined;
	}
	const content = await readDurableFile(path.join(folder, snapshotName(Math.max(...indexes))));
	return content === undefined ? undefined : decodeSnapshotFile(content);
}
