/** A worker that runs tasks under a lease, as an agent sees it. */

import type { RefusalReason, TaskNeeds, TaskRunRef } from './dispatchMessages.js';

/** What a worker says of itself, at an interval and when it changes. */
export interface WorkerAnnouncement {
	readonly workerId: string;
	/** Start of the worker's present life, in Unix milliseconds; it may begin another one under the same id. */
	readonly bornAtMs?: number | undefined;
	readonly pool: string;
	/** Where the worker takes orders. */
	readonly address: string;
	readonly dataCentre: string;
	/** Grows with each announcement of a life, so that a late one is recognised. */
	readonly sequence: number;
	readonly isLeaving: boolean;
	/** Least time until a leaving worker ends. */
	readonly remainingMs?: number | undefined;
	readonly capacity: TaskNeeds;
	readonly labels: readonly string[];
}

/** Whom an order is for, and under which token. */
export interface OrderContext {
	readonly address: string;
	/** The order is void at another worker; absent before the worker has announced itself. */
	readonly workerId?: string | undefined;
	/** Orders under a lower token than the worker has seen are void there. */
	readonly fencingToken: number;
}

/** Order to start a run. */
export interface StartOrder extends OrderContext, TaskRunRef {
	readonly payload: string;
	/** Worker's clock until which the lease holds. */
	readonly leaseUntilMs: number;
}

/** Order to stop a run. A run that has not started yet is void from then on. */
export interface StopOrder extends OrderContext, TaskRunRef {}

/** Order to renew the lease and tell what happens. */
export interface HoldOrder extends OrderContext {
	/** Worker's clock until which the lease of all runs holds; absent to leave it as it is. */
	readonly leaseUntilMs?: number | undefined;
	/** Ends up to this number are forgotten by the worker. */
	readonly acknowledgedEnd: number;
	/** Time that the worker may wait for an end before it answers. */
	readonly waitMs: number;
}

/** Why a worker did nothing. `otherWorker`: another life answers at the address. */
export type OrderRefusal =
	'fenced' | 'olderRun' | 'leasePast' | 'noRoom' | 'unhealthy' | 'invalid' | 'otherWorker';

/** What an entry is told of a worker's refusal. */
export function toRefusalReason(reason: OrderRefusal): RefusalReason {
	switch (reason) {
		case 'noRoom':
		case 'olderRun':
		case 'unhealthy':
		case 'invalid':
			return reason;
		case 'fenced':
		case 'leasePast':
		case 'otherWorker':
			return 'notAccepting';
	}
}

/** Answer to a start. `unanswered`: the order may or may not be carried out, now or later. */
export type StartAnswer =
	| { readonly kind: 'started'; readonly clockMs: number }
	| { readonly kind: 'refused'; readonly reason: OrderRefusal }
	| { readonly kind: 'unanswered'; readonly message: string };

/** Answer to a stop. */
export type StopAnswer =
	| { readonly kind: 'stopped' }
	| { readonly kind: 'refused'; readonly reason: OrderRefusal }
	| { readonly kind: 'unanswered'; readonly message: string };

/** A run at the worker. */
export interface RunningTask extends TaskRunRef {
	/** Progress from 0 to 100. */
	readonly percent: number;
}

/** An ended run. */
export interface EndedTask extends TaskRunRef {
	/** Rises from 1 within a life of the worker. */
	readonly number: number;
	readonly end: 'done' | 'failed' | 'stopped';
}

/** Answer to a hold. */
export type HoldAnswer =
	| {
			readonly kind: 'held';
			/** Worker's clock. */
			readonly clockMs: number;
			readonly bornAtMs: number | undefined;
			readonly running: readonly RunningTask[];
			readonly ended: readonly EndedTask[];
			/** Whether {@link ended} holds every end that was not acknowledged; a worker may list them in parts. */
			readonly areEndsWhole: boolean;
	  }
	| { readonly kind: 'refused'; readonly reason: OrderRefusal }
	| { readonly kind: 'unanswered'; readonly message: string };

/** Sends orders to a worker. No call throws; an order without an answer within its time is `unanswered`. */
export abstract class TaskWorker {
	abstract start(order: StartOrder): Promise<StartAnswer>;
	abstract stop(order: StopOrder): Promise<StopAnswer>;
	abstract hold(order: HoldOrder): Promise<HoldAnswer>;
}
