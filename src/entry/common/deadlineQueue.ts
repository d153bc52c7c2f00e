/** Priority queue of the open jobs by deadline. */

import { Heap } from 'heap-js';
import type { JobRow } from './jobRow.js';

/** Queue item of one job. It references the job only until the job is answered. */
export interface ScheduledDeadline {
	readonly atMs: number;
	job: JobRow | undefined;
}

/** Finds the open jobs whose deadline has passed. */
export class DeadlineQueue {
	private readonly _heap = new Heap<ScheduledDeadline>((a, b) => a.atMs - b.atMs);

	/** Time of the earliest deadline in the queue; infinite when the queue is empty. */
	get nextDeadlineMs(): number {
		return this._heap.peek()?.atMs ?? Infinity;
	}

	/** Schedules the deadline of a job. */
	add(job: JobRow, atMs: number): void {
		const scheduled: ScheduledDeadline = { atMs, job };
		job.scheduledDeadline = scheduled;
		this._heap.push(scheduled);
	}

	/** Drops the reference to an answered job, so that its tasks and results don't stay in memory until its deadline. */
	remove(job: JobRow): void {
		if (job.scheduledDeadline !== undefined) {
			job.scheduledDeadline.job = undefined;
			job.scheduledDeadline = undefined;
		}
	}

	/** Removes and returns every open job whose deadline is at or before `nowMs`. */
	takeDue(nowMs: number): JobRow[] {
		const due: JobRow[] = [];
		while (this.nextDeadlineMs <= nowMs) {
			const job = this._heap.pop()?.job;
			if (job !== undefined) {
				due.push(job);
			}
		}
		return due;
	}
}
