/** Ends of HTTP servers. */

import type { Server } from 'node:http';
import { toDisposable, type IDisposable } from '../../../base/common/disposable.js';

/** Owns a server: when disposed it closes at once, with every connection. */
export function ownServer(server: Server): IDisposable {
	return toDisposable(() => {
		server.close();
		server.closeAllConnections();
	});
}

/** Stops to listen, lets the last responses out and closes connections that wait for nothing. */
export function drainServer(server: Server): Promise<void> {
	return new Promise((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeIdleConnections();
	});
}
