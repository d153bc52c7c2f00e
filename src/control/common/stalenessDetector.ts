/** Decides when a process fails over from its keeper or entry. Performs no I/O; callers pass the times. */

import type { ControlServer } from './serverSelector.js';

/** Age of the state beyond which the process fails over. */
const failoverAfterMs = 700;

/**
 * The same limit for an entry that has proved to be fresh. It leaves the entry time to fail over to another keeper and
 * keep its subscribers, and is short enough that they have fresh state from another server well before 3 s.
 */
const failoverFromEntryAfterMs = 1400;

/** Upper bound of the limits, which double with each failover that finds no fresh server. */
const maxFailoverAfterMs = 6000;

/** Tracks the freshness of one server at a time. */
export class StalenessDetector {
	private _kind: ControlServer['kind'] = 'keeper';
	private _freshAtMs = 0;
	private _hasProvenFresh = false;
	private _failoversSinceFresh = 0;

	/** Whether the current server has proved its state to be fresher than the limit for failover. */
	get hasProvenFresh(): boolean {
		return this._hasProvenFresh;
	}

	/** Starts the tracking of a server. */
	startServer(kind: ControlServer['kind'], nowMs: number): void {
		this._kind = kind;
		this._freshAtMs = nowMs;
		this._hasProvenFresh = false;
	}

	/** Records that the state is proved to contain everything that was committed at `confirmedAtMs`. */
	recordFreshness(confirmedAtMs: number, nowMs: number): void {
		this._freshAtMs = Math.max(this._freshAtMs, confirmedAtMs);
		if (nowMs - confirmedAtMs >= this._getBaseLimitMs(true)) {
			return;
		}
		this._hasProvenFresh = true;
		this._failoversSinceFresh = 0;
	}

	/** Counts a failover. Returns the number of earlier ones since a server last proved to be fresh. */
	countFailover(): number {
		const earlierFailovers = this._failoversSinceFresh;
		this._failoversSinceFresh += 1;
		return earlierFailovers;
	}

	/** Returns whether the current server has been silent or stale beyond the limit. */
	isStale(nowMs: number): boolean {
		const doublings = Math.max(0, this._failoversSinceFresh - 1);
		const limitMs = Math.min(maxFailoverAfterMs, this._getBaseLimitMs(this._hasProvenFresh) * 2 ** doublings);
		return nowMs - this._freshAtMs > limitMs;
	}

	private _getBaseLimitMs(isProven: boolean): number {
		return this._kind === 'entry' && isProven ? failoverFromEntryAfterMs : failoverAfterMs;
	}
}
