/**
 * A timer with a precision of a fraction of a millisecond.
 *
 * Timers of Node.js have a resolution of 1 ms. This timer uses them for the whole milliseconds of a wait and polls the
 * event loop for the rest, so that only the end of a wait costs processor time.
 */

import { Heap } from 'heap-js';
import { Disposable, toDisposable, type IDisposable } from '../common/disposable.js';

/** Delay to expect of Node.js timers: one set to 1 ms fires within 1.18 ms in 99 of 100 cases on an idle machine. */
const timerSlackMs = 0.2;

class ScheduledCall implements IDisposable {
	isCancelled = false;

	constructor(
		readonly dueMs: number,
		readonly sequence: number,
		readonly run: () => void,
	) {}

	dispose(): void {
		this.isCancelled = true;
	}
}

/**
 * Runs callbacks in the order of their due times; equal times run in the order in which they were added.
 *
 * @example
 * const timer = store.add(new PreciseTimer());
 * timer.schedule(performance.now() + 1.25, () => socket.write(chunk));
 */
export class PreciseTimer extends Disposable {
	private readonly _calls = new Heap<ScheduledCall>((a, b) => a.dueMs - b.dueMs || a.sequence - b.sequence);
	private _nextSequence = 0;
	private _sleepTimer: NodeJS.Timeout | undefined;
	private _sleepUntilMs = Infinity;
	private _pollImmediate: NodeJS.Immediate | undefined;

	constructor() {
		super();
		this._register(
			toDisposable(() => {
				this._calls.clear();
				this._cancelWake();
			}),
		);
	}

	/** Calls `run` once, as soon as `performance.now()` has reached `dueMs`; disposing the result cancels the call. */
	schedule(dueMs: number, run: () => void): IDisposable {
		const call = new ScheduledCall(dueMs, this._nextSequence, run);
		if (!this._isDisposed) {
			this._calls.push(call);
			this._nextSequence += 1;
			this._scheduleNextWake();
		}
		return call;
	}

	private _runDueCalls(): void {
		for (;;) {
			const next = this._calls.peek();
			if (next === undefined || next.dueMs > performance.now()) {
				break;
			}
			this._calls.pop();
			if (!next.isCancelled) {
				next.run();
			}
		}
		this._scheduleNextWake();
	}

	private _scheduleNextWake(): void {
		const next = this._calls.peek();
		if (next === undefined || this._pollImmediate !== undefined) {
			return;
		}
		const remainingMs = next.dueMs - performance.now();
		const sleepMs = Math.floor(remainingMs - timerSlackMs);
		if (sleepMs < 1) {
			this._cancelWake();
			this._pollImmediate = setImmediate(() => {
				this._pollImmediate = undefined;
				this._runDueCalls();
			});
			return;
		}
		if (next.dueMs >= this._sleepUntilMs) {
			return;
		}
		clearTimeout(this._sleepTimer);
		this._sleepUntilMs = next.dueMs;
		this._sleepTimer = setTimeout(() => {
			this._sleepTimer = undefined;
			this._sleepUntilMs = Infinity;
			this._runDueCalls();
		}, sleepMs);
	}

	private _cancelWake(): void {
		clearTimeout(this._sleepTimer);
		this._sleepTimer = undefined;
		this._sleepUntilMs = Infinity;
		if (this._pollImmediate !== undefined) {
			clearImmediate(this._pollImmediate);
			this._pollImmediate = undefined;
		}
	}
}
