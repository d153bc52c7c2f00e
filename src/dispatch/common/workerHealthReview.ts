/** Reviews worker health pool by pool, since workers are compared with the others of their pool. */

import type { AgentRow } from './agentTable.js';
import type { IDispatchHost } from './dispatchHost.js';
import { reviewHealth } from './workerHealth.js';

/**
 * Updates the health of all connected workers, and logs those that stop getting tasks.
 *
 * @example
 * reviewPools(agents.all, host, nowMs);
 */
export function updateWorkerHealth(agents: Iterable<AgentRow>, host: IDispatchHost, nowMs: number): void {
	const byPool = new Map<string, AgentRow[]>();
	for (const agent of agents) {
		if (agent.connectionId !== undefined && agent.hasReported) {
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
