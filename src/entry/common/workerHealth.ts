/**
 * Detects workers whose tasks fail more often than those of other workers.
 *
 * Consecutive failures of the same job count only once. Each outcome is compared with the failure share of the job's
 * route at the other workers, because a job that fails at every worker does not indicate a fault of any of them.
 */

/** Weight of the newest outcome in the moving averages of the failure shares. */
const outcomeWeight = 0.15;
/** Failure share in excess of the other workers' from which a worker counts as failing. */
const ejectionThreshold = 0.5;
/** Number of recorded outcomes from which a worker can count as failing. */
const minOutcomes = 5;
/** Wait before the first probe of an ejected worker; it doubles with each failed probe up to {@link maxProbeWaitMs}. */
const initialProbeWaitMs = 1000;
const maxProbeWaitMs = 30_000;

/** State of a worker: `healthy` ones get any task, `ejected` ones none, `probing` ones only the probe task. */
export type WorkerHealthState = 'healthy' | 'ejected' | 'probing';

/** Failure statistics and health state of one worker. */
export class WorkerHealth {
	private _state: WorkerHealthState = 'healthy';
	private _failureShare = 0;
	private _expectedFailureShare = 0;
	private _outcomeCount = 0;
	private _lastSubmissionId = '';
	private _probeAtMs = 0;
	private _probeWaitMs = initialProbeWaitMs;

	/** @param _onDidChange called after the state was set */
	constructor(private readonly _onDidChange: () => void) {}

	get state(): WorkerHealthState {
		return this._state;
	}

	/** Time from which a probe task may be sent to an ejected worker; infinite for any other worker. */
	get probeAtMs(): number {
		return this._state === 'ejected' ? this._probeAtMs : Infinity;
	}

	/** Failure share minus that of the other workers, from -1 to 1. */
	get excessFailureShare(): number {
		return this._failureShare - this._expectedFailureShare;
	}

	/** Whether the worker fails so much more often than the other workers that it should be ejected. */
	get isFailing(): boolean {
		return this._outcomeCount >= minOutcomes && this.excessFailureShare >= ejectionThreshold;
	}

	/**
	 * Records the outcome of a task that ran. A failure of the same job as the previous outcome is ignored.
	 *
	 * @param routeFailureShare failure share of the job's route at the other workers, from 0 to 1
	 */
	recordOutcome(submissionId: string, hasFailed: boolean, routeFailureShare: number): void {
		if (hasFailed && submissionId === this._lastSubmissionId) {
			return;
		}
		this._lastSubmissionId = submissionId;
		this._outcomeCount += 1;
		this._failureShare += outcomeWeight * ((hasFailed ? 1 : 0) - this._failureShare);
		this._expectedFailureShare += outcomeWeight * (routeFailureShare - this._expectedFailureShare);
	}

	/** Ejects the worker until its next probe. */
	eject(nowMs: number): void {
		this._probeAtMs = nowMs + this._probeWaitMs;
		this._setState('ejected');
	}

	/** Records that a probe task was sent to the worker. */
	beginProbe(): void {
		this._setState('probing');
	}

	/** Whether a probe task, which shows whether the worker has recovered, may be sent now. */
	isProbeDue(nowMs: number): boolean {
		return nowMs >= this.probeAtMs;
	}

	/** Records the end of a probe: a success makes the worker healthy, a failure doubles the wait for the next probe. */
	endProbe(hasFailed: boolean, nowMs: number): void {
		if (hasFailed) {
			this._probeWaitMs = Math.min(maxProbeWaitMs, this._probeWaitMs * 2);
			this.eject(nowMs);
			return;
		}
		this._setState('healthy');
		this._probeWaitMs = initialProbeWaitMs;
		this._failureShare = 0;
		this._expectedFailureShare = 0;
		this._outcomeCount = 0;
	}

	private _setState(state: WorkerHealthState): void {
		this._state = state;
		this._onDidChange();
	}
}
