/**
 * Keeps a little capacity free for jobs of the highest priority while such jobs arrive. Their tasks are short and many, and
 * at full load each entry gives the slots that its own runs free to its own waiting tasks. Without the reserve, an urgent
 * job therefore gets only those of its entry, and most of its time passes before its last task starts.
 */

import { highestPriority } from './jobOrder.js';
import type { JobRequest } from './jobs.js';

/** Share of each worker's CPU that other tasks leave free. */
const reservedShare = 0.03;
/** Time after the last job of the highest priority during which capacity is reserved. */
const reserveDurationMs = 5000;

/**
 * Decides how much capacity is reserved in each pool.
 *
 * @example
 * reserve.recordJob(request, nowMs);
 * const placement = createPlacementRequest(request, new Set(), reserve.getShare(request, nowMs));
 */
export class UrgentReserve {
	private readonly _lastUrgentMs = new Map<string, number>();

	/** Records the arrival of a job. */
	recordJob({ pool, priority }: JobRequest, nowMs: number): void {
		if (priority === highestPriority) {
			this._lastUrgentMs.set(pool, nowMs);
		}
	}

	/** Returns the share of each worker's CPU that a job's tasks leave free. */
	getShare({ pool, priority }: JobRequest, nowMs: number): number {
		const lastUrgentMs = this._lastUrgentMs.get(pool) ?? -Infinity;
		return priority !== highestPriority && nowMs - lastUrgentMs <= reserveDurationMs ? reservedShare : 0;
	}
}
