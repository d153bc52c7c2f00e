/** A worker in memory for tests of the executor: runs until told otherwise, under a lease on its own clock. */

import type { IClock } from '../../../base/common/clock.js';
import { taskKeyOf, type TaskRunRef } from '../../common/dispatchMessages.js';
import {
	TaskWorker,
	type EndedTask,
	type HoldAnswer,
	type HoldOrder,
	type StartAnswer,
	type StartOrder,
	type StopAnswer,
	type StopOrder,
} from '../../common/taskWorker.js';

/** What happens to an order. `lostAnswer`: carried out, unanswered. `lost`: neither. */
export type OrderFate = 'answered' | 'lostAnswer' | 'lost';

const pollMs = 5;
const orderTimeoutMs = 30;

export class FakeTaskWorker extends TaskWorker {
	readonly running = new Map<string, TaskRunRef & { percent: number }>();
	readonly ended: EndedTask[] = [];
	readonly starts: StartOrder[] = [];
	readonly stops: StopOrder[] = [];
	startFate: OrderFate = 'answered';
	stopFate: OrderFate = 'answered';
	holdFate: OrderFate = 'answered';
	highestToken = 0;
	bornAtMs: number | undefined = 1000;
	acknowledgedEnd = 0;
	/** Starts whose answer did not come in time. */
	unansweredStarts = 0;
	leaseUntilMs = 0;
	/** Called before each hold is answered. */
	onHold: () => void = () => undefined;
	private _holds = 0;
	private readonly _voided = new Map<string, number>();

	constructor(private readonly _clock: IClock) {
		super();
	}

	/** Ends a run by itself. */
	end(task: TaskRunRef, end: EndedTask['end']): void {
		this.running.delete(taskKeyOf(task));
		const { jobId, taskIndex, run } = task;
		this.ended.push({ number: this.ended.length + 1, jobId, taskIndex, run, end });
	}

	async start(order: StartOrder): Promise<StartAnswer> {
		this.starts.push(order);
		if (this.startFate === 'lost') {
			return this._unanswered();
		}
		if (order.fencingToken < this.highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this.highestToken = order.fencingToken;
		if (order.leaseUntilMs <= this._clock.nowMs()) {
			return { kind: 'refused', reason: 'leasePast' };
		}
		if ((this._voided.get(taskKeyOf(order)) ?? 0) >= order.run) {
			return { kind: 'refused', reason: 'olderRun' };
		}
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs);
		const { jobId, taskIndex, run } = order;
		this.running.set(taskKeyOf(order), { jobId, taskIndex, run, percent: 0 });
		if (this.startFate === 'lostAnswer') {
			// The time for the answer ends after the run was listed, however busy the machine is.
			const seenHolds = this._holds;
			while (this._holds < seenHolds + 2) {
				await new Promise((resolve) => setTimeout(resolve, pollMs));
			}
			this.unansweredStarts += 1;
			return { kind: 'unanswered', message: 'no answer' };
		}
		return { kind: 'started', clockMs: this._clock.nowMs() };
	}

	async stop(order: StopOrder): Promise<StopAnswer> {
		this.stops.push(order);
		if (this.stopFate === 'lost') {
			return this._unanswered();
		}
		this._voided.set(taskKeyOf(order), order.run);
		if (this.running.get(taskKeyOf(order))?.run === order.run) {
			this.end(order, 'stopped');
		}
		return this.stopFate === 'lostAnswer' ? this._unanswered() : { kind: 'stopped' };
	}

	async hold(order: HoldOrder): Promise<HoldAnswer> {
		if (this.holdFate !== 'answered') {
			return this._unanswered();
		}
		if (order.fencingToken < this.highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs ?? 0);
		this.acknowledgedEnd = order.acknowledgedEnd;
		this.onHold();
		await new Promise((resolve) => setTimeout(resolve, 1));
		const untilMs = this._clock.nowMs() + Math.min(order.waitMs, 20);
		while (this._clock.nowMs() < untilMs && this._news(order).length === 0) {
			await new Promise((resolve) => setTimeout(resolve, pollMs));
		}
		this._holds += 1;
		return {
			kind: 'held',
			clockMs: this._clock.nowMs(),
			bornAtMs: this.bornAtMs,
			running: [...this.running.values()],
			ended: this._news(order),
			areEndsWhole: true,
		};
	}

	private _news({ acknowledgedEnd }: HoldOrder): EndedTask[] {
		return this.ended.filter(({ number }) => number > acknowledgedEnd);
	}

	private async _unanswered(): Promise<{ readonly kind: 'unanswered'; readonly message: string }> {
		await new Promise((resolve) => setTimeout(resolve, orderTimeoutMs));
		return { kind: 'unanswered', message: 'no answer' };
	}
}
