/**
 * Runs the ticks of an entry's core. All pending inputs go into one tick per turn of the event loop, and a timer starts
 * a tick at the time that the last one requested.
 */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { IClock } from '../../base/common/clock.js';
import type { EntryCore } from '../common/entryCore.js';
import type { EntryInput, EntryOutputs } from '../common/tickTypes.js';

/** Options of {@link TickLoop}. */
export interface TickLoopOptions {
	readonly core: EntryCore;
	readonly clock: IClock;
	/** Returns an upper bound of the control state's age. */
	readonly tablesAgeMs: () => number;
	/** Performs the actions that a tick requests. */
	readonly performOutputs: (outputs: EntryOutputs) => void;
}

/** Schedules the ticks of a core and passes their outputs on. */
export class TickLoop extends Disposable {
	private _pendingInputs: EntryInput[] = [];
	private _isScheduled = false;
	private _timer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: TickLoopOptions) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
		this._scheduleTick();
	}

	/** Adds an input to the next tick and schedules it. */
	push(input: EntryInput): void {
		this._pendingInputs.push(input);
		this._scheduleTick();
	}

	private _scheduleTick(): void {
		if (this._isScheduled || this._isDisposed) {
			return;
		}
		this._isScheduled = true;
		setImmediate(() => {
			this._runTick();
		});
	}

	private _runTick(): void {
		this._isScheduled = false;
		if (this._isDisposed) {
			return;
		}
		const { core, clock, tablesAgeMs, performOutputs: perform } = this._options;
		const inputs = this._pendingInputs;
		this._pendingInputs = [];
		const outputs = core.tick(inputs, { nowMs: clock.nowMs(), tablesAgeMs: tablesAgeMs() });
		perform(outputs);
		this._setTickTimer(outputs.nextTickMs);
	}

	private _setTickTimer(tickAtMs: number): void {
		clearTimeout(this._timer);
		const waitMs = Math.max(1, Math.ceil(tickAtMs - this._options.clock.nowMs()));
		this._timer = setTimeout(() => {
			this._scheduleTick();
		}, waitMs);
	}
}
