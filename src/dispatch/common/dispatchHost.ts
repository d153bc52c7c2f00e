/** Services that the dispatch core needs from its host, and the core's counters. */

import type { LogFields } from '../../services/log/common/log.js';
import type { StartTasksMessage, StopTasksMessage } from './dispatchMessages.js';
import { computeObjectiveMs, type JobRow } from './jobTable.js';

/** Services that the dispatch core needs from its host. */
export interface IDispatchHost {
	send(connectionId: number, message: StartTasksMessage | StopTasksMessage): void;
	log(level: 'info' | 'warn', event: string, fields: LogFields): void;
	/** Returns the number of entries that place tasks on the same workers, including this one. */
	entryCount(): number;
	/** Returns a random number from 0 up to, but not including, 1. */
	random(): number;
}

/** Counters of the core since its start, exported as metrics. */
export interface DispatchCounters {
	accepted: number;
	completed: number;
	failed: number;
	rejected: number;
	/** Rejected jobs that had waited for more than a quarter of their objective without the work itself. */
	rejectedLate: number;
	/** Rejected jobs while a worker had room for one of their tasks. */
	rejectedWithRoom: number;
	abandoned: number;
	cancelled: number;
	startsSent: number;
	startsRefused: number;
	runsLost: number;
	/** Lost runs of tasks that had lost a run before. */
	runsLostAgain: number;
	runsMoved: number;
}

/** Creates counters that are all zero. */
export function createCounters(): DispatchCounters {
	return {
		accepted: 0,
		completed: 0,
		failed: 0,
		rejected: 0,
		rejectedLate: 0,
		rejectedWithRoom: 0,
		abandoned: 0,
		cancelled: 0,
		startsSent: 0,
		startsRefused: 0,
		runsLost: 0,
		runsLostAgain: 0,
		runsMoved: 0,
	};
}

/** Logs the trace of a job that ended after its objective. */
export function logIfLate(host: IDispatchHost, job: JobRow, nowMs: number): void {
	const { jobId, route } = job.request;
	const tookMs = Math.round(nowMs - job.arrivedMs);
	const aimMs = Math.round(computeObjectiveMs(job.request));
	if (tookMs > aimMs) {
		host.log('info', 'job.late', { jobId, route, tookMs, aimMs, trace: job.trace });
	}
}
