/** Finds out, after a restart of the worker, which runs its new life has taken. */

import type { ILogService } from '../../services/log/common/log.js';
import { describeRun } from '../common/dispatchMessages.js';
import { findRestartEffect } from '../common/restartedWorker.js';
import type { RunRecords } from './runRecords.js';
import type { RunStopper } from './runStopper.js';
import type { RunLists } from './workerPoller.js';

/**
 * Keeps the runs of a worker that has restarted until its new life has listed its runs, and then resolves them.
 *
 * @example
 * resolver.handleRestart();
 * resolver.handleLists(lists, sentMs);
 */
export class RestartResolver {
	/** Whether the worker has restarted, and its new life has not listed its runs yet. */
	private _isPending = false;

	constructor(
		private readonly _records: RunRecords,
		private readonly _stopper: RunStopper,
		private readonly _log: ILogService,
	) {}

	/** Records that the worker has restarted, or that another one has taken its place. */
	handleRestart(): void {
		this._isPending = true;
		for (const run of this._records.runs.all) {
			run.isListed = false;
		}
	}

	/**
	 * Handles lists of the worker, once their ends are recorded. The first ones after a restart end the runs that were lost with the
	 * earlier life, and stop those whose start may still reach the new one.
	 */
	handleLists(lists: RunLists, sentMs: number): void {
		if (!this._isPending) {
			return;
		}
		this._isPending = false;
		const continuing: string[] = [];
		const unclear: string[] = [];
		for (const run of this._records.runs.all) {
			switch (findRestartEffect(run, lists, sentMs)) {
				case 'lost':
					this._records.endRun(run, 'lost');
					break;
				case 'continues':
					continuing.push(describeRun(run));
					if (run.phase === 'stopping') {
						this._stopper.stopAtPresentLife(run);
					}
					break;
				case 'unclear':
					unclear.push(describeRun(run));
					run.isLostWithWorker = true;
					this._stopper.stopAtPresentLife(run);
			}
		}
		const { bornAtMs, clockMs } = lists;
		this._log.info('worker.restartResolved', { bornAtMs, clockMs, continuing, unclear });
	}
}
