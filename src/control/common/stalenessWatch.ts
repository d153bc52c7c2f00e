/** Judges when a process must leave the keeper or entry that serves it. Pure: times are given by the caller. */

import type { ControlServer } from './serverChoice.js';

/** Age of the state beyond which another server is tried. */
const moveAfterMs = 700;

/**
 * The same for an entry that has proved to be fresh. It leaves time for the entry itself to move to another keeper, so
 * that its subscribers stay with it, and is short enough that they are fresh again elsewhere well before 3 s.
 */
const moveFromEntryAfterMs = 1400;

/** The limits double with each move in vain, up to this. */
const maxMoveAfterMs = 6000;

/** Watches one server at a time. */
export class StalenessWatch {
	private _kind: ControlServer['kind'] = 'keeper';
	private _freshAtMs = 0;
	private _isProven = false;
	private _movesInVain = 0;

	/** Whether the present server has proved to be as fresh as the state is. */
	get isProven(): boolean {
		return this._isProven;
	}

	/** Notes that a server is tried from now on. */
	begin(kind: ControlServer['kind'], nowMs: number): void {
		this._kind = kind;
		this._freshAtMs = nowMs;
		this._isProven = false;
	}

	/** Notes that the server has proved the state to hold all that was committed at a time. */
	noteFresh(confirmedAtMs: number, nowMs: number): void {
		this._freshAtMs = Math.max(this._freshAtMs, confirmedAtMs);
		if (nowMs - confirmedAtMs >= this._baseMs(true)) {
			return;
		}
		this._isProven = true;
		this._movesInVain = 0;
	}

	/** Counts a move to another server. Returns the moves before it since a server last proved to be fresh. */
	noteMove(): number {
		const before = this._movesInVain;
		this._movesInVain += 1;
		return before;
	}

	/** Whether the present server is silent or stale for too long. */
	isStale(nowMs: number): boolean {
		const doublings = Math.max(0, this._movesInVain - 1);
		const limitMs = Math.min(maxMoveAfterMs, this._baseMs(this._isProven) * 2 ** doublings);
		return nowMs - this._freshAtMs > limitMs;
	}

	private _baseMs(isProven: boolean): number {
		return this._kind === 'entry' && isProven ? moveFromEntryAfterMs : moveAfterMs;
	}
}
