/** Rules by which starts are refused. A refused start is fenced by the caller, so that it never runs later. */

import type {
	NotStartedReason,
	StartBatch,
	StartTasksMessage,
} from '../../../protocol/common/agentMessages.js';
import type { AgentTick } from '../agentTables.js';
import type { TaskRecord } from '../taskRecord.js';
import { canEverFit } from './admissionSystem.js';
import { isAccepting } from './membershipSystem.js';

/** Why no task of a message may be started. */
export function messageRefusal(
	tick: AgentTick,
	message: StartTasksMessage,
	tablesAgeMs: number,
): NotStartedReason | undefined {
	const { tables } = tick;
	if (tables.upstream === undefined) {
		return 'noUpstream';
	}
	if (!isAccepting(tick)) {
		return 'leaving';
	}
	if (message.epoch < tables.epochOf(tables.upstream.offer.pool)) {
		return 'olderEpoch';
	}
	const limitMs = tables.options.freshnessLimitMs;
	if (tablesAgeMs > limitMs && message.ageMs !== undefined && message.ageMs > limitMs) {
		return 'staleTables';
	}
	return undefined;
}

/** Why no task of a batch may be started. */
export function batchRefusal(
	tick: AgentTick,
	message: StartTasksMessage,
	batch: StartBatch,
): NotStartedReason | undefined {
	const { tables } = tick;
	const pool = tables.upstream?.offer.pool;
	// A sender whose tables are newer, or hold the pool, knows of routes that this agent has yet to hear of.
	const knowsRoutes = message.revision <= tables.declarations.revision && tables.knowsPool(pool);
	if (knowsRoutes && tables.poolOfRoute.get(batch.route) !== pool) {
		return 'otherPool';
	}
	if (!canEverFit(tables, batch.route, batch.needs)) {
		return 'doesNotFit';
	}
	return undefined;
}

/** Why one task may not be started. */
export function taskRefusal(tick: AgentTick, known: TaskRecord | undefined): NotStartedReason | undefined {
	const { tasks, options, upstream } = tick.tables;
	if (known === undefined && tasks.size >= options.maxRememberedTasks) {
		return 'identitiesFull';
	}
	const freeSlots = Math.max(0, (upstream?.offer.slots ?? 0) - tasks.runningCount);
	if (tasks.queue.length >= freeSlots + options.maxQueuedTasks) {
		return 'queueFull';
	}
	return undefined;
}
