/** The few operations on files that durability rests on. */

import { open, type FileHandle } from 'node:fs/promises';
import { describeError } from '../../../base/common/errors.js';
import { StorageError } from '../common/storageError.js';

/** Syncs a file; an abstraction so that tests can delay it or make it fail. */
export type SyncFile = (handle: FileHandle) => Promise<void>;

/** Waits until the file's data, and what is needed to read it back, is on the disk. */
export const syncFileData: SyncFile = (handle) => handle.datasync();

/**
 * Waits until the names in a folder are on the disk. Needed after a file was created, renamed or removed.
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

/** Writes all bytes at a position; a single write may take fewer. */
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

/** Turns an error of the operating system into the storage's own. */
export function toStorageError(error: unknown, file: string): StorageError {
	if (error instanceof StorageError) {
		return error;
	}
	return new StorageError(
		'failed',
		`The file ${file} can't be read, written or synced: ${describeError(error)} ` +
			'Check the disk, then start the process again.',
		file,
	);
}
