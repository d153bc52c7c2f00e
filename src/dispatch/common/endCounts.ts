/**
 * Counts how runs end at a worker, so that entries can distinguish a troubled worker from jobs that always fail. The
 * failures of one job count once, since the tasks of such a job fail on every worker.
 */

import { DecayingCount } from './decayingCount.js';

/** Maximum number of failed jobs that are remembered. */
const maxFailedJobs = 50;

/** Counts the ends of one worker's runs. */
export class EndCounts {
	private readonly _failedEnds = new DecayingCount();
	private readonly _doneEnds = new DecayingCount();
	private readonly _failedJobs = new Set<string>();
	private _failureStreak = 0;

	recordDone(nowMs: number): void {
		this._doneEnds.addEvent(nowMs);
		this._failureStreak = 0;
	}

	/** Counts a failed run, unless the job is remembered as failed. */
	recordFailure(jobId: string, nowMs: number): void {
		if (this._failedJobs.has(jobId)) {
			return;
		}
		this._failedJobs.add(jobId);
		if (this._failedJobs.size > maxFailedJobs) {
			const [oldest] = this._failedJobs;
			this._failedJobs.delete(oldest ?? '');
		}
		this._failedEnds.addEvent(nowMs);
		this._failureStreak += 1;
	}

	/** Returns the counts that are reported to entries. */
	getCounts(nowMs: number): {
		readonly failedEnds: number;
		readonly doneEnds: number;
		readonly failureStreak: number;
	} {
		return {
			failedEnds: this._failedEnds.valueAt(nowMs),
			doneEnds: this._doneEnds.valueAt(nowMs),
			failureStreak: this._failureStreak,
		};
	}

	/** Resets all counts when the worker changes. */
	reset(): void {
		this._failedEnds.clear();
		this._doneEnds.clear();
		this._failedJobs.clear();
		this._failureStreak = 0;
	}
}
