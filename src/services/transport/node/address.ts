/** Parses and formats addresses of an IP number and a port. */

import { isIP } from 'node:net';
import { TransportError } from '../common/transport.js';

/** Host and port of a parsed address. */
export interface HostAndPort {
	readonly host: string;
	readonly port: number;
}

/**
 * Parses an address; an IPv6 address is given in brackets.
 *
 * @throws TransportError when the text isn't an IP number and a port
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

/** Formats an address; an IPv6 host is put in brackets. */
export function formatAddress(host: string, port: number): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
