/** Shutdown of HTTP servers, at once or after the last responses. */

import type { Server } from 'node:http';
import { toDisposable, type IDisposable } from '../../../base/common/disposable.js';

/** Returns a disposable that closes a server and all its connections at once. */
export function toServerDisposable(server: Server): IDisposable {
	return toDisposable(() => {
		server.close();
		server.closeAllConnections();
	});
}

/** Stops listening, closes idle connections, and resolves once the remaining connections have ended. */
export function drainServer(server: Server): Promise<void> {
	return new Promise((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}
