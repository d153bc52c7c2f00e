/**
 * Chooses where a task that was at a crashed worker is started again. Load pattern: a task crashes its worker, and all that ran
 * there is started again by several entries. If they shared the next worker with it, they would be lost again, and it could not
 * be told which of them crashes workers.
 */

import { rendezvousOrder } from '../../base/common/rendezvous.js';
import type { CrashSuspicion } from './crashHistory.js';

/** Delay of suspects that have to share a worker with an earlier one; most crashes have shown by then. */
const waveDelayMs = 150;
/** Number of agents that are kept for the prime suspect: entries may differ about whether the first one is eligible. */
const primeAgentCount = 2;

/**
 * Returns the agent that a suspect may use. All entries choose alike without asking each other. The prime suspect, which had
 * started last, gets a worker without other suspects of that crash, and those are spread over the remaining workers.
 *
 * @param sinceLossMs time since the suspect's run was lost
 * @param agentIds agents of the pool, also those whose workers are down
 * @returns `undefined` when no agent is eligible, or the suspect has to wait for those before it
 * @example
 * const agentId = chooseSuspectAgent({ crash, rank: 0 }, 0, ['agent-1', 'agent-2'], () => true);
 */
export function chooseSuspectAgent(
	{ crash, rank }: CrashSuspicion,
	sinceLossMs: number,
	agentIds: readonly string[],
	isEligible: (agentId: string) => boolean,
): string | undefined {
	// The crashed worker is down at first, and its agent would pass its share on to another one.
	const order = rendezvousOrder(
		crash.workerKey,
		agentIds.filter((agentId) => agentId !== crash.agentId),
	);
	if (order.length === 0) {
		return agentIds.find(isEligible);
	}
	if (rank === 0) {
		return order.find(isEligible);
	}
	const others = order.slice(Math.min(primeAgentCount, Math.floor(order.length / 2)));
	const wave = Math.floor((rank - 1) / Math.max(1, others.length));
	if (sinceLossMs < wave * waveDelayMs) {
		return undefined;
	}
	const position = (rank - 1) % Math.max(1, others.length);
	return [...others.slice(position), ...others.slice(0, position), ...order].find(isEligible);
}
