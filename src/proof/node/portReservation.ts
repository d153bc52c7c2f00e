/**
 * Reserves ports that a test must know before it starts the processes that bind them.
 *
 * A reservation is held by an abstract Unix socket named after the port. Within a network
 * namespace, only one process can bind the name, and the kernel releases it when that process ends. Test files that
 * run at the same time therefore never choose the same port, and no lock file is left behind. The ports lie below
 * the range that the kernel assigns for port 0.
 */

import { createServer, type Server } from 'node:net';
import { toDisposable, type IDisposable } from '../../base/common/disposable.js';

const firstPort = 10_000;

/** Below 32768, where the ephemeral port range of Linux starts. */
const lastPort = 32_000;

const maxAttempts = 200;

/** Reserves a port exclusively until it is disposed. */
export interface IPortReservation extends IDisposable {
	readonly port: number;
	/** Loopback address with the port, such as `127.0.0.1:14000`. */
	readonly address: string;
}

/**
 * Reserves a free loopback port.
 *
 * @throws Error when no free port was found in {@link maxAttempts} attempts
 * @example
 * const reservation = store.add(await reservePort());
 * await writeSettings({ peerAddress: reservation.address });
 */
export async function reservePort(random: () => number = Math.random): Promise<IPortReservation> {
	for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
		const port = firstPort + Math.floor(random() * (lastPort - firstPort));
		const reservation = await tryReserve(port);
		if (reservation !== undefined) {
			return reservation;
		}
	}
	throw new Error(`No free port between ${firstPort} and ${lastPort} was found in ${maxAttempts} attempts.`);
}

async function tryReserve(port: number): Promise<IPortReservation | undefined> {
	const lockSocket = await tryListen({ path: `\0yuccaarch-port-${port}` });
	if (lockSocket === undefined) {
		return undefined;
	}
	const probe = await tryListen({ host: '127.0.0.1', port });
	if (probe === undefined) {
		lockSocket.close();
		return undefined;
	}
	await new Promise<void>((resolve) => {
		probe.close(() => {
			resolve();
		});
	});
	lockSocket.unref();
	return {
		port,
		address: `127.0.0.1:${port}`,
		...toDisposable(() => {
			lockSocket.close();
		}),
	};
}

function tryListen(endpoint: { path: string } | { host: string; port: number }): Promise<Server | undefined> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(endpoint, () => {
			resolve(server);
		});
	});
}
