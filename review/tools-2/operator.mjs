/** The operator: sends configs and reads them back, at any keeper, as PROTOCOL.md says. */

import { performance } from 'node:perf_hooks';
import { call } from './http.mjs';
import { sleep } from './deployment.mjs';

/** Creates a config with one route, or more. */
export function createConfig(version, timeoutMs = 1500, extra = {}) {
	return {
		version,
		routes: [
			{
				...{ name: 'r-one', host: 'one.example', pathPrefix: '/one/', type: 'unsafe', timeoutMs },
				...{ sloMs: 60, priority: 0, service: 'ledger', attempts: 2, stretch: 1.6, ...extra },
			},
		],
		services: [
			{
				...{ name: 'ledger', healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false },
				...{ enforcesCapacity: true, standby: false },
			},
		],
		limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
	};
}

export class Operator {
	constructor(record) {
		this._record = record;
	}

	/** Sends a config until it is acknowledged; returns the keeper that did, or `undefined` when the time is over. */
	async put(config, keepers, limitMs) {
		const endsMs = performance.now() + limitMs;
		for (let attempt = 0; performance.now() < endsMs; attempt += 1) {
			const keeper = keepers[attempt % keepers.length];
			const answer = await call('POST', keeper.fields.listen.control, '/Config.Put', { body: config });
			this._record.write(
				`operator sends version ${config.version} to ${keeper.name}: ${answer.status || answer.reason}`,
			);
			if (answer.status === 200) {
				return keeper;
			}
			await sleep(Math.min(1000, 100 * 2 ** attempt));
		}
		return undefined;
	}

	/** Reads the config once; returns its version, or `undefined` without a 200. */
	async get(keeper) {
		const answer = await call('GET', keeper.fields.listen.control, '/Config.Get');
		const version = answer.status === 200 ? answer.body?.version : undefined;
		this._record.write(
			`operator reads at ${keeper.name}: ${answer.status || answer.reason}, version ${version}`,
		);
		return version;
	}
}
