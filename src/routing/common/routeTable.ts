/** Index of a routing document: finds the route of a request. */

import type { JobRoute, RoutingDocument } from './routingDocument.js';

/** A route that was found, and what follows its prefix in the path. */
export interface RouteMatch {
	readonly route: JobRoute;
	readonly rest: string;
	/** Whether the workers of the route's pool refuse tasks that exceed their capacity. */
	readonly isCapacityEnforced: boolean;
}

/**
 * Routes by host and prefix.
 *
 * @example
 * const match = new RouteTable(document).find('a.example', '/lookup/42');
 */
export class RouteTable {
	private readonly _byHost = new Map<string, Map<string, JobRoute>>();

	private readonly _enforcingPools: ReadonlySet<string>;

	constructor(readonly document: RoutingDocument) {
		this._enforcingPools = new Set(
			document.pools.filter((pool) => pool.enforcesCapacity).map((pool) => pool.name),
		);
		for (const route of document.routes) {
			const host = route.host.toLowerCase();
			const prefixes = this._byHost.get(host) ?? new Map<string, JobRoute>();
			prefixes.set(route.pathPrefix, route);
			this._byHost.set(host, prefixes);
		}
	}

	/** Finds the route with the longest prefix; `undefined` when there is none. */
	find(host: string, path: string): RouteMatch | undefined {
		const prefixes = this._byHost.get(host.toLowerCase());
		if (prefixes === undefined) {
			return undefined;
		}
		for (let length = path.length; length >= 0; length -= 1) {
			const route = prefixes.get(path.slice(0, length));
			if (route !== undefined) {
				return {
					route,
					rest: path.slice(length),
					isCapacityEnforced: this._enforcingPools.has(route.pool),
				};
			}
		}
		return undefined;
	}
}
