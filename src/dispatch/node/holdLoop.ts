/** Renews a worker's lease and takes its lists, one call after the other, for as long as the agent lives. */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { HoldAnswer, OrderContext, TaskWorker } from '../common/taskWorker.js';
import type { WorkerLease } from '../common/workerLease.js';
import { retryPauseMs } from './runOrders.js';

/** Time that a hold waits for an end while tasks run; each answer tells their progress. */
const busyWaitMs = 60;
/** The same while nothing runs. */
const idleWaitMs = 300;
/** Holds without an answer, one after the other, from which the worker counts as silent. */
const silentHolds = 2;

/** What a worker lists. */
export type HeldLists = Extract<HoldAnswer, { kind: 'held' }>;

/** What the next call depends on. */
export interface HoldState {
	readonly isBusy: boolean;
	/** Changes with each worker and each of its lives; an answer for an earlier one is void. */
	readonly life: number;
	readonly acknowledgedEnd: number;
}

/** Whom the loop works for. */
export interface IHoldHost {
	holdState(): HoldState;
	orderContext(): OrderContext;
	/** Takes the lists of the worker; the call that they answer was sent at `sentMs`. */
	takeLists(lists: HeldLists, sentMs: number): void;
	/** The worker at the address is another one. */
	workerReplaced(): void;
	/** The worker has seen a higher token. */
	tokenRefused(): void;
	/** No renewal has reached the worker for so long that nothing runs there any more. */
	leaseLapsed(): void;
	respondingChanged(isResponding: boolean, message: string): void;
}

/** What the loop is built on. */
export interface HoldServices {
	readonly taskWorker: TaskWorker;
	readonly lease: WorkerLease;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Runs until it is disposed. */
export class HoldLoop extends Disposable {
	private _unansweredHolds = 0;
	private _isResponding = false;

	constructor(
		private readonly _host: IHoldHost,
		private readonly _services: HoldServices,
	) {
		super();
	}

	/** Whether the worker has answered lately. */
	get isResponding(): boolean {
		return this._isResponding;
	}

	/** Begins to call the worker. */
	start(): void {
		this._run().catch((error: unknown) => {
			this._services.log.error('worker.holdFailed', { message: describeError(error) });
		});
	}

	private async _run(): Promise<void> {
		const { taskWorker, lease, clock } = this._services;
		while (!this._isDisposed) {
			const { life, isBusy, acknowledgedEnd } = this._host.holdState();
			const sentMs = clock.nowMs();
			// A renewal may take effect without an answer: a worker that falls silent gets no more of them, so that its runs end.
			const mayRenew = isBusy && lease.isClockKnown && this._unansweredHolds < silentHolds;
			const leaseUntilMs = mayRenew ? lease.renew(sentMs) : undefined;
			const waitMs = isBusy ? busyWaitMs : idleWaitMs;
			const answer = await taskWorker.hold({
				...this._host.orderContext(),
				leaseUntilMs,
				acknowledgedEnd,
				// The first answer is only needed for the worker's clock.
				waitMs: lease.isClockKnown ? waitMs : 0,
			});
			if (life === this._host.holdState().life) {
				await this._take(answer, sentMs);
			}
		}
	}

	private async _take(answer: HoldAnswer, sentMs: number): Promise<void> {
		if (answer.kind === 'held') {
			this._unansweredHolds = 0;
			this._setResponding(true, '');
			this._host.takeLists(answer, sentMs);
			return;
		}
		if (answer.kind === 'refused' && answer.reason === 'fenced') {
			this._host.tokenRefused();
			return;
		}
		if (answer.kind === 'refused' && answer.reason === 'otherWorker') {
			this._host.workerReplaced();
		}
		if (answer.kind === 'unanswered') {
			this._noteUnanswered(answer.message);
		}
		await new Promise((resolve) => setTimeout(resolve, retryPauseMs));
	}

	private _noteUnanswered(message: string): void {
		this._unansweredHolds += 1;
		if (this._unansweredHolds >= silentHolds) {
			this._setResponding(false, message);
		}
		if (this._services.lease.hasLapsed(this._services.clock.nowMs())) {
			this._host.leaseLapsed();
		}
	}

	private _setResponding(isResponding: boolean, message: string): void {
		if (this._isResponding !== isResponding) {
			this._isResponding = isResponding;
			this._host.respondingChanged(isResponding, message);
		}
	}
}
