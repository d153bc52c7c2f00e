/** The file operations that durability depends on. */

import { open, type FileHandle } from 'node:fs/promises';
import { describeError } from '../../../base/common/errors.js';
import { StorageError } from '../common/storageError.js';

/** Syncs a file; tests replace it to delay a sync or make it fail. */
export type SyncFile = (handle: FileHandle) => Promise<void>;

/** Syncs a file's data, and the metadata that is needed to read it back, to the disk. */
export const syncFileData: SyncFile = (handle) => handle.datasync();

/**
 * Syncs the entries of a folder to the disk. Needed after a file was created, renamed or removed.
 *
 * @example
 * await rename(temporaryFile, file);
 * await syncFolder(folder);
 */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Writes all bytes at an offset; repeats the write, since a single one may write fewer bytes. */
export async function writeFully(
	handle: FileHandle,
	bytes: Uint8Array,
	positionBytes: number,
): Promise<void> {
	let writtenBytes = 0;
	while (writtenBytes < bytes.length) {
		const result = await handle.write(
			bytes,
			writtenBytes,
			bytes.length - writtenBytes,
			positionBytes + writtenBytes,
		);
		writtenBytes += result.bytesWritten;
	}
}

/** Wraps an error of the operating system in a {@link StorageError}; returns a `StorageError` unchanged. */
export function toStorageError(error: unknown, file: string): StorageError {
	if (error instanceof StorageError) {
		return error;
	}
	return new StorageError(
		'failed',
		`The file ${file} can't be read, written or synced (${describeError(error)}). ` +
			'Check the disk, then start the process again.',
		file,
	);
}
