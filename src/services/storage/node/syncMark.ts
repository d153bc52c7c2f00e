/**
 * Remembers up to which index a log was synced, so that a damaged last record isn't taken for a torn write.
 *
 * The mark follows the syncs of the log and isn't synced itself: it may lag, which only costs detection, but it never
 * runs ahead of the log. Before the log shrinks, the mark is lowered and synced.
 */

import { open, type FileHandle } from 'node:fs/promises';
import { crc32 } from 'node:zlib';
import { syncFileData, writeFully } from './diskAccess.js';

const indexBytes = 6;
const markBytes = indexBytes + 4;

/** The mark of one log. */
export class SyncMark {
	private _index = 0;
	private _writing: Promise<void> | undefined;

	private constructor(private readonly _handle: FileHandle) {}

	/** Opens the mark's file, or creates it. An unreadable mark counts as none. */
	static async open(file: string): Promise<SyncMark> {
		const handle = await open(file, 'a+').then(async (created) => {
			await created.close();
			return open(file, 'r+');
		});
		const mark = new SyncMark(handle);
		const bytes = Buffer.alloc(markBytes);
		const { bytesRead } = await handle.read(bytes, 0, markBytes, 0);
		if (bytesRead === markBytes && crc32(bytes.subarray(0, indexBytes)) === bytes.readUInt32BE(indexBytes)) {
			mark._index = bytes.readUIntBE(0, indexBytes);
		}
		return mark;
	}

	/** Highest index known to be synced. */
	get index(): number {
		return this._index;
	}

	/** Raises the mark after a sync of the log, without waiting for the disk. */
	raise(index: number): void {
		this._index = index;
		this._writing ??= this._writeLatest();
	}

	/** Sets the mark and waits until that is on the disk. */
	async set(index: number): Promise<void> {
		this._index = index;
		await this._writing;
		await this._write();
		await syncFileData(this._handle);
	}

	async close(): Promise<void> {
		await this._writing;
		await this._handle.close();
	}

	private async _writeLatest(): Promise<void> {
		let writtenIndex: number;
		try {
			do {
				writtenIndex = this._index;
				await this._write();
			} while (writtenIndex !== this._index);
		} catch {
			// A mark that can't be written only lags; the log's own sync reports a failing disk.
		} finally {
			this._writing = undefined;
		}
	}

	private async _write(): Promise<void> {
		const bytes = Buffer.alloc(markBytes);
		bytes.writeUIntBE(this._index, 0, indexBytes);
		bytes.writeUInt32BE(crc32(bytes.subarray(0, indexBytes)), indexBytes);
		await writeFully(this._handle, bytes, 0);
	}
}
