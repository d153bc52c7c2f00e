/** Index of a routing document that finds the route of a request. */

import type { JobRoute, RoutingDocument } from './routingDocument.js';

/** Route that matches a request. */
export interface RouteMatch {
	readonly route: JobRoute;
	/** Part of the path after the route's prefix. */
	readonly pathSuffix: string;
	/** Whether the workers of the route's pool refuse tasks that exceed their capacity. */
	readonly isCapacityEnforced: boolean;
}

/**
 * Finds routes by host, ignoring case, and longest path prefix.
 *
 * @example
 * const match = new RouteTable(document).find('a.example', '/lookup/42');
 */
export class RouteTable {
	private readonly _routesByHost = new Map<string, Map<string, JobRoute>>();

	private readonly _capacityEnforcingPools: ReadonlySet<string>;

	constructor(readonly document: RoutingDocument) {
		this._capacityEnforcingPools = new Set(
			document.pools.filter((pool) => pool.enforcesCapacity).map((pool) => pool.name),
		);
		for (const route of document.routes) {
			const host = route.host.toLowerCase();
			const routesByPrefix = this._routesByHost.get(host) ?? new Map<string, JobRoute>();
			routesByPrefix.set(route.pathPrefix, route);
			this._routesByHost.set(host, routesByPrefix);
		}
	}

	/** Finds the route of the host with the longest matching path prefix; `undefined` when none matches. */
	find(host: string, path: string): RouteMatch | undefined {
		const routesByPrefix = this._routesByHost.get(host.toLowerCase());
		if (routesByPrefix === undefined) {
			return undefined;
		}
		for (let length = path.length; length >= 0; length -= 1) {
			const route = routesByPrefix.get(path.slice(0, length));
			if (route !== undefined) {
				return {
					route,
					pathSuffix: path.slice(length),
					isCapacityEnforced: this._capacityEnforcingPools.has(route.pool),
				};
			}
		}
		return undefined;
	}
}
