/**
 * Counts how runs end at a worker, so that entries can tell a worker in trouble from jobs that can never be done. Each
 * job's failures count once: the tasks of one such job fail everywhere, and no worker is to pay for it.
 */

import { DecayingCount } from './decayingCount.js';

/** Jobs that are remembered as failed here. */
const maxFailedJobs = 50;

/** Counts of one worker. */
export class EndCounts {
	private readonly _failed = new DecayingCount();
	private readonly _done = new DecayingCount();
	private readonly _failedJobs = new Set<string>();
	private _streak = 0;

	noteDone(nowMs: number): void {
		this._done.add(nowMs);
		this._streak = 0;
	}

	noteFailed(jobId: string, nowMs: number): void {
		if (this._failedJobs.has(jobId)) {
			return;
		}
		this._failedJobs.add(jobId);
		if (this._failedJobs.size > maxFailedJobs) {
			const [oldest] = this._failedJobs;
			this._failedJobs.delete(oldest ?? '');
		}
		this._failed.add(nowMs);
		this._streak += 1;
	}

	/** Counts as entries are told them. */
	at(nowMs: number): {
		readonly failedEnds: number;
		readonly doneEnds: number;
		readonly failureStreak: number;
	} {
		return {
			failedEnds: this._failed.valueAt(nowMs),
			doneEnds: this._done.valueAt(nowMs),
			failureStreak: this._streak,
		};
	}

	/** Forgets everything, for another worker. */
	clear(): void {
		this._failed.clear();
		this._done.clear();
		this._failedJobs.clear();
		this._streak = 0;
	}
}
