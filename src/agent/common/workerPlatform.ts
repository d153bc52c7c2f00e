/** The platform that runs tasks on a worker, as the agent sees it. */

import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { PlatformReport, TaskRun } from './agentInputs.js';

/**
 * Starts, stops, throttles, checkpoints and measures tasks. No call blocks or throws: what comes of it is reported.
 * Exactly one `runEnded` is reported for each start, unless the run is abandoned before.
 */
export abstract class WorkerPlatform extends Disposable {
	private readonly _onDidReport = this._register(new Emitter<PlatformReport>());
	/** Fires with the end of each run and with each sample of usage. */
	readonly onDidReport = this._onDidReport.event;

	/** Sends starts to the upstream at an address from now on. Runs at an earlier address go on. */
	abstract useUpstream(address: string, connections: number): void;

	/** Starts a task, at most once: a start that may have been sent is never sent again. */
	abstract start(run: TaskRun): void;

	/** Asks the upstream to stop a run. */
	abstract stop(runId: number): void;

	/** Gives up waiting for a run; nothing is reported of it any more. */
	abstract abandon(runId: number): void;

	/**
	 * Limits the share of a processor that a run gets.
	 *
	 * @param share from 0 to 1; 1 releases the run
	 */
	abstract throttle(runId: number, share: number): void;

	/** Asks the upstream to save the progress of a run. */
	abstract checkpoint(runId: number): void;

	/** Asks for the measured use of all runs. */
	abstract sampleUsage(): void;

	protected _report(report: PlatformReport): void {
		this._onDidReport.fire(report);
	}
}
