/** Messages between the bench and the thread that sends its jobs. */

import type { ArrivingJob } from '../common/workload.js';

/** What the sending thread is started with. */
export interface SenderOptions {
	/** Base URLs of the entries; jobs are dealt out in turn, as a balancer does. */
	readonly entryUrls: readonly string[];
	readonly route: string;
	readonly jobs: readonly ArrivingJob[];
	readonly deadlineMs: number;
	/** Jobs that arrive from then on find every worker sound. */
	readonly soundFromMs: number;
	/** Connections to each entry that are opened before the first job. */
	readonly warmConnections: number;
}

/** What a reader saw of one job. */
export interface JobRecord {
	readonly jobIndex: number;
	/** HTTP status; absent when the request broke or was cancelled by the reader. */
	readonly httpStatus?: number | undefined;
	/** Body of the answer, as it came. */
	readonly body?: string | undefined;
	/** Time from the planned arrival to the whole answer. */
	readonly responseMs: number;
	/** Lateness of the sending itself. */
	readonly sentLateMs: number;
	readonly wasCancelled: boolean;
}

/** What the sending thread reports. */
export type SenderMessage =
	| {
			readonly kind: 'started';
			/** Wall-clock time of the run's start, comparable between threads of one machine. */
			readonly startedAtMs: number;
	  }
	| { readonly kind: 'finished'; readonly records: readonly JobRecord[] };

/** Token of a task, unlike that of any other; the stand-in journals and echoes it. */
export function tokenOf(jobIndex: number, taskIndex: number): string {
	return `bench-${jobIndex}-${taskIndex}`;
}
