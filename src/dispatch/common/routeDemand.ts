/** Measures how much work each route asks for, whether it is admitted or not. */

import type { JobRequest } from './jobs.js';

/** Time after which work counts half. */
const halfLifeMs = 5000;

interface Demand {
	coreMs: number;
	updatedAtMs: number;
}

/**
 * Recent work of each route.
 *
 * @example
 * demand.record(request, nowMs);
 * const share = demand.getShare('pool', 'route', nowMs);
 */
export class RouteDemand {
	private readonly _demandByPool = new Map<string, Map<string, Demand>>();

	/** Records the work of a job that has arrived. */
	record({ pool, route, needs, estimateMs, taskCount }: JobRequest, nowMs: number): void {
		const byRoute = this._demandByPool.get(pool) ?? new Map<string, Demand>();
		this._demandByPool.set(pool, byRoute);
		const coreMs = (needs.cpuMillis / 1000) * estimateMs * taskCount;
		byRoute.set(route, { coreMs: decay(byRoute.get(route), nowMs) + coreMs, updatedAtMs: nowMs });
	}

	/** Returns the share of a route in the work of its pool, from 0 to 1. */
	getShare(pool: string, route: string, nowMs: number): number {
		const byRoute = this._demandByPool.get(pool) ?? new Map<string, Demand>();
		const total = [...byRoute.values()].reduce((sum, demand) => sum + decay(demand, nowMs), 0);
		return total > 0 ? decay(byRoute.get(route), nowMs) / total : 0;
	}
}

function decay(demand: Demand | undefined, nowMs: number): number {
	return demand === undefined ? 0 : demand.coreMs * 2 ** (-(nowMs - demand.updatedAtMs) / halfLifeMs);
}
