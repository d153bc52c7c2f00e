/** Keeps routes whose tasks crash workers on a part of the workers, so that the other routes keep theirs. */

import { rendezvousOrder } from '../../base/common/rendezvous.js';
import type { AgentRow, AgentTable } from './agentTable.js';
import type { CrashHistory } from './crashHistory.js';
import { findCrashingRoutes } from './crashingRoutes.js';
import type { IDispatchHost } from './dispatchHost.js';
import type { JobRequest } from './jobs.js';
import { RouteDemand } from './routeDemand.js';

/** Interval at which a pool's division is renewed, since demand and workers change. */
const renewalIntervalMs = 100;

/** Division of a pool's agents. */
interface Division {
	readonly renewedAtMs: number;
	/** Agents of each confined route. */
	readonly byRoute: ReadonlyMap<string, ReadonlySet<string>>;
	/** Agents of all other routes. */
	readonly others: ReadonlySet<string>;
}

/**
 * Decides which agents a route may use. Entries agree without asking each other, since agents report
 * each crash to all of them.
 *
 * @example
 * const allowedAgentIds = confinement.getAllowedAgentIds(request, nowMs);
 */
export class RouteConfinement {
	private readonly _demand = new RouteDemand();
	private readonly _confinedByPool = new Map<string, ReadonlySet<string>>();
	private readonly _divisions = new Map<string, Division>();

	constructor(
		private readonly _host: IDispatchHost,
		private readonly _agents: AgentTable,
		private readonly _crashes: CrashHistory,
	) {}

	/** Number of routes that are confined. */
	get confinedRouteCount(): number {
		return [...this._confinedByPool.values()].reduce((sum, { size }) => sum + size, 0);
	}

	/** Returns whether a route is confined. */
	isConfined(pool: string, route: string): boolean {
		return this._confinedByPool.get(pool)?.has(route) === true;
	}

	/** Records a job that has arrived. */
	recordJob(request: JobRequest, nowMs: number): void {
		this._demand.record(request, nowMs);
	}

	/** Reviews which routes are confined. Called after each new crash and regularly. */
	update(nowMs: number): void {
		for (const pool of this._crashes.getPools()) {
			const before = this._confinedByPool.get(pool) ?? new Set();
			const after = findCrashingRoutes(this._crashes.getOfPool(pool), before, nowMs);
			const hasChanged = after.size !== before.size || [...after].some((route) => !before.has(route));
			this._confinedByPool.set(pool, after);
			if (hasChanged) {
				this._divisions.delete(pool);
				const division = this._getDivision(pool, nowMs);
				this._host.log('warn', 'routes.confined', {
					pool,
					routes: [...after],
					agents: [...(division?.byRoute ?? [])].map(([route, ids]) => `${route}: ${[...ids].join(' ')}`),
				});
			}
		}
	}

	/** Returns the agents that a job's tasks may use; `undefined` when they may use all. */
	getAllowedAgentIds({ pool, route }: JobRequest, nowMs: number): ReadonlySet<string> | undefined {
		const division = this._getDivision(pool, nowMs);
		return division?.byRoute.get(route) ?? division?.others;
	}

	private _getDivision(pool: string, nowMs: number): Division | undefined {
		const confined = this._confinedByPool.get(pool);
		if (confined === undefined || confined.size === 0) {
			return undefined;
		}
		const known = this._divisions.get(pool);
		if (known !== undefined && nowMs - known.renewedAtMs < renewalIntervalMs) {
			return known;
		}
		const agents = [...this._agents.all].filter((agent) => agent.hasReported && agent.state.pool === pool);
		const shares = new Map(
			[...confined].sort().map((route) => [route, this._demand.getShare(pool, route, nowMs)]),
		);
		const division = { renewedAtMs: nowMs, ...divideAgents(pool, agents, shares) };
		this._divisions.set(pool, division);
		return division;
	}
}

/**
 * Divides agents among confined routes, in proportion to their share of the work and at least one each, and all others. At least
 * one agent remains for the others while they have any work.
 */
function divideAgents(
	pool: string,
	agents: readonly AgentRow[],
	shares: ReadonlyMap<string, number>,
): Omit<Division, 'renewedAtMs'> {
	const capacities = new Map(agents.map(({ agentId, state }) => [agentId, state.capacity.cpuMillis]));
	const totalCpuMillis = [...capacities.values()].reduce((sum, cpuMillis) => sum + cpuMillis, 0);
	const hasOthers = [...shares.values()].reduce((sum, share) => sum + share, 0) < 0.999;
	const order = rendezvousOrder(pool, [...capacities.keys()]);
	const byRoute = new Map<string, ReadonlySet<string>>();
	let next = 0;
	for (const [route, share] of shares) {
		const ids = new Set<string>();
		let cpuMillis = 0;
		const last = order.length - (hasOthers ? 1 : 0);
		while (next < last) {
			const agentId = order[next] ?? '';
			const agentCpuMillis = capacities.get(agentId) ?? 0;
			if (ids.size > 0 && cpuMillis + agentCpuMillis / 2 > share * totalCpuMillis) {
				break;
			}
			ids.add(agentId);
			cpuMillis += agentCpuMillis;
			next += 1;
		}
		// With more confined routes than workers, the last ones share a worker.
		byRoute.set(route, ids.size > 0 ? ids : new Set(order.slice(Math.max(0, next - 1), next)));
	}
	return { byRoute, others: new Set(order.slice(hasOthers ? next : 0)) };
}
