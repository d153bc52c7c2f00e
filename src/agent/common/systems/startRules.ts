/** Rules for refusing starts. The caller fences a refused start, so that it never runs later. */

import type {
	NotStartedReason,
	StartBatch,
	StartTasksMessage,
} from '../../../protocol/common/agentMessages.js';
import type { AgentTick } from '../agentTables.js';
import type { TaskRecord } from '../taskRecord.js';
import { fitsIdleUpstream } from './admissionSystem.js';
import { isAcceptingStarts } from './membershipSystem.js';

/** Returns why no task of a message may be started; undefined when nothing forbids it. */
export function findMessageRefusal(
	tick: AgentTick,
	message: StartTasksMessage,
	tablesAgeMs: number,
): NotStartedReason | undefined {
	const { tables } = tick;
	if (tables.upstream === undefined) {
		return 'noUpstream';
	}
	if (!isAcceptingStarts(tick)) {
		return 'leaving';
	}
	if (message.epoch < tables.minAcceptedEpoch(tables.upstream.offer.pool)) {
		return 'olderEpoch';
	}
	const limitMs = tables.options.freshnessLimitMs;
	if (tablesAgeMs > limitMs && message.ageMs !== undefined && message.ageMs > limitMs) {
		return 'staleTables';
	}
	return undefined;
}

/** Returns why no task of a batch may be started; undefined when nothing forbids it. */
export function findBatchRefusal(
	tick: AgentTick,
	message: StartTasksMessage,
	batch: StartBatch,
): NotStartedReason | undefined {
	const { tables } = tick;
	const pool = tables.upstream?.offer.pool;
	// The sender may know routes that this agent doesn't: when its tables are newer, or this agent's don't cover the pool.
	const areRoutesKnown = message.revision <= tables.declarations.revision && tables.coversPool(pool);
	if (areRoutesKnown && tables.poolByRoute.get(batch.route) !== pool) {
		return 'otherPool';
	}
	if (!fitsIdleUpstream(tables, batch.route, batch.needs)) {
		return 'doesNotFit';
	}
	return undefined;
}

/** Returns why a single task may not be started; undefined when nothing forbids it. */
export function findTaskRefusal(
	tick: AgentTick,
	known: TaskRecord | undefined,
): NotStartedReason | undefined {
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
