/** State that this entry keeps for a route in addition to the operators' row. */

import { MeasuredNeeds } from './measuredNeeds.js';

/** Weight of the newest outcome in the moving average of a worker's failure share. */
const outcomeWeight = 0.1;

/** State of one route. */
export class RouteState {
	/** Number of tasks that are queued or running. */
	openTasks = 0;
	readonly measuredNeeds = new MeasuredNeeds();
	private readonly _failureShares = new Map<string, number>();
	private _failureShareSum = 0;

	/** Returns the route's mean failure share at all workers but the given one, from 0 to 1; 0 if no other is known. */
	failureShareAtOtherWorkers(workerId: string): number {
		const own = this._failureShares.get(workerId);
		const others = this._failureShares.size - (own === undefined ? 0 : 1);
		return others === 0 ? 0 : Math.max(0, this._failureShareSum - (own ?? 0)) / others;
	}

	/** Records the outcome of a task that ran at a worker. */
	recordOutcome(workerId: string, hasFailed: boolean): void {
		const before = this._failureShares.get(workerId) ?? 0;
		const after = before + outcomeWeight * ((hasFailed ? 1 : 0) - before);
		this._failureShares.set(workerId, after);
		this._failureShareSum += after - before;
	}

	/** Removes the records of a worker that is gone. */
	removeWorker(workerId: string): void {
		this.measuredNeeds.remove(workerId);
		this._failureShareSum -= this._failureShares.get(workerId) ?? 0;
		this._failureShares.delete(workerId);
	}
}
