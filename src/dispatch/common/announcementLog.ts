/** Logs what an announcement changes about an agent's worker. */

import type { ILogService } from '../../services/log/common/log.js';
import type { KnownWorker } from './knownWorker.js';
import type { WorkerAnnouncement } from './taskWorker.js';

/**
 * Logs an announcement of a worker that was not known, or that now leaves.
 *
 * @param worker the worker as it is known before the announcement
 * @example
 * logAnnouncement(log, worker, announcement, runs.size);
 */
export function logAnnouncement(
	log: ILogService,
	worker: KnownWorker,
	announcement: WorkerAnnouncement,
	runCount: number,
): void {
	const { workerId, pool, address, bornAtMs, capacity, labels, isLeaving, remainingMs } = announcement;
	if (worker.workerId === undefined) {
		const { cpuMillis } = capacity;
		log.info('worker.announced', { workerId, pool, address, bornAtMs, cpuMillis, labels });
	}
	if (isLeaving && worker.announcement?.isLeaving !== true) {
		log.info('worker.leaving', { workerId, remainingMs, runs: runCount });
	}
}
