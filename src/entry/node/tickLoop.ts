/** Runs the core: all input that waits goes into one tick a turn of the event loop, and a timer covers deadlines. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { IClock } from '../../base/common/clock.js';
import type { EntryCore } from '../common/entryCore.js';
import type { EntryInput, EntryOutputs } from '../common/tickTypes.js';

/** What a tick loop works with. */
export interface TickLoopOptions {
	readonly core: EntryCore;
	readonly clock: IClock;
	/** Greatest possible age of the control state. */
	readonly tablesAgeMs: () => number;
	/** Carries out what a tick asks for. */
	readonly perform: (outputs: EntryOutputs) => void;
}

/** Feeds a core. */
export class TickLoop extends Disposable {
	private _inputs: EntryInput[] = [];
	private _isScheduled = false;
	private _timer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: TickLoopOptions) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
		this._schedule();
	}

	/** Adds input to the next tick. */
	push(input: EntryInput): void {
		this._inputs.push(input);
		this._schedule();
	}

	private _schedule(): void {
		if (this._isScheduled || this._isDisposed) {
			return;
		}
		this._isScheduled = true;
		setImmediate(() => {
			this._run();
		});
	}

	private _run(): void {
		this._isScheduled = false;
		if (this._isDisposed) {
			return;
		}
		const { core, clock, tablesAgeMs, perform } = this._options;
		const inputs = this._inputs;
		this._inputs = [];
		const outputs = core.tick(inputs, { nowMs: clock.nowMs(), tablesAgeMs: tablesAgeMs() });
		perform(outputs);
		this._wakeAt(outputs.nextTickMs);
	}

	private _wakeAt(atMs: number): void {
		clearTimeout(this._timer);
		const waitMs = Math.max(1, Math.ceil(atMs - this._options.clock.nowMs()));
		this._timer = setTimeout(() => {
			this._schedule();
		}, waitMs);
	}
}
