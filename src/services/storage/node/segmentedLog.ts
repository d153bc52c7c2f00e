/** An append-only log in segment files. Callers must await each operation before they start the next one. */

import { mkdir, open, unlink, type FileHandle } from 'node:fs/promises';
import path from 'node:path';
import { createDamagedFileError } from '../common/storageError.js';
import { syncFileData, syncFolder, toStorageError, writeFully, type SyncFile } from './diskAccess.js';
import {
	getEncodedSizeBytes,
	encodeRecords,
	encodeSegmentHeader,
	segmentHeaderBytes,
	type LogRecord,
} from './recordCodec.js';
import {
	truncateFile,
	listFirstIndexes,
	readSealedSegment,
	readLastSegment,
	getSegmentFileName,
	type ScannedSegment,
	type Segment,
} from './segmentFiles.js';
import { SyncedIndexFile } from './syncedIndexFile.js';

/** Options of {@link SegmentedLog.open}. */
export interface SegmentedLogOptions {
	/** Size of a segment from which the next append begins a new one. */
	readonly segmentBytes: number;
	/** Index of the first record of an empty log, 1 by default; earlier records are covered by a snapshot. */
	readonly startIndex?: number | undefined;
	readonly syncFile?: SyncFile | undefined;
	/** Called after records were written and before they are synced. */
	readonly onWillSync?: (() => void) | undefined;
}

/** An opened log with the records found on the disk. */
export interface OpenedLog {
	readonly log: SegmentedLog;
	readonly records: readonly LogRecord[];
	/** Size of the torn write that was removed from the end of the log. */
	readonly cutBytes: number;
}

/** Default size of a segment. */
export const defaultSegmentBytes = 16 * 1024 * 1024;

/** An append-only log; an append resolves once its records are synced to the disk. */
export class SegmentedLog {
	private readonly _segments: Segment[] = [];
	private readonly _syncFile: SyncFile;
	private _handle: FileHandle | undefined;
	private _failure: Error | undefined;
	private _nextIndex = 1;

	private constructor(
		private readonly _folder: string,
		private readonly _syncedIndexFile: SyncedIndexFile,
		private readonly _options: SegmentedLogOptions,
	) {
		this._syncFile = _options.syncFile ?? syncFileData;
		this._nextIndex = _options.startIndex ?? 1;
	}

	/**
	 * Opens the log in a folder and removes a torn write at its end.
	 *
	 * @throws StorageError `damaged`, with file and offset, when a synced record is unreadable or missing
	 * @example
	 * const { log, records } = await SegmentedLog.open('/data/log', { segmentBytes: defaultSegmentBytes });
	 * await log.append([{ index: records.length + 1, payload }]);
	 */
	static async open(folder: string, options: SegmentedLogOptions): Promise<OpenedLog> {
		try {
			await mkdir(folder, { recursive: true });
			await syncFolder(path.dirname(folder));
			const syncedIndexFile = await SyncedIndexFile.open(path.join(folder, 'synced'));
			const log = new SegmentedLog(folder, syncedIndexFile, options);
			return await log._load();
		} catch (error) {
			throw toStorageError(error, folder);
		}
	}

	/** Index of the first record, or of the next record when the log is empty. */
	get firstIndex(): number {
		return this._segments[0]?.firstIndex ?? this._nextIndex;
	}

	/** Index that the next record must have. */
	get nextIndex(): number {
		return this._nextIndex;
	}

	/**
	 * Appends records with one write and one sync.
	 *
	 * @throws StorageError `failed`; all later operations fail too, because the content of the disk is unknown after a
	 *   failed sync
	 */
	append(records: readonly LogRecord[]): Promise<void> {
		return this._runUnlessFailed(async () => {
			const [first] = records;
			if (first === undefined) {
				return;
			}
			if (first.index !== this._nextIndex) {
				throw new RangeError(`Record ${first.index} can't follow record ${this._nextIndex - 1}.`);
			}
			const segment = await this._openSegmentForAppend();
			const bytes = encodeRecords(records, this._nextIndex - 1);
			await writeFully(this._requireHandle(), bytes, segment.sizeBytes);
			this._options.onWillSync?.();
			await this._syncFile(this._requireHandle());
			this._recordAppended(segment, records);
			this._syncedIndexFile.raise(this._nextIndex - 1);
		});
	}

	/** Removes the records after an index. */
	truncateAfter(lastIndex: number): Promise<void> {
		return this._runUnlessFailed(async () => {
			if (lastIndex >= this._nextIndex - 1) {
				return;
			}
			await this._syncedIndexFile.setDurably(Math.min(this._syncedIndexFile.index, lastIndex));
			while ((this._segments.at(-1)?.firstIndex ?? 0) > lastIndex) {
				await this._removeSegment(this._segments.length - 1);
			}
			const segment = this._segments.at(-1);
			if (segment !== undefined) {
				const keptRecords = lastIndex - segment.firstIndex + 1;
				segment.sizeBytes = segment.recordEndOffsetsBytes[keptRecords - 1] ?? segmentHeaderBytes;
				segment.recordEndOffsetsBytes.length = keptRecords;
				await truncateFile(segment.file, segment.sizeBytes);
			}
			this._nextIndex = lastIndex + 1;
		});
	}

	/** Removes segments in which all records precede an index. */
	dropBefore(index: number): Promise<void> {
		return this._runUnlessFailed(async () => {
			while ((this._segments[1]?.firstIndex ?? Infinity) <= index) {
				await this._removeSegment(0);
			}
		});
	}

	/** Removes all records and sets the index of the next one. */
	resetTo(nextIndex: number): Promise<void> {
		return this._runUnlessFailed(async () => {
			// The synced index tells where an empty log ended, so that the loss of the snapshot before it is detected.
			await this._syncedIndexFile.setDurably(nextIndex - 1);
			while (this._segments.length > 0) {
				await this._removeSegment(this._segments.length - 1);
			}
			this._nextIndex = nextIndex;
		});
	}

	/** Closes the files. */
	async close(): Promise<void> {
		await this._syncedIndexFile.close();
		await this._handle?.close();
		this._handle = undefined;
	}

	private async _runUnlessFailed(operation: () => Promise<void>): Promise<void> {
		if (this._failure !== undefined) {
			throw this._failure;
		}
		try {
			await operation();
		} catch (error) {
			this._failure = toStorageError(error, this._segments.at(-1)?.file ?? this._folder);
			throw this._failure;
		}
	}

	private async _load(): Promise<OpenedLog> {
		try {
			const scanned = await this._readSegments();
			const records = scanned.flatMap((each) => each.records);
			return { log: this, records, cutBytes: scanned.at(-1)?.cutBytes ?? 0 };
		} catch (error) {
			await this.close();
			throw error;
		}
	}

	private async _readSegments(): Promise<ScannedSegment[]> {
		const firstIndexes = await listFirstIndexes(this._folder);
		const scanned: ScannedSegment[] = [];
		for (const [position, firstIndex] of firstIndexes.entries()) {
			const nextFirstIndex = firstIndexes[position + 1];
			const segment =
				nextFirstIndex === undefined
					? await readLastSegment(this._folder, firstIndex, this._syncedIndexFile.index)
					: await readSealedSegment(this._folder, firstIndex, nextFirstIndex);
			if (segment !== undefined) {
				scanned.push(segment);
				this._segments.push(segment.segment);
			}
		}
		const last = this._segments.at(-1);
		if (last !== undefined) {
			this._nextIndex = last.firstIndex + last.recordEndOffsetsBytes.length;
			this._handle = await open(last.file, 'r+');
		}
		this._requireSyncedRecords();
		return scanned;
	}

	private _requireSyncedRecords(): void {
		const lastIndex = Math.max(this._nextIndex, this._options.startIndex ?? 1) - 1;
		if (lastIndex < this._syncedIndexFile.index) {
			throw createDamagedFileError(
				path.join(this._folder, getSegmentFileName(lastIndex + 1)),
				0,
				`Records ${lastIndex + 1} to ${this._syncedIndexFile.index} were synced and are gone.`,
			);
		}
	}

	private async _openSegmentForAppend(): Promise<Segment> {
		const last = this._segments.at(-1);
		if (last !== undefined && last.sizeBytes < this._options.segmentBytes) {
			this._handle ??= await open(last.file, 'r+');
			return last;
		}
		const firstIndex = this._nextIndex;
		const file = path.join(this._folder, getSegmentFileName(firstIndex));
		await this._handle?.close();
		this._handle = await open(file, 'w+');
		await writeFully(this._handle, encodeSegmentHeader(firstIndex), 0);
		await this._syncFile(this._handle);
		await syncFolder(this._folder);
		const segment: Segment = { file, firstIndex, sizeBytes: segmentHeaderBytes, recordEndOffsetsBytes: [] };
		this._segments.push(segment);
		return segment;
	}

	private _recordAppended(segment: Segment, records: readonly LogRecord[]): void {
		for (const record of records) {
			segment.sizeBytes += getEncodedSizeBytes(record);
			segment.recordEndOffsetsBytes.push(segment.sizeBytes);
		}
		this._nextIndex += records.length;
	}

	private async _removeSegment(position: number): Promise<void> {
		const [removed] = this._segments.splice(position, 1);
		if (removed === undefined) {
			return;
		}
		if (position === this._segments.length) {
			await this._handle?.close();
			this._handle = undefined;
		}
		await unlink(removed.file);
		await syncFolder(this._folder);
	}

	private _requireHandle(): FileHandle {
		if (this._handle === undefined) {
			throw new Error('The log has no open segment.');
		}
		return this._handle;
	}
}
