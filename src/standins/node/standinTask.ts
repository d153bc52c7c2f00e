/** Simulates a running task by a timer that throttling slows down. */

import { Deferred } from '../../base/common/async.js';
import type { IDisposable } from '../../base/common/disposable.js';
import type { PreciseTimer } from '../../base/node/preciseTimer.js';
import type { TaskIdentity } from '../../protocol/common/jobs.js';
import type { TaskRequest } from '../common/upstreamOptions.js';

/** Reason for which a stand-in task ended. */
export type StandinTaskEnd = 'end' | 'fail' | 'stop' | 'abort';

/** A running task. */
export class StandinTask {
	private readonly _ended = new Deferred<StandinTaskEnd>();
	/** Resolves when the task ends; never rejects. */
	readonly ended = this._ended.promise;
	readonly startedAtMs = performance.now();
	private _remainingMs: number;
	private _share = 1;
	private _resumedAtMs = performance.now();
	private _scheduledEnd: IDisposable;

	constructor(
		readonly identity: TaskIdentity,
		readonly request: TaskRequest,
		runMs: number,
		private readonly _plannedEnd: 'end' | 'fail',
		private readonly _preciseTimer: PreciseTimer,
	) {
		this._remainingMs = runMs;
		this._scheduledEnd = this._scheduleEnd();
	}

	/** Share of a processor that the task gets. */
	get share(): number {
		return this._share;
	}

	/** Sets the share of a processor, at least 0.01; 1 ends the throttling. */
	throttle(share: number): void {
		const nowMs = performance.now();
		this._remainingMs = Math.max(0, this._remainingMs - (nowMs - this._resumedAtMs) * this._share);
		this._resumedAtMs = nowMs;
		this._share = Math.max(share, 0.01);
		this._scheduledEnd.dispose();
		this._scheduledEnd = this._scheduleEnd();
	}

	/** Ends the task. */
	finish(end: StandinTaskEnd): void {
		this._scheduledEnd.dispose();
		this._ended.resolve(end);
	}

	private _scheduleEnd(): IDisposable {
		return this._preciseTimer.schedule(performance.now() + this._remainingMs / this._share, () => {
			this.finish(this._plannedEnd);
		});
	}
}
