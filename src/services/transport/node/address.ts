/** Addresses of processes: an IP number and a port. */

import { isIP } from 'node:net';
import { TransportError } from '../common/transport.js';

/** An address taken apart. */
export interface HostAndPort {
	readonly host: string;
	readonly port: number;
}

/**
 * Takes an address apart.
 *
 * @throws TransportError when it isn't an IP number and a port
 * @example
 * parseAddress('127.0.0.1:7000'); // { host: '127.0.0.1', port: 7000 }
 */
export function parseAddress(address: string): HostAndPort {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replace(/^\[(.*)\]$/, '$1');
	const port = Number(address.slice(separator + 1));
	if (separator < 1 || isIP(host) === 0 || !Number.isInteger(port) || port < 0 || port > 65535) {
		throw new TransportError(`"${address}" is not an IP number and a port, such as 127.0.0.1:7000.`);
	}
	return { host, port };
}

/** Joins a host and a port. */
export function formatAddress(host: string, port: number): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
