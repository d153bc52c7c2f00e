/** Orders of runs to the worker, tried again where a refusal can be mended and until an answer comes where one must. */

import { describeError } from '../../base/common/errors.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import { runRefOf, type TaskRunRef } from '../common/dispatchMessages.js';
import type { OrderContext, OrderRefusal, TaskWorker } from '../common/taskWorker.js';
import type { WorkerLease } from '../common/workerLease.js';

/** Pause after an order without an answer. */
export const retryPauseMs = 20;
/** Starts that are tried again after the token or the clock was found wrong. */
const maxStartTries = 3;

/** What became of a start. `void`: the run or its worker is gone. */
export type StartResult =
	| { readonly kind: 'started' | 'void' }
	| { readonly kind: 'unanswered'; readonly message: string }
	| { readonly kind: 'refused'; readonly reason: OrderRefusal };

/** What became of a stop. */
export type StopResult = 'confirmed' | 'otherWorker' | 'void';

/** What orders are sent with. */
export interface OrderServices {
	readonly taskWorker: TaskWorker;
	readonly lease: WorkerLease;
	readonly context: () => OrderContext;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Sends orders of runs. */
export class RunOrders {
	constructor(private readonly _services: OrderServices) {}

	/**
	 * Starts a run.
	 *
	 * @param isWanted whether the run still waits for the answer
	 */
	async start(run: TaskRunRef, payload: string, isWanted: () => boolean): Promise<StartResult> {
		const { taskWorker, lease, clock } = this._services;
		for (let tries = 1; ; tries += 1) {
			const order = { ...this._services.context(), ...runRefOf(run), payload };
			const answer = await taskWorker.start({ ...order, leaseUntilMs: lease.renew(clock.nowMs()) });
			if (!isWanted()) {
				return { kind: 'void' };
			}
			if (answer.kind !== 'refused' || tries === maxStartTries || !this._canMend(answer.reason)) {
				return answer;
			}
		}
	}

	/** Stops a run; asks until the worker answers or the run is gone. */
	async stop(run: TaskRunRef, isWanted: () => boolean): Promise<StopResult> {
		while (isWanted()) {
			const answer = await this._services.taskWorker.stop({ ...this._services.context(), ...runRefOf(run) });
			if (answer.kind === 'stopped') {
				return isWanted() ? 'confirmed' : 'void';
			}
			if (answer.kind === 'refused' && answer.reason === 'otherWorker') {
				return isWanted() ? 'otherWorker' : 'void';
			}
			if (answer.kind === 'refused' && this._canMend(answer.reason)) {
				continue;
			}
			await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
		}
		return 'void';
	}

	/** Stops a run of an earlier life of this agent, which nobody waits for. It is listed again until it has ended. */
	stopStranger(run: TaskRunRef): void {
		const { taskWorker, log } = this._services;
		log.warn('run.strange', { ...runRefOf(run) });
		taskWorker.stop({ ...this._services.context(), ...runRefOf(run) }).then(
			(answer) => {
				if (answer.kind === 'refused') {
					this._canMend(answer.reason);
				}
			},
			(error: unknown) => {
				log.error('run.stopFailed', { jobId: run.jobId, message: describeError(error) });
			},
		);
	}

	/** Raises the token above those that the worker has seen. */
	raiseToken(): void {
		const fencingToken = this._services.lease.raiseToken();
		this._services.log.warn('worker.tokenRaised', { fencingToken });
	}

	/** Whether another try can succeed: the token was too low, or the worker's clock was guessed wrong. */
	private _canMend(reason: OrderRefusal): boolean {
		if (reason === 'fenced') {
			this.raiseToken();
		}
		return reason === 'fenced' || reason === 'leasePast';
	}
}
