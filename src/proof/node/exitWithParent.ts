/**
 * Loaded into each child of the harness by `node --import`: ends the child when its parent is gone.
 *
 * The parent holds the other end of the child's standard input and never writes to it. It closes however the
 * parent ends, also by SIGKILL, so no process of a test or of the demo is left behind.
 */

import { stdin } from 'node:process';

const onGone = (): void => {
	process.kill(process.pid, 'SIGKILL');
};
stdin.on('end', onGone);
stdin.on('error', onGone);
stdin.resume();
stdin.unref();
