/** Errors of durable files. */

/**
 * `locked`: another process holds the folder. `damaged`: a file doesn't hold what was written and synced.
 * `failed`: the operating system refused a write or a sync.
 */
export type StorageErrorKind = 'locked' | 'damaged' | 'failed';

/** A fault of the data folder. The process can't go on with it. */
export class StorageError extends Error {
	constructor(
		readonly errorKind: StorageErrorKind,
		message: string,
		/** File or folder at fault. */
		readonly file: string,
		/** Where the damage begins, for `damaged`. */
		readonly offsetBytes?: number,
	) {
		super(message);
		this.name = 'StorageError';
	}
}

/** What an operator does about damage; the same for every file, because a keeper's disk can always be replaced. */
const damageRemedy =
	'Stop this keeper, move its data folder away and start it again with an empty one: it rejoins the group as ' +
	'a learner. In a group of one, restore the folder from a backup.';

/**
 * Describes damage to a file.
 *
 * @example
 * throw damagedFile('/data/state', 0, 'Its checksum does not match.');
 */
export function damagedFile(file: string, offsetBytes: number, reason: string): StorageError {
	return new StorageError(
		'damaged',
		`The file ${file} is damaged at offset ${offsetBytes}. ${reason} ${damageRemedy}`,
		file,
		offsetBytes,
	);
}
