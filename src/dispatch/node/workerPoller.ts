/** Polls the worker with hold orders, one at a time: they renew the lease while tasks run, and list the runs. */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { HoldAnswer, OrderContext, TaskWorker, UnansweredOrder } from '../common/taskWorker.js';
import type { WorkerLease } from '../common/workerLease.js';
import { retryDelayMs } from './runOrderSender.js';

/** Time that the worker may wait for a run to end while tasks run; each answer contains their progress. */
const busyPollWaitMs = 60;
/** Time that the worker may wait before it answers while no task runs. */
const idlePollWaitMs = 300;
/** Number of consecutive unanswered polls after which the worker counts as not responding. */
const unansweredPollLimit = 2;

/** Time beyond the wait of a poll from which on its answer is late. */
const lateAnswerMs = 100;

/** Answer of a worker that lists its running and ended runs. */
export type RunLists = Extract<HoldAnswer, { kind: 'held' }>;

/** State of the host that determines the next poll. */
export interface PollState {
	readonly hasRuns: boolean;
	/** Changes when the worker is replaced or restarts; answers to polls of an earlier incarnation are ignored. */
	readonly incarnation: number;
	/** Number of the last end that was handled. */
	readonly acknowledgedEnd: number;
}

/** Provides the state for polls and handles their results. */
export interface IWorkerPollerHost {
	getPollState(): PollState;
	getOrderContext(): OrderContext;
	/** Handles the worker's lists of running and ended runs. The poll that they answer was sent at `sentMs`. */
	handleRunLists(runLists: RunLists, sentMs: number): void;
	/** Handles that another worker answers at the address. */
	handleWorkerReplaced(): void;
	/** Handles that the worker has refused the fencing token because it has seen a higher one. */
	handleTokenRefused(): void;
	/**
	 * Handles a poll without an answer after the lease has lapsed, so that no run can remain at the known life of the worker; at
	 * a refused connection, none can remain at any.
	 */
	handleLeaseLapsed(isConnectionRefused: boolean): void;
	/** Handles that the worker starts or stops responding; `message` describes the missing answer. */
	handleRespondingChanged(isResponding: boolean, message: string): void;
	/**
	 * Handles that the worker has not answered a poll. `sinceMs` is the time of the first missing answer; if the connection was
	 * refused, nothing listens at the worker's address any more.
	 */
	handleUnansweredPoll(sinceMs: number, isConnectionRefused: boolean): void;
}

/** Services that a {@link WorkerPoller} uses. */
export interface WorkerPollerServices {
	readonly taskWorker: TaskWorker;
	readonly lease: WorkerLease;
	readonly clock: IClock;
	readonly log: ILogService;
}

/** Polls the worker until it is disposed. */
export class WorkerPoller extends Disposable {
	private _unansweredPolls = 0;
	private _unansweredSinceMs: number | undefined;
	private _isResponding = false;
	private _wasLastAnswerLate = false;

	constructor(
		private readonly _host: IWorkerPollerHost,
		private readonly _services: WorkerPollerServices,
	) {
		super();
	}

	/** Time of the first missing answer since the last one; `undefined` while the worker answers. */
	get unansweredSinceMs(): number | undefined {
		return this._unansweredSinceMs;
	}

	/** Whether the worker answers polls. */
	get isResponding(): boolean {
		return this._isResponding;
	}

	/** Starts polling. */
	start(): void {
		this._pollUntilDisposed().catch((error: unknown) => {
			this._services.log.error('worker.pollingEnded', { message: describeError(error) });
		});
	}

	/** Polls the worker again and again. A poll that fails ends neither the loop nor the agent. */
	private async _pollUntilDisposed(): Promise<void> {
		while (!this._isDisposed) {
			try {
				await this._poll();
			} catch (error) {
				this._services.log.error('worker.pollFailed', { message: describeError(error) });
				await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
			}
		}
	}

	private async _poll(): Promise<void> {
		const { taskWorker, lease, clock } = this._services;
		const { incarnation, hasRuns, acknowledgedEnd } = this._host.getPollState();
		const sentMs = clock.nowMs();
		// An unanswered renewal may still take effect. After repeated unanswered polls the lease is no longer renewed, so
		// that it lapses and the runs end.
		const shouldRenew = hasRuns && lease.isClockKnown && this._unansweredPolls < unansweredPollLimit;
		const leaseUntilMs = shouldRenew ? lease.renew(sentMs) : undefined;
		const waitMs = hasRuns ? busyPollWaitMs : idlePollWaitMs;
		// A worker that has not answered, or long ago, may have restarted; its numbers of ends then count from 1 again.
		const mayHaveRestarted = this._unansweredPolls > 0 || this._wasLastAnswerLate;
		const answer = await taskWorker.hold({
			...this._host.getOrderContext(),
			leaseUntilMs,
			acknowledgedEnd: mayHaveRestarted ? 0 : acknowledgedEnd,
			// The first poll only reads the worker's clock and birth, so the worker does not wait.
			waitMs: lease.isClockKnown && !mayHaveRestarted ? waitMs : 0,
		});
		// Of two polls in a row, one acknowledges ends: a worker lists a limited number of them.
		this._wasLastAnswerLate = !mayHaveRestarted && clock.nowMs() - sentMs > waitMs + lateAnswerMs;
		if (incarnation === this._host.getPollState().incarnation) {
			await this._handleAnswer(answer, sentMs);
		}
	}

	private async _handleAnswer(answer: HoldAnswer, sentMs: number): Promise<void> {
		if (answer.kind === 'held') {
			this._unansweredPolls = 0;
			this._unansweredSinceMs = undefined;
			this._setResponding(true, '');
			this._host.handleRunLists(answer, sentMs);
			return;
		}
		if (answer.kind === 'refused' && answer.reason === 'fenced') {
			this._host.handleTokenRefused();
			return;
		}
		if (answer.kind === 'refused' && answer.reason === 'otherWorker') {
			this._host.handleWorkerReplaced();
		} else {
			// A refusal for another reason lists no runs and renews no lease, as a missing answer.
			const unanswered: UnansweredOrder =
				answer.kind === 'unanswered'
					? answer
					: { kind: 'unanswered', message: `The worker refused the poll: ${answer.reason}.` };
			this._unansweredSinceMs ??= this._services.clock.nowMs();
			this._handleUnansweredPoll(unanswered, this._unansweredSinceMs);
		}
		await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
	}

	private _handleUnansweredPoll(
		{ message, isConnectionRefused = false }: UnansweredOrder,
		sinceMs: number,
	): void {
		this._host.handleUnansweredPoll(sinceMs, isConnectionRefused);
		this._unansweredPolls += 1;
		if (this._unansweredPolls >= unansweredPollLimit) {
			this._setResponding(false, message);
		}
		if (this._services.lease.hasLapsed(this._services.clock.nowMs())) {
			this._host.handleLeaseLapsed(isConnectionRefused);
		}
	}

	private _setResponding(isResponding: boolean, message: string): void {
		if (this._isResponding !== isResponding) {
			this._isResponding = isResponding;
			this._host.handleRespondingChanged(isResponding, message);
		}
	}
}
