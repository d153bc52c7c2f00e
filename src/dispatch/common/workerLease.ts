/** An agent's side of its worker's lease: the worker's clock, the token of its orders, and when nothing runs any more. */

/** Time that the lease is renewed ahead; the worker allows 1 s at most, and a lost agent's runs go on for so long. */
export const leaseMs = 700;
/** Time by which a worker's clock may run late over a lease (2%), and a moment for the kill itself. */
const lapseSlackMs = 100;
/** Step by which the token is raised when the worker has seen a higher one: an hour, since tokens begin as seconds. */
const tokenStep = 3600;

/**
 * The lease of one life of a worker.
 *
 * @example
 * const leaseUntilMs = lease.renew(nowMs);
 */
export class WorkerLease {
	private _fencingToken: number;
	/** Worker's clock less the own one. */
	private _clockOffsetMs: number | undefined;
	/** Own clock until which the lease may hold at the worker. */
	private _untilMs = -Infinity;

	constructor(fencingToken: number) {
		this._fencingToken = fencingToken;
	}

	/** Token of all orders. */
	get fencingToken(): number {
		return this._fencingToken;
	}

	/** Whether the worker's clock is known, without which nothing can be started. */
	get isClockKnown(): boolean {
		return this._clockOffsetMs !== undefined;
	}

	/** Takes the worker's clock out of an answer that has just come. */
	noteClock(clockMs: number, nowMs: number): void {
		this._clockOffsetMs = clockMs - nowMs;
	}

	/** Renews the lease. Returns its end on the worker's clock. */
	renew(nowMs: number): number {
		this._untilMs = nowMs + leaseMs;
		return Math.floor(this._untilMs + (this._clockOffsetMs ?? 0));
	}

	/** Whether nothing can run at the worker any more, since no renewal has reached it for so long. */
	hasLapsed(nowMs: number): boolean {
		return nowMs > this._untilMs + lapseSlackMs;
	}

	/** Raises the token above those that the worker has seen. */
	raiseToken(): number {
		this._fencingToken += tokenStep;
		return this._fencingToken;
	}

	/** Forgets the worker's clock and the lease, for another life. */
	reset(): void {
		this._clockOffsetMs = undefined;
		this._untilMs = -Infinity;
	}
}
