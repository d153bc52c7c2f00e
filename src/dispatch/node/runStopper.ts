/** Stops runs at the worker, and keeps at it until their ends are known. */

import { describeError } from '../../base/common/errors.js';
import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import { toRunRef } from '../common/dispatchMessages.js';
import type { HeldRun } from '../common/heldRuns.js';
import type { RunOrderSender } from './runOrderSender.js';

/** Services of a {@link RunStopper}. */
export interface RunStopperOptions {
	readonly orderSender: RunOrderSender;
	/** Creates a function that returns whether a run is still held at the present incarnation of the worker. */
	readonly createCurrentCheck: (run: HeldRun) => () => boolean;
	/** Handles that another worker has answered the stop order. */
	readonly handleOtherWorker: () => void;
	readonly clock: IClock;
	readonly log: ILogService;
}

/**
 * Sends stop orders. A run that is being stopped is held until its worker lists the end, or confirms the stop and doesn't list the
 * run any more.
 *
 * @example
 * stopper.stop(run, 'asked');
 */
export class RunStopper {
	constructor(private readonly _options: RunStopperOptions) {}

	/** Stops a run, unless it is being stopped already. */
	stop(run: HeldRun, cause: string): void {
		if (run.phase === 'stopping') {
			return;
		}
		const wasStarting = run.phase === 'starting';
		this._options.log.info('run.stopping', { ...toRunRef(run), cause, wasStarting });
		this.stopAtPresentLife(run);
	}

	/** Sends stop orders to the present life of the worker, also if an earlier life has confirmed a stop of the run. */
	stopAtPresentLife(run: HeldRun): void {
		run.phase = 'stopping';
		run.stopConfirmedMs = undefined;
		this._sendStop(run).catch((error: unknown) => {
			this._options.log.error('run.stopFailed', { ...toRunRef(run), message: describeError(error) });
		});
	}

	private async _sendStop(run: HeldRun): Promise<void> {
		const { orderSender, createCurrentCheck, handleOtherWorker, clock } = this._options;
		const result = await orderSender.stop(run, createCurrentCheck(run));
		if (result === 'confirmed') {
			run.stopConfirmedMs = clock.nowMs();
		}
		if (result === 'otherWorker') {
			handleOtherWorker();
		}
	}
}
