/** Open jobs by their deadlines. */

import { Heap } from 'heap-js';
import type { JobRow } from './jobRow.js';

interface WatchedJob {
	readonly atMs: number;
	readonly job: JobRow;
}

/** Watches the deadlines of jobs. */
export class DeadlineQueue {
	private readonly _heap = new Heap<WatchedJob>((a, b) => a.atMs - b.atMs);

	/** When the next deadline passes; infinite when there is none. */
	get nextMs(): number {
		return this._heap.peek()?.atMs ?? Infinity;
	}

	/** Watches a job until a time. */
	add(job: JobRow, atMs: number): void {
		this._heap.push({ atMs, job });
	}

	/** Takes the next job whose time has come. */
	takeDue(nowMs: number): JobRow | undefined {
		return this.nextMs <= nowMs ? this._heap.pop()?.job : undefined;
	}
}
