// HTTP calls of the stand-ins for clients and the operator.

import { Buffer } from 'node:buffer';
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

/** Sends one request on a channel of its own; resolves to `undefined` after no answer or a broken channel. */
export function call(method, address, path, { body, headers = {}, waitMs = 1000 } = {}) {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const sent = request({
			...{ host, port, method, path, agent: false },
			headers: {
				...(text === undefined
					? {}
					: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
				...headers,
			},
		});
		const timer = setTimeout(() => {
			sent.destroy();
			resolve(undefined);
		}, waitMs);
		sent.on('error', () => {
			clearTimeout(timer);
			resolve(undefined);
		});
		sent.on('response', (response) => {
			let answer = '';
			response.setEncoding('utf8');
			response.on('data', (chunk) => {
				answer += chunk;
			});
			response.on('error', () => {
				clearTimeout(timer);
				resolve(undefined);
			});
			response.on('end', () => {
				clearTimeout(timer);
				resolve({ status: response.statusCode, body: answer });
			});
		});
		sent.end(text);
	});
}

/** The operator: moves on to the next node after a failure, with a growing pause. */
export class Operator {
	constructor(deployment, addresses) {
		this._deployment = deployment;
		this.addresses = addresses;
	}

	/** Sends an order until it is answered clearly or the time is over; returns the answer or `undefined`. */
	async send(method, path, body, forMs) {
		const endMs = performance.now() + forMs;
		let pauseMs = 50;
		for (let attempt = 0; performance.now() < endMs; attempt += 1) {
			const address = this.addresses[attempt % this.addresses.length];
			const answer = await call(method, address, path, { body });
			this._deployment.note('operator', {
				...{ method, path, version: body?.version, address, status: answer?.status },
			});
			if (answer !== undefined && answer.status < 500 && answer.status !== 408 && answer.status !== 429) {
				return answer;
			}
			await sleep(pauseMs);
			pauseMs = Math.min(1000, pauseMs * 1.5);
		}
		return undefined;
	}

	put(config, forMs) {
		return this.send('POST', '/Config.Put', config, forMs);
	}

	get(forMs) {
		return this.send('GET', '/Config.Get', undefined, forMs);
	}
}

export function createConfig(version, { routes, enforcesCapacity = true } = {}) {
	const route = {
		...{ name: 'r-1', host: 'a.example', pathPrefix: '/x/', type: 'unsafe', timeoutMs: 1500, sloMs: 60 },
		...{ priority: 0, service: 's', attempts: 2, stretch: 1.6 },
	};
	return {
		version,
		routes: routes ?? [route],
		services: [
			{
				...{ name: 's', healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false },
				...{ enforcesCapacity, standby: false },
			},
		],
		limits: {
			...{ maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
		},
	};
}
