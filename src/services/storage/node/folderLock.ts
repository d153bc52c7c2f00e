/** An exclusive lock of a data folder, held by one process at a time. */

import { createServer, type Server } from 'node:net';
import { stat } from 'node:fs/promises';
import { describeError } from '../../../base/common/errors.js';
import { toDisposable, type IDisposable } from '../../../base/common/disposable.js';
import { StorageError } from '../common/storageError.js';

/**
 * Locks a folder until the result is disposed.
 *
 * The lock is an abstract Unix socket named after the folder's device and inode. The kernel binds such a name to one
 * socket at a time and releases it when the process ends, also by SIGKILL, so that no stale lock remains. Processes in
 * different network namespaces don't see each other's locks.
 *
 * @throws StorageError `locked` when another process holds the lock, `failed` when it can't be taken otherwise
 * @example
 * const lock = store.add(await lockFolder('/var/lib/yuccaarch'));
 */
export async function lockFolder(folder: string): Promise<IDisposable> {
	const { dev, ino } = await stat(folder, { bigint: true });
	const server = createServer((socket) => {
		socket.destroy();
	});
	await bindLockName(server, `\0yuccaarch-folder-${dev.toString()}-${ino.toString()}`, folder);
	server.unref();
	return toDisposable(() => {
		server.close();
	});
}

function bindLockName(server: Server, name: string, folder: string): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', (error: NodeJS.ErrnoException) => {
			reject(toLockError(error, folder));
		});
		server.listen(name, () => {
			resolve();
		});
	});
}

function toLockError(error: NodeJS.ErrnoException, folder: string): StorageError {
	if (error.code === 'EADDRINUSE') {
		return new StorageError(
			'locked',
			`The data folder ${folder} is in use by another process; stop that process or choose another folder.`,
			folder,
		);
	}
	return new StorageError(
		'failed',
		`The data folder ${folder} can't be locked: ${describeError(error)}.`,
		folder,
	);
}
