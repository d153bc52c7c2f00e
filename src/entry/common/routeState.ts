/** What this entry keeps for a route beside the operators' row. */

import { MeasuredNeeds } from './measuredNeeds.js';

/** Weight of the newest outcome in a worker's share of failures. */
const outcomeWeight = 0.1;

/** State of one route. */
export class RouteState {
	/** Tasks that are queued or running. */
	openTasks = 0;
	readonly measuredNeeds = new MeasuredNeeds();
	private readonly _failureShares = new Map<string, number>();
	private _sumOfShares = 0;

	/** Share of failures that the route has at all workers but one; 0 when no other is known. */
	failureShareElsewhere(workerId: string): number {
		const own = this._failureShares.get(workerId);
		const others = this._failureShares.size - (own === undefined ? 0 : 1);
		return others === 0 ? 0 : Math.max(0, this._sumOfShares - (own ?? 0)) / others;
	}

	/** Takes account of a task that ran at a worker. */
	noteOutcome(workerId: string, hasFailed: boolean): void {
		const before = this._failureShares.get(workerId) ?? 0;
		const after = before + outcomeWeight * ((hasFailed ? 1 : 0) - before);
		this._failureShares.set(workerId, after);
		this._sumOfShares += after - before;
	}

	/** Forgets a worker that is gone. */
	forgetWorker(workerId: string): void {
		this.measuredNeeds.forget(workerId);
		this._sumOfShares -= this._failureShares.get(workerId) ?? 0;
		this._failureShares.delete(workerId);
	}
}
