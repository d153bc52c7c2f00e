/** Small files that are replaced atomically: after a crash, a file holds either the old or the new content. */

import { open, readFile, rename } from 'node:fs/promises';
import path from 'node:path';
import { crc32 } from 'node:zlib';
import { createDamagedFileError } from '../common/storageError.js';
import { syncFileData, syncFolder, toStorageError, writeFully, type SyncFile } from './diskAccess.js';

/** Identifies the format and its version. */
const magic = Buffer.from('YAFILE01');

/** Size of the header: magic (8 bytes), length of the content (4 bytes) and CRC-32 of the content (4 bytes). */
const headerBytes = magic.length + 8;

/** Suffix of the temporary file during a write; a crash may leave one behind, and it is never read. */
export const temporarySuffix = '.tmp';

/**
 * Replaces a file and resolves once the new content would survive a power failure.
 *
 * @throws StorageError `failed` when the file can't be written or synced
 * @example
 * await writeDurableFile('/data/state', Buffer.from(JSON.stringify(state)));
 */
export async function writeDurableFile(
	file: string,
	content: Uint8Array,
	syncFile: SyncFile = syncFileData,
): Promise<void> {
	const temporaryFile = file + temporarySuffix;
	try {
		const handle = await open(temporaryFile, 'w');
		try {
			await writeFully(handle, encodeHeader(content), 0);
			await writeFully(handle, content, headerBytes);
			await syncFile(handle);
		} finally {
			await handle.close();
		}
		await rename(temporaryFile, file);
		await syncFolder(path.dirname(file));
	} catch (error) {
		throw toStorageError(error, file);
	}
}

/**
 * Reads a file that {@link writeDurableFile} wrote; resolves to `undefined` when it doesn't exist.
 *
 * @throws StorageError `damaged` when the header or the checksum is wrong, `failed` when the file can't be read
 */
export async function readDurableFile(file: string): Promise<Buffer | undefined> {
	let bytes: Buffer;
	try {
		bytes = await readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}
		throw toStorageError(error, file);
	}
	if (bytes.length < headerBytes || !bytes.subarray(0, magic.length).equals(magic)) {
		throw createDamagedFileError(file, 0, 'It does not begin with the header of this format.');
	}
	const content = bytes.subarray(headerBytes);
	if (bytes.readUInt32BE(magic.length) !== content.length) {
		throw createDamagedFileError(file, magic.length, 'Its length is not the one in its header.');
	}
	if (bytes.readUInt32BE(magic.length + 4) !== crc32(content)) {
		throw createDamagedFileError(file, headerBytes, 'Its content does not match its checksum.');
	}
	return content;
}

function encodeHeader(content: Uint8Array): Buffer {
	const header = Buffer.alloc(headerBytes);
	magic.copy(header);
	header.writeUInt32BE(content.length, magic.length);
	header.writeUInt32BE(crc32(content), magic.length + 4);
	return header;
}
