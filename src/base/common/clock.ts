/** Monotonic clocks; tests replace the clock of the process by one that they advance. */

/** A monotonic clock. Values from different processes can't be compared. */
export interface IClock {
	/** Returns the fractional milliseconds since an arbitrary start; never decreases. */
	nowMs(): number;
}

/** The monotonic clock of the process. */
export const monotonicClock: IClock = { nowMs: () => performance.now() };

/**
 * A clock for tests, which advances only by {@link advance}.
 *
 * @example
 * const clock = new ManualClock(1000);
 * clock.advance(50);
 */
export class ManualClock implements IClock {
	private _nowMs: number;

	constructor(startMs = 0) {
		this._nowMs = startMs;
	}

	nowMs(): number {
		return this._nowMs;
	}

	/** Advances the clock. */
	advance(byMs: number): void {
		this._nowMs += byMs;
	}
}
