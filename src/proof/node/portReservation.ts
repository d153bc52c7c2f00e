/**
 * Ports that a test must know before the process that binds them starts.
 *
 * A reservation is held by an abstract Unix socket named after the port. The kernel gives the name to one holder
 * in a network namespace and takes it back when the holder ends, so test files that run at the same time never
 * choose the same port, and no lock file is left behind. The ports lie below the range that the kernel hands out
 * for port 0.
 */

import { createServer, type Server } from 'node:net';
import { toDisposable, type IDisposable } from '../../base/common/disposable.js';

const firstPort = 10_000;

/** Below 32768, where Linux starts to hand out ports by itself. */
const lastPort = 32_000;

const maxAttempts = 200;

/** A port that no other reservation holds until it is disposed. */
export interface IPortReservation extends IDisposable {
	readonly port: number;
	/** The port on the loopback interface, such as `127.0.0.1:14000`. */
	readonly address: string;
}

/**
 * Reserves a free loopback port.
 *
 * @throws Error when no port was free in many attempts
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
	const guard = await tryListen({ path: `\0yuccaarch-port-${port}` });
	if (guard === undefined) {
		return undefined;
	}
	const probe = await tryListen({ host: '127.0.0.1', port });
	if (probe === undefined) {
		guard.close();
		return undefined;
	}
	await new Promise<void>((resolve) => {
		probe.close(() => {
			resolve();
		});
	});
	guard.unref();
	return {
		port,
		address: `127.0.0.1:${port}`,
		...toDisposable(() => {
			guard.close();
		}),
	};
}

function tryListen(where: { path: string } | { host: string; port: number }): Promise<Server | undefined> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(where, () => {
			resolve(server);
		});
	});
}
