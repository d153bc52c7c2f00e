/** Binds servers to addresses given in settings. */

import type { AddressInfo, Server } from 'node:net';
import { describeError } from '../../../base/common/errors.js';
import { TransportError } from '../common/transport.js';
import { formatAddress, parseAddress } from './address.js';

/**
 * Starts listening and returns the bound address; with port 0, the system chooses a free port.
 *
 * @param addressLabel name of the address in the error message
 * @throws TransportError when the address isn't an IP number and a port, or can't be bound
 * @example
 * const bound = await listenOn(createServer(), '127.0.0.1:0');
 */
export async function listenOn(
	server: Server,
	address: string,
	addressLabel = 'The address',
): Promise<string> {
	const { host, port } = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', (error) => {
			reject(new TransportError(`${addressLabel} ${address} can't be bound: ${describeError(error)}.`));
		});
		server.listen({ host, port }, resolve);
	});
	const bound = server.address() as AddressInfo;
	return formatAddress(bound.address, bound.port);
}
