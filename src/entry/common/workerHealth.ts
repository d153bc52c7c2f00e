/**
 * Judges a worker by its failures relative to its peers.
 *
 * Each job counts at most once in a row against a worker, and each failure is weighed against the share of failures
 * that the job's route has everywhere: a job that fails on every worker says nothing about any of them.
 */

/** Weight of the newest outcome in the moving shares. */
const outcomeWeight = 0.15;
/** Share of failures beyond the peers' from which a worker counts as failing. */
const ejectExcess = 0.5;
/** Outcomes of different jobs before a worker is judged. */
const minOutcomes = 5;
const firstProbeWaitMs = 1000;
const maxProbeWaitMs = 30_000;

/** Whether a worker takes part in placing. */
export type WorkerHealthState = 'healthy' | 'ejected' | 'probing';

/** Record of one worker's failures. */
export class WorkerHealth {
	private _state: WorkerHealthState = 'healthy';
	private _failureShare = 0;
	private _expectedShare = 0;
	private _outcomes = 0;
	private _lastSubmissionId = '';
	private _probeAtMs = 0;
	private _probeWaitMs = firstProbeWaitMs;

	/** @param _onDidChange told when the state has changed */
	constructor(private readonly _onDidChange: () => void) {}

	get state(): WorkerHealthState {
		return this._state;
	}

	/** When an ejected worker may be tried with a task; infinite for any other. */
	get probeAtMs(): number {
		return this._state === 'ejected' ? this._probeAtMs : Infinity;
	}

	/** Failures beyond those of the peers, as a share from -1 to 1. */
	get excess(): number {
		return this._failureShare - this._expectedShare;
	}

	/** Whether the worker fails so much more than its peers that it should be ejected. */
	get isFailing(): boolean {
		return this._outcomes >= minOutcomes && this.excess >= ejectExcess;
	}

	/**
	 * Takes account of a task that ran.
	 *
	 * @param routeFailureShare share of failures that the job's route has at the other workers
	 */
	note(submissionId: string, hasFailed: boolean, routeFailureShare: number): void {
		if (hasFailed && submissionId === this._lastSubmissionId) {
			return;
		}
		this._lastSubmissionId = submissionId;
		this._outcomes += 1;
		this._failureShare += outcomeWeight * ((hasFailed ? 1 : 0) - this._failureShare);
		this._expectedShare += outcomeWeight * (routeFailureShare - this._expectedShare);
	}

	/** Takes the worker out until its next probe. */
	eject(nowMs: number): void {
		this._probeAtMs = nowMs + this._probeWaitMs;
		this._enter('ejected');
	}

	/** Takes account of a task that is sent to see whether the worker has recovered. */
	beginProbe(): void {
		this._enter('probing');
	}

	/** Whether a single task may be sent to see whether the worker has recovered. */
	isProbeDue(nowMs: number): boolean {
		return nowMs >= this.probeAtMs;
	}

	/** Takes account of a probe's end: a success takes the worker back, a failure doubles the wait. */
	endProbe(hasFailed: boolean, nowMs: number): void {
		if (hasFailed) {
			this._probeWaitMs = Math.min(maxProbeWaitMs, this._probeWaitMs * 2);
			this.eject(nowMs);
			return;
		}
		this._enter('healthy');
		this._probeWaitMs = firstProbeWaitMs;
		this._failureShare = 0;
		this._expectedShare = 0;
		this._outcomes = 0;
	}

	private _enter(state: WorkerHealthState): void {
		this._state = state;
		this._onDidChange();
	}
}
