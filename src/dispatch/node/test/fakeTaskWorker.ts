/**
 * In-memory worker for tests of the executor. Runs last until a test ends them or they are stopped; leases are checked on
 * the worker's own clock.
 */

import type { IClock } from '../../../base/common/clock.js';
import { getTaskKey, type TaskRunRef } from '../../common/dispatchMessages.js';
import {
	TaskWorker,
	type EndedTask,
	type HoldAnswer,
	type HoldOrder,
	type StartAnswer,
	type StartOrder,
	type StopAnswer,
	type StopOrder,
	type UnansweredOrder,
} from '../../common/taskWorker.js';

/**
 * How orders are handled. `lostAnswer`: carried out, but not answered. `lost`: neither carried out nor answered. `undelivered`:
 * the connection is refused.
 */
export type OrderHandling = 'answered' | 'lostAnswer' | 'lost' | 'undelivered';

const pollIntervalMs = 5;
const orderTimeoutMs = 30;

export class FakeTaskWorker extends TaskWorker {
	readonly running = new Map<string, TaskRunRef & { percent: number }>();
	readonly ended: EndedTask[] = [];
	readonly starts: StartOrder[] = [];
	readonly stops: StopOrder[] = [];
	startHandling: OrderHandling = 'answered';
	/** Number of the run that is refused as by an unhealthy worker. */
	refusedRun: number | undefined;
	stopHandling: OrderHandling = 'answered';
	holdHandling: OrderHandling = 'answered';
	highestToken = 0;
	/** Whether orders with a lower token than the highest one are refused. */
	checksTokens = true;
	bornAtMs: number | undefined = 1000;
	/** ID of the worker; orders for another one are refused. If absent, orders for any ID are carried out. */
	workerId: string | undefined;
	acknowledgedEnd = 0;
	/** Number of starts that were carried out but timed out without an answer. */
	unansweredStarts = 0;
	answeredHolds = 0;
	/** Number of hold orders that were not answered. */
	unansweredHolds = 0;
	leaseUntilMs = 0;
	/** Called for each accepted hold order before it is answered. */
	beforeHoldAnswer: () => void = () => undefined;
	private readonly _lastStoppedRuns = new Map<string, number>();

	constructor(private readonly _clock: IClock) {
		super();
	}

	/** Restarts the worker under its ID: it knows nothing of its earlier life. */
	restart(bornAtMs: number): void {
		this.running.clear();
		this.ended.length = 0;
		this._lastStoppedRuns.clear();
		this.highestToken = 0;
		this.bornAtMs = bornAtMs;
	}

	/** Ends a run and lists its end. */
	endRun(task: TaskRunRef, end: EndedTask['end']): void {
		this.running.delete(getTaskKey(task));
		const { jobId, taskIndex, run } = task;
		this.ended.push({ number: this.ended.length + 1, jobId, taskIndex, run, end });
	}

	async start(order: StartOrder): Promise<StartAnswer> {
		this.starts.push(order);
		if (this.startHandling === 'lost') {
			return this._timeOut();
		}
		if (this.startHandling === 'undelivered') {
			return refuseConnection();
		}
		if (order.run === this.refusedRun) {
			return { kind: 'refused', reason: 'unhealthy' };
		}
		if (this.checksTokens && order.fencingToken < this.highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this.highestToken = order.fencingToken;
		if (order.leaseUntilMs <= this._clock.nowMs()) {
			return { kind: 'refused', reason: 'leasePast' };
		}
		if ((this._lastStoppedRuns.get(getTaskKey(order)) ?? 0) >= order.run) {
			return { kind: 'refused', reason: 'olderRun' };
		}
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs);
		const { jobId, taskIndex, run } = order;
		this.running.set(getTaskKey(order), { jobId, taskIndex, run, percent: 0 });
		if (this.startHandling === 'lostAnswer') {
			// Time out only after two more answers that list the run, however slow the machine is.
			const answeredBefore = this.answeredHolds;
			while (this.answeredHolds < answeredBefore + 2) {
				await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
			}
			this.unansweredStarts += 1;
			return { kind: 'unanswered', message: 'no answer' };
		}
		return { kind: 'started', clockMs: this._clock.nowMs() };
	}

	async stop(order: StopOrder): Promise<StopAnswer> {
		this.stops.push(order);
		if (this.stopHandling === 'lost') {
			return this._timeOut();
		}
		this._lastStoppedRuns.set(getTaskKey(order), order.run);
		if (this.running.get(getTaskKey(order))?.run === order.run) {
			this.endRun(order, 'stopped');
		}
		return this.stopHandling === 'lostAnswer' ? this._timeOut() : { kind: 'stopped' };
	}

	async hold(order: HoldOrder): Promise<HoldAnswer> {
		if (this.holdHandling === 'undelivered') {
			this.unansweredHolds += 1;
			return refuseConnection();
		}
		if (this.holdHandling !== 'answered') {
			const answer = await this._timeOut();
			this.unansweredHolds += 1;
			return answer;
		}
		if (this.workerId !== undefined && order.workerId !== undefined && order.workerId !== this.workerId) {
			return { kind: 'refused', reason: 'otherWorker' };
		}
		if (this.checksTokens && order.fencingToken < this.highestToken) {
			return { kind: 'refused', reason: 'fenced' };
		}
		this.highestToken = Math.max(this.highestToken, order.fencingToken);
		this.leaseUntilMs = Math.max(this.leaseUntilMs, order.leaseUntilMs ?? 0);
		this.acknowledgedEnd = order.acknowledgedEnd;
		this.beforeHoldAnswer();
		await new Promise((resolve) => setTimeout(resolve, 1));
		const untilMs = this._clock.nowMs() + Math.min(order.waitMs, 20);
		while (this._clock.nowMs() < untilMs && this._getUnacknowledgedEnds(order).length === 0) {
			await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
		}
		this.answeredHolds += 1;
		return {
			kind: 'held',
			clockMs: this._clock.nowMs(),
			bornAtMs: this.bornAtMs,
			running: [...this.running.values()],
			ended: this._getUnacknowledgedEnds(order),
			areEndsComplete: true,
		};
	}

	private _getUnacknowledgedEnds({ acknowledgedEnd }: HoldOrder): EndedTask[] {
		return this.ended.filter(({ number }) => number > acknowledgedEnd);
	}

	private async _timeOut(): Promise<UnansweredOrder> {
		await new Promise((resolve) => setTimeout(resolve, orderTimeoutMs));
		return { kind: 'unanswered', message: 'no answer' };
	}
}

function refuseConnection(): UnansweredOrder {
	return { kind: 'unanswered', message: 'connect ECONNREFUSED', isConnectionRefused: true };
}
