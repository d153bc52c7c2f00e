/**
 * Kills the current process when its parent ends. Loaded into each child process by `node --import`.
 *
 * The parent holds the other end of the child's standard input and never writes to it. The pipe closes however the
 * parent ends, even by SIGKILL, so no process of a test or of the demo is left behind.
 */

import { stdin } from 'node:process';

const killSelf = (): void => {
	process.kill(process.pid, 'SIGKILL');
};
stdin.on('end', killSelf);
stdin.on('error', killSelf);
stdin.resume();
stdin.unref();
