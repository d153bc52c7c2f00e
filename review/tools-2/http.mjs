/** One HTTP call with JSON bodies, as clients and the operator make it. */

import { request } from 'node:http';
import { Buffer } from 'node:buffer';
import { setTimeout, clearTimeout } from 'node:timers';

/**
 * Resolves to status and body, or to a status of 0 when there is no response. The connection is not used again.
 */
export function call(method, address, path, { body, headers = {}, timeoutMs = 1000 } = {}) {
	const [host, port] = address.split(':');
	const content = body === undefined ? undefined : JSON.stringify(body);
	return new Promise((resolve) => {
		let isSettled = false;
		const settle = (result) => {
			if (!isSettled) {
				isSettled = true;
				clearTimeout(timer);
				resolve(result);
			}
		};
		const outgoing = request({
			...{ host, port, method, path, agent: false },
			headers: {
				...headers,
				...(content === undefined
					? {}
					: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) }),
			},
		});
		const timer = setTimeout(() => {
			outgoing.destroy();
			settle({ status: 0, reason: 'no response in time', headers: {} });
		}, timeoutMs);
		outgoing.on('error', (error) => settle({ status: 0, reason: error.code ?? error.message, headers: {} }));
		outgoing.on('response', (response) => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', (chunk) => {
				text += chunk;
			});
			response.on('error', (error) => settle({ status: 0, reason: error.message, headers: {} }));
			response.on('aborted', () => settle({ status: 0, reason: 'broken off', headers: {} }));
			response.on('end', () => {
				let parsed;
				try {
					parsed = JSON.parse(text);
				} catch {
					parsed = undefined;
				}
				settle({ status: response.statusCode, body: parsed, headers: response.headers });
			});
		});
		outgoing.end(content);
	});
}
