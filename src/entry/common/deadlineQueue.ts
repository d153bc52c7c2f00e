/** Open jobs by their deadlines. */

import { Heap } from 'heap-js';
import type { JobRow } from './jobRow.js';

/** A watch of one job, which holds on to the job only until it is answered. */
export interface DeadlineWatch {
	readonly atMs: number;
	job: JobRow | undefined;
}

/** Watches the deadlines of jobs. */
export class DeadlineQueue {
	private readonly _heap = new Heap<DeadlineWatch>((a, b) => a.atMs - b.atMs);

	/** When the next deadline passes; infinite when there is none. */
	get nextMs(): number {
		return this._heap.peek()?.atMs ?? Infinity;
	}

	/** Watches a job until a time. */
	add(job: JobRow, atMs: number): void {
		const watch: DeadlineWatch = { atMs, job };
		job.deadlineWatch = watch;
		this._heap.push(watch);
	}

	/** Forgets an answered job: its tasks and results must not stay in memory until its deadline. */
	forget(job: JobRow): void {
		if (job.deadlineWatch !== undefined) {
			job.deadlineWatch.job = undefined;
			job.deadlineWatch = undefined;
		}
	}

	/** Takes every open job whose time has come. */
	takeDue(nowMs: number): JobRow[] {
		const due: JobRow[] = [];
		while (this.nextMs <= nowMs) {
			const job = this._heap.pop()?.job;
			if (job !== undefined) {
				due.push(job);
			}
		}
		return due;
	}
}
