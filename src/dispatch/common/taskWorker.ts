/** Interface through which an agent runs tasks at a worker under a lease. */

import type { RefusalReason, TaskNeeds, TaskRunRef } from './dispatchMessages.js';

/** Announcement that a worker sends periodically and after each change. */
export interface WorkerAnnouncement {
	readonly workerId: string;
	/** Start time of the worker's process, in Unix milliseconds; a restarted worker may keep its ID. */
	readonly bornAtMs?: number | undefined;
	readonly pool: string;
	/** Address at which the worker accepts orders. */
	readonly address: string;
	readonly dataCentre: string;
	/** Increases with each announcement until the worker restarts, so that late announcements are detected. */
	readonly sequence: number;
	readonly isLeaving: boolean;
	/** Least time until a leaving worker exits. */
	readonly remainingMs?: number | undefined;
	readonly capacity: TaskNeeds;
	readonly labels: readonly string[];
}

/** Target and fencing token of an order. */
export interface OrderContext {
	readonly address: string;
	/** Worker that the order is for; any other one refuses it. Absent before the worker has announced itself. */
	readonly workerId?: string | undefined;
	/** The worker refuses an order whose token is lower than the highest that it has seen. */
	readonly fencingToken: number;
}

/** Order to start a run. */
export interface StartOrder extends OrderContext, TaskRunRef {
	readonly payload: string;
	/** Expiry of the run's lease, by the worker's clock. */
	readonly leaseUntilMs: number;
}

/** Order to stop a run. A run that has not started yet can't start any more. */
export interface StopOrder extends OrderContext, TaskRunRef {}

/** Order to renew the lease and list running and ended runs. */
export interface HoldOrder extends OrderContext {
	/** New expiry of all runs' leases, by the worker's clock; absent to leave them unchanged. */
	readonly leaseUntilMs?: number | undefined;
	/** The worker discards ends up to this number. */
	readonly acknowledgedEnd: number;
	/** Longest time that the worker waits for a run to end before it answers. */
	readonly waitMs: number;
}

/**
 * Reason for refusing an order; the refused order has no effect. `fenced`: the token is too low. `otherWorker`: the
 * address belongs to another worker or to a restarted one. `undelivered`: nothing listens at the address.
 */
export type OrderRefusalReason =
	'fenced' | 'olderRun' | 'leasePast' | 'noRoom' | 'unhealthy' | 'invalid' | 'otherWorker' | 'undelivered';

/** Maps a worker's refusal to the reason that is reported to the entry. */
export function toRefusalReason(reason: OrderRefusalReason): RefusalReason {
	switch (reason) {
		case 'noRoom':
		case 'olderRun':
		case 'unhealthy':
		case 'invalid':
			return reason;
		case 'leasePast':
			return 'expired';
		case 'fenced':
		case 'otherWorker':
		case 'undelivered':
			return 'notAccepting';
	}
}

/** An order without an answer; it may have been carried out, unless its connection was refused. */
export interface UnansweredOrder {
	readonly kind: 'unanswered';
	readonly message: string;
	/** Whether nothing listens at the worker's address, so that the order was not delivered. */
	readonly isConnectionRefused?: boolean | undefined;
}

/** Answer to a start order. `unanswered`: the order may still be carried out, now or later. */
export type StartAnswer =
	| { readonly kind: 'started'; readonly clockMs: number }
	| { readonly kind: 'refused'; readonly reason: OrderRefusalReason }
	| UnansweredOrder;

/** Answer to a stop order. */
export type StopAnswer =
	| { readonly kind: 'stopped' }
	| { readonly kind: 'refused'; readonly reason: OrderRefusalReason }
	| UnansweredOrder;

/** A run that a worker lists as running. */
export interface RunningTask extends TaskRunRef {
	/** Progress from 0 to 100. */
	readonly percent: number;
}

/** A run that a worker lists as ended. */
export interface EndedTask extends TaskRunRef {
	/** Number of the end; counts up from 1 and begins anew when the worker restarts. */
	readonly number: number;
	readonly end: 'done' | 'failed' | 'stopped';
}

/** Answer to a hold order, which renews the lease and asks for the running and ended runs. */
export type HoldAnswer =
	| {
			readonly kind: 'held';
			/** Time of the worker's clock. */
			readonly clockMs: number;
			readonly bornAtMs: number | undefined;
			readonly running: readonly RunningTask[];
			readonly ended: readonly EndedTask[];
			/** Whether {@link ended} has all ends that were not acknowledged; a worker may list them in parts. */
			readonly areEndsComplete: boolean;
	  }
	| { readonly kind: 'refused'; readonly reason: OrderRefusalReason }
	| UnansweredOrder;

/** Sends orders to a worker. No method rejects; an order that gets no answer in time resolves to `unanswered`. */
export abstract class TaskWorker {
	abstract start(order: StartOrder): Promise<StartAnswer>;
	abstract stop(order: StopOrder): Promise<StopAnswer>;
	abstract hold(order: HoldOrder): Promise<HoldAnswer>;
}
