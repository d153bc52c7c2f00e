/** Agent's side of a worker's lease: the worker's clock offset, the fencing token, and the expiry of the lease. */

import type { WorkerTime } from './dispatchMessages.js';

/** Duration of a renewed lease. The worker allows at most 1 s. Runs of a lost agent continue for up to this time. */
export const leaseDurationMs = 700;
/** Longest lease that a worker grants. */
const maxWorkerLeaseMs = 1000;
/** Age from which on a start is refused; the rest of its lease is left for the first renewal. */
const maxStartAgeMs = 400;
/** Margin for the drift of a worker's clock during a lease (2%) and for killing the runs. */
const lapseMarginMs = 100;
/** Least advance of the worker's clock that shows a pause of this process; above the delay of an answer. */
const minPauseMs = 500;
/** Increment when the worker has seen a higher token: one hour, since initial tokens are times in seconds. */
const tokenIncrement = 3600;

/**
 * Manages the lease of one worker between two restarts.
 *
 * @example
 * const leaseUntilMs = lease.renew(nowMs);
 */
export class WorkerLease {
	private _fencingToken: number;
	private _incarnation = 0;
	/** Worker's clock minus this process's clock. */
	private _clockOffsetMs: number | undefined;
	/** Latest expiry of the lease, by this process's clock. */
	private _expiresAtMs = -Infinity;
	/** Latest expiry of what a restarted worker may have taken; see {@link hasLapsedAtAnyLife}. */
	private _expiresAtAnyLifeMs = -Infinity;

	constructor(fencingToken: number) {
		this._fencingToken = fencingToken;
	}

	/** Fencing token of all orders. */
	get fencingToken(): number {
		return this._fencingToken;
	}

	/** Whether the worker's clock is known; no run can be started before. */
	get isClockKnown(): boolean {
		return this._clockOffsetMs !== undefined;
	}

	/** Updates the clock offset from an answer that has just arrived. Returns whether this process was paused before. */
	updateClockOffset(clockMs: number, nowMs: number): boolean {
		const offsetMs = clockMs - nowMs;
		const wasPaused = this._clockOffsetMs !== undefined && offsetMs - this._clockOffsetMs > minPauseMs;
		this._clockOffsetMs = offsetMs;
		return wasPaused;
	}

	/** Renews the lease. Returns its expiry by the worker's clock. */
	renew(nowMs: number): number {
		const untilMs = nowMs + leaseDurationMs;
		// A worker never shortens a lease.
		this._expiresAtMs = Math.max(this._expiresAtMs, untilMs);
		this._expiresAtAnyLifeMs = nowMs + maxWorkerLeaseMs;
		return Math.floor(untilMs + (this._clockOffsetMs ?? 0));
	}

	/**
	 * Renews the lease for a start. The lease counts from the time at which the entry sent the start, so that the worker itself
	 * refuses a start that is delayed by a pause of this process, which need not show in this process's clock.
	 */
	renewForStart(sentAt: WorkerTime | undefined, nowMs: number): number {
		const leaseUntilMs = this.renew(nowMs);
		return sentAt === undefined ? leaseUntilMs : Math.min(leaseUntilMs, sentAt.clockMs + leaseDurationMs);
	}

	/** Returns the present time by the worker's clock; `undefined` while the clock is unknown. */
	getWorkerTime(nowMs: number): WorkerTime | undefined {
		return this._clockOffsetMs === undefined
			? undefined
			: { incarnation: this._incarnation, clockMs: Math.floor(nowMs + this._clockOffsetMs) };
	}

	/** Returns whether a start is too old to be carried out, or was meant for an earlier incarnation of the worker. */
	isStartExpired(sentAt: WorkerTime | undefined, nowMs: number): boolean {
		if (sentAt === undefined) {
			return false;
		}
		const workerTime = this.getWorkerTime(nowMs);
		return (
			workerTime?.incarnation !== sentAt.incarnation || workerTime.clockMs - sentAt.clockMs > maxStartAgeMs
		);
	}

	/** Returns whether the last renewal has expired, so that nothing can run any more at the known life of the worker. */
	hasLapsed(nowMs: number): boolean {
		return nowMs > this._expiresAtMs + lapseMarginMs;
	}

	/**
	 * Returns whether nothing can run at the worker any more, whether or not it has restarted meanwhile: by the clock of a new life, the
	 * lease may lie ahead for as long as the worker grants.
	 */
	hasLapsedAtAnyLife(nowMs: number): boolean {
		return nowMs > this._expiresAtAnyLifeMs + lapseMarginMs;
	}

	/** Raises the fencing token after the worker has seen a higher one. Returns the new token. */
	raiseToken(): number {
		this._fencingToken += tokenIncrement;
		return this._fencingToken;
	}

	/**
	 * Discards the clock offset when the worker changes or restarts, and raises the fencing token. A restarted worker may keep its
	 * ID, and its clock restarts at 0, so that only the token shows that a late order was for its earlier life. Orders that the new
	 * life has taken already have a lease by the earlier clock, so that they hold for as long as the worker grants.
	 */
	reset(nowMs: number): void {
		this._fencingToken += 1;
		this._incarnation += 1;
		this._clockOffsetMs = undefined;
		this._expiresAtMs = nowMs + maxWorkerLeaseMs;
		this._expiresAtAnyLifeMs = this._expiresAtMs;
	}
}
