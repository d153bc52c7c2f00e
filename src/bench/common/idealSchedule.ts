/**
 * The ideal that a policy is measured against: one central queue that sees every slot at once, with no message
 * delay, on the same arrivals. It avoids workers that fail or straggle, and serves a flooding team last.
 */

import { Heap } from 'heap-js';
import type { ArrivingJob } from './workload.js';

/** A change in the number of slots, such as the death of a worker. */
export interface CapacityChange {
	readonly atMs: number;
	/** Negative for slots that are won. */
	readonly slotsLost: number;
}

/** What the ideal has to work with. */
export interface IdealOptions {
	readonly slots: number;
	readonly capacityChanges: readonly CapacityChange[];
}

type SimulatedEvent =
	| { readonly atMs: number; readonly kind: 'arrive'; readonly job: ArrivingJob }
	| { readonly atMs: number; readonly kind: 'finish'; readonly task: SimulatedTask }
	| { readonly atMs: number; readonly kind: 'cancel'; readonly job: ArrivingJob }
	| { readonly atMs: number; readonly kind: 'loseSlots'; readonly count: number };

interface SimulatedTask {
	readonly job: ArrivingJob;
	readonly runMs: number;
}

/** Events of the same moment are taken in this order, so that a freed slot is seen by an arrival. */
const kindOrder = { loseSlots: 0, cancel: 1, finish: 2, arrive: 3 } as const;

/**
 * Computes the ideal response time of each job, without any network round trip.
 *
 * @returns response times in milliseconds by `jobIndex`; cancelled jobs have none
 * @example
 * const idealMs = idealResponses(jobs, { slots: 88, capacityChanges: [] });
 */
export function idealResponses(jobs: readonly ArrivingJob[], options: IdealOptions): Map<number, number> {
	return new IdealScheduler(jobs, options).run();
}

class IdealScheduler {
	private readonly _events = new Heap<SimulatedEvent>(
		(a, b) => a.atMs - b.atMs || kindOrder[a.kind] - kindOrder[b.kind],
	);
	private readonly _queue: SimulatedTask[] = [];
	private readonly _floodQueue: SimulatedTask[] = [];
	private readonly _openTasks = new Map<number, number>();
	private readonly _cancelled = new Set<number>();
	private readonly _responses = new Map<number, number>();
	private readonly _running = new Set<SimulatedTask>();
	private _slots: number;

	constructor(jobs: readonly ArrivingJob[], options: IdealOptions) {
		this._slots = options.slots;
		for (const job of jobs) {
			this._events.push({ atMs: job.arriveMs, kind: 'arrive', job });
			if (job.cancelMs !== undefined) {
				this._events.push({ atMs: job.cancelMs, kind: 'cancel', job });
			}
		}
		for (const change of options.capacityChanges) {
			this._events.push({ atMs: change.atMs, kind: 'loseSlots', count: change.slotsLost });
		}
	}

	run(): Map<number, number> {
		for (;;) {
			const event = this._events.pop();
			if (event === undefined) {
				return this._responses;
			}
			this._handle(event);
			this._fillSlots(event.atMs);
		}
	}

	private _handle(event: SimulatedEvent): void {
		switch (event.kind) {
			case 'arrive':
				this._arrive(event.job);
				return;
			case 'finish':
				this._finish(event.task, event.atMs);
				return;
			case 'cancel':
				this._cancel(event.job);
				return;
			case 'loseSlots':
				// An omniscient scheduler has no work on a worker that is about to die.
				this._slots -= event.count;
				return;
		}
	}

	private _arrive(job: ArrivingJob): void {
		this._openTasks.set(job.jobIndex, job.runMs.length);
		const queue = job.isFlood ? this._floodQueue : this._queue;
		for (const runMs of job.runMs) {
			queue.push({ job, runMs });
		}
	}

	private _finish(task: SimulatedTask, atMs: number): void {
		if (!this._running.delete(task)) {
			return;
		}
		const left = (this._openTasks.get(task.job.jobIndex) ?? 0) - 1;
		this._openTasks.set(task.job.jobIndex, left);
		if (left === 0) {
			this._responses.set(task.job.jobIndex, atMs - task.job.arriveMs);
		}
	}

	private _cancel(job: ArrivingJob): void {
		this._cancelled.add(job.jobIndex);
		for (const task of [...this._running]) {
			if (task.job === job) {
				this._running.delete(task);
			}
		}
	}

	private _fillSlots(nowMs: number): void {
		while (this._running.size < this._slots) {
			const task = this._queue.shift() ?? this._floodQueue.shift();
			if (task === undefined) {
				return;
			}
			if (this._cancelled.has(task.job.jobIndex)) {
				continue;
			}
			this._running.add(task);
			this._events.push({ atMs: nowMs + task.runMs, kind: 'finish', task });
		}
	}
}
