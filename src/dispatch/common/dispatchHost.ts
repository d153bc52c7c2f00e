/** What the core of an entry asks of its surroundings, and what it counts. */

import type { LogFields } from '../../services/log/common/log.js';
import type { StartTasksMessage, StopTasksMessage } from './dispatchMessages.js';
import type { JobRow } from './jobTable.js';

/** What the core asks of its surroundings. */
export interface IDispatchHost {
	send(linkId: number, message: StartTasksMessage | StopTasksMessage): void;
	log(level: 'info' | 'warn', event: string, fields: LogFields): void;
	/** Entries that place on the same workers, this one included. */
	entryCount(): number;
	random(): number;
}

/** Counters of the core, for metrics. */
export interface DispatchCounters {
	accepted: number;
	completed: number;
	failed: number;
	rejected: number;
	abandoned: number;
	cancelled: number;
	startsSent: number;
	startsRefused: number;
	runsLost: number;
	runsMoved: number;
}

/** Counters at the start. */
export function createCounters(): DispatchCounters {
	return {
		accepted: 0,
		completed: 0,
		failed: 0,
		rejected: 0,
		abandoned: 0,
		cancelled: 0,
		startsSent: 0,
		startsRefused: 0,
		runsLost: 0,
		runsMoved: 0,
	};
}

/** Says what was decided about a job that ended beyond its objective. */
export function logWhenLate(host: IDispatchHost, job: JobRow, nowMs: number): void {
	const { jobId, route, stretch, estimateMs, objectiveMs } = job.request;
	const tookMs = Math.round(nowMs - job.arrivedMs);
	const aimMs = Math.round(stretch * estimateMs + objectiveMs);
	if (tookMs > aimMs) {
		host.log('info', 'job.late', { jobId, route, tookMs, aimMs, trace: job.trace });
	}
}
