/** Interface of the platform that runs tasks on a worker for the agent. */

import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { PlatformReport, TaskRun } from './agentInputs.js';

/**
 * Starts, stops, throttles, checkpoints and measures tasks. No method blocks or throws; results arrive as reports.
 * Each start leads to exactly one `runEnded` report, unless the run is abandoned before.
 */
export abstract class WorkerPlatform extends Disposable {
	private readonly _onDidReport = this._register(new Emitter<PlatformReport>());
	/** Fires with the end of each run and with each usage sample. */
	readonly onDidReport = this._onDidReport.event;

	/** Sends all later starts to the upstream at an address. Runs at an earlier address continue. */
	abstract setUpstream(address: string, connections: number): void;

	/** Starts a task at most once: a start that may have been sent is never sent again. */
	abstract start(run: TaskRun): void;

	/** Asks the upstream to stop a run. */
	abstract stop(runId: number): void;

	/** Stops waiting for a run; it is not reported any more. */
	abstract abandon(runId: number): void;

	/**
	 * Limits the share of a processor that a run gets.
	 *
	 * @param share from 0 to 1; 1 lifts the limit
	 */
	abstract throttle(runId: number, share: number): void;

	/** Asks the upstream to save the progress of a run. */
	abstract checkpoint(runId: number): void;

	/** Requests the measured resource use of all runs. */
	abstract sampleUsage(): void;

	protected _report(report: PlatformReport): void {
		this._onDidReport.fire(report);
	}
}
