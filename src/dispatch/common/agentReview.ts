/** Reviews the health of the workers of each pool, which are compared with each other. */

import type { AgentRow } from './agentTable.js';
import type { IDispatchHost } from './dispatchHost.js';
import { reviewHealth } from './workerHealth.js';

/**
 * Brings the health of all connected workers up to date, and logs those that begin to rest.
 *
 * @example
 * reviewPools(agents.all, host, nowMs);
 */
export function reviewPools(agents: Iterable<AgentRow>, host: IDispatchHost, nowMs: number): void {
	const byPool = new Map<string, AgentRow[]>();
	for (const agent of agents) {
		if (agent.linkId !== undefined && agent.hasState) {
			const pool = byPool.get(agent.state.pool) ?? [];
			pool.push(agent);
			byPool.set(agent.state.pool, pool);
		}
	}
	for (const pool of byPool.values()) {
		for (const { agentId, state } of reviewHealth(pool, nowMs)) {
			const { pace, speed, failedEnds, doneEnds } = state;
			host.log('warn', 'worker.resting', { agentId, pace, speed, failedEnds, doneEnds });
		}
	}
}
