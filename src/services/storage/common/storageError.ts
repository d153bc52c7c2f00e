/** Errors of the files in the data folder. */

/**
 * Cause of a storage error. `locked`: another process has locked the folder. `damaged`: a file doesn't hold what was
 * written and synced. `failed`: the operating system reported an error on a file or the lock.
 */
export type StorageErrorKind = 'locked' | 'damaged' | 'failed';

/** Thrown when the data folder can't be used; the process must stop. */
export class StorageError extends Error {
	constructor(
		readonly errorKind: StorageErrorKind,
		message: string,
		/** File or folder that caused the error. */
		readonly file: string,
		/** Offset at which the damage begins, for `damaged`. */
		readonly offsetBytes?: number,
	) {
		super(message);
		this.name = 'StorageError';
	}
}

/** Remedy for a damaged file; the same for all files, because a keeper can always start again with an empty folder. */
const damageRemedy =
	'Stop this keeper, move its data folder away and start it again with an empty one: it rejoins the group as ' +
	'a learner. In a group of one, restore the folder from a backup.';

/**
 * Creates the error for a damaged file.
 *
 * @param reason what is wrong with the file, as a whole sentence
 *
 * @example
 * throw createDamagedFileError('/data/state', 0, 'Its checksum does not match.');
 */
export function createDamagedFileError(file: string, offsetBytes: number, reason: string): StorageError {
	return new StorageError(
		'damaged',
		`The file ${file} is damaged at offset ${offsetBytes}. ${reason} ${damageRemedy}`,
		file,
		offsetBytes,
	);
}
