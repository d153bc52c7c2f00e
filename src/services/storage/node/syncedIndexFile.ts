/**
 * Stores the index up to which a log was synced, so that a damaged last record isn't mistaken for a torn write.
 *
 * The file is written after each sync of the log and isn't synced itself. Its index may be too low after a crash, in
 * which case some damage goes undetected, but it is never too high: before the log shrinks, the index is lowered and
 * synced.
 */

import { open, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { syncFileData, writeFully } from './diskAccess.js';

const indexBytes = 6;
const fileBytes = indexBytes + 4;

/** The file that holds the synced index of one log. */
export class SyncedIndexFile {
	private _index = 0;
	private _pendingWrite: Promise<void> | undefined;

	private constructor(private readonly _handle: FileHandle) {}

	/** Opens or creates the file. An unreadable index counts as 0. */
	static async open(file: string): Promise<SyncedIndexFile> {
		const handle = await open(file, 'a+').then(async (created) => {
			await created.close();
			return open(file, 'r+');
		});
		const opened = new SyncedIndexFile(handle);
		const bytes = Buffer.alloc(fileBytes);
		const { bytesRead } = await handle.read(bytes, 0, fileBytes, 0);
		if (bytesRead === fileBytes && crc32(bytes.subarray(0, indexBytes)) === bytes.readUInt32BE(indexBytes)) {
			opened._index = bytes.readUIntBE(0, indexBytes);
		}
		return opened;
	}

	/** Highest index of the log that is known to be synced. */
	get index(): number {
		return this._index;
	}

	/** Raises the index after a sync of the log, without waiting for the write. */
	raise(index: number): void {
		this._index = index;
		this._pendingWrite ??= this._writeUntilCurrent();
	}

	/** Sets the index and waits until it is synced to the disk. */
	async setDurably(index: number): Promise<void> {
		this._index = index;
		await this._pendingWrite;
		await this._write();
		await syncFileData(this._handle);
	}

	async close(): Promise<void> {
		await this._pendingWrite;
		await this._handle.close();
	}

	private async _writeUntilCurrent(): Promise<void> {
		let writtenIndex: number;
		try {
			do {
				writtenIndex = this._index;
				await this._write();
			} while (writtenIndex !== this._index);
		} catch {
			// The stored index is only too low then; a failing disk is reported by the sync of the log.
		} finally {
			this._pendingWrite = undefined;
		}
	}

	private async _write(): Promise<void> {
		const bytes = Buffer.alloc(fileBytes);
		bytes.writeUIntBE(this._index, 0, indexBytes);
		bytes.writeUInt32BE(crc32(bytes.subarray(0, indexBytes)), indexBytes);
		await writeFully(this._handle, bytes, 0);
	}
}
