/**
 * Sends start and stop orders to the worker. Both are retried after refusals that can be resolved, and stops also until
 * they are answered.
 */

import { describeError } from '../../base/common/errors.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import { toRunRef, type TaskRunRef } from '../common/dispatchMessages.js';
import type { HeldRun } from '../common/heldRuns.js';
import type { OrderContext, OrderRefusalReason, TaskWorker, UnansweredOrder } from '../common/taskWorker.js';
import type { WorkerLease } from '../common/workerLease.js';

/** Delay before a retry after an order that was not answered or was refused. */
export const retryDelayMs = 20;
/** Maximum number of attempts of a start that is refused because of the fencing token or the worker's clock. */
const maxStartAttempts = 3;

/** Result of a start order. `void`: the run is no longer held, or its worker was replaced. */
export type StartResult =
	| { readonly kind: 'started' | 'void' }
	| UnansweredOrder
	| { readonly kind: 'refused'; readonly reason: OrderRefusalReason };

/** Result of a stop order. `void`: the run is no longer held, or its worker was replaced. */
export type StopResult = 'confirmed' | 'otherWorker' | 'void';

/** Options of a {@link RunOrderSender}. */
export interface RunOrderSenderOptions {
	readonly taskWorker: TaskWorker;
	readonly lease: WorkerLease;
	readonly getContext: () => OrderContext;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Sends the start and stop orders of runs. */
export class RunOrderSender {
	constructor(private readonly _options: RunOrderSenderOptions) {}

	/**
	 * Sends the start order of a run. An unanswered start is not retried, since the worker may have carried it out.
	 *
	 * @param isCurrent whether the run is still held at the same incarnation of the worker
	 */
	async start(run: HeldRun, isCurrent: () => boolean): Promise<StartResult> {
		const { taskWorker, lease, clock } = this._options;
		for (let attempt = 1; ; attempt += 1) {
			const order = { ...this._options.getContext(), ...toRunRef(run), payload: run.payload };
			const leaseUntilMs = lease.renewForStart(run.sentAt, clock.nowMs());
			const answer = await taskWorker.start({ ...order, leaseUntilMs });
			if (!isCurrent()) {
				return { kind: 'void' };
			}
			if (
				answer.kind !== 'refused' ||
				attempt === maxStartAttempts ||
				lease.isStartExpired(run.sentAt, clock.nowMs()) ||
				!this._recoverFromRefusal(answer.reason)
			) {
				return answer;
			}
		}
	}

	/** Sends the stop order of a run, repeatedly until the worker confirms it or the run is no longer held. */
	async stop(run: TaskRunRef, isCurrent: () => boolean): Promise<StopResult> {
		while (isCurrent()) {
			const answer = await this._options.taskWorker.stop({ ...this._options.getContext(), ...toRunRef(run) });
			if (answer.kind === 'stopped') {
				return isCurrent() ? 'confirmed' : 'void';
			}
			if (answer.kind === 'refused' && answer.reason === 'otherWorker') {
				return isCurrent() ? 'otherWorker' : 'void';
			}
			if (answer.kind === 'refused' && this._recoverFromRefusal(answer.reason)) {
				continue;
			}
			await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
		}
		return 'void';
	}

	/**
	 * Stops a run of an earlier incarnation of this agent, without a retry: the worker lists the run until it has ended, and
	 * each listing leads to another stop.
	 */
	stopUnknownRun(run: TaskRunRef): void {
		const { taskWorker, log } = this._options;
		log.warn('run.strange', { ...toRunRef(run) });
		taskWorker.stop({ ...this._options.getContext(), ...toRunRef(run) }).then(
			(answer) => {
				if (answer.kind === 'refused') {
					this._recoverFromRefusal(answer.reason);
				}
			},
			(error: unknown) => {
				log.error('run.stopFailed', { jobId: run.jobId, message: describeError(error) });
			},
		);
	}

	/** Raises the fencing token, since the worker has seen a higher one. */
	raiseToken(): void {
		const fencingToken = this._options.lease.raiseToken();
		this._options.log.warn('worker.tokenRaised', { fencingToken });
	}

	/**
	 * Raises the fencing token if it was too low. Returns whether a retry can succeed, which is the case after a low token
	 * or a wrong estimate of the worker's clock.
	 */
	private _recoverFromRefusal(reason: OrderRefusalReason): boolean {
		if (reason === 'fenced') {
			this.raiseToken();
		}
		return reason === 'fenced' || reason === 'leasePast';
	}
}
