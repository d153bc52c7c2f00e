/** Monotonic time, as an interface so that tests can drive it. */

/** Reads a monotonic clock. Values of different processes can't be compared. */
export interface IClock {
	/** Milliseconds since an arbitrary start, with a fraction; never goes back. */
	nowMs(): number;
}

/** The process's own monotonic clock. */
export const monotonicClock: IClock = { nowMs: () => performance.now() };

/**
 * A clock that a test moves by hand.
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

	/** Moves the clock forward. */
	advance(byMs: number): void {
		this._nowMs += byMs;
	}
}
