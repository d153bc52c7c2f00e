/** Detects entries that do not reconnect within a grace period after their last connection was lost. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';

/** Time within which a lost entry must reconnect before its runs are stopped. */
export const reconnectGraceMs = 250;
/** Least time from the loss of an entry until its callers send their jobs to another one, which starts them at once. */
const minCallerReturnMs = 1300;
/** Longest time that a worker takes to end a run after a stop order. */
const maxStopMs = 50;
/** Margin for a retransmission of the entry's last bytes, late timers, and stop orders that wait for each other. */
const stopMarginMs = 300;
/** Longest time after the last byte from an entry for which its runs are kept. */
const entrySilenceLimitMs = minCallerReturnMs - maxStopMs - stopMarginMs;

/**
 * Returns the longest time after the last byte from an entry at which its runs are told to stop.
 *
 * @param silenceTimeoutMs silence after which the connection to the entry is closed
 */
export function getLatestStopMs(silenceTimeoutMs: number): number {
	return Math.max(silenceTimeoutMs, Math.min(silenceTimeoutMs + reconnectGraceMs, entrySilenceLimitMs));
}

/** Runs a timer for each lost entry of an agent. */
export class LostEntryMonitor extends Disposable {
	private readonly _onDidExpire = this._register(new Emitter<string>());
	/** Fires with the key of an entry that did not reconnect in time; see {@link handleLost}. */
	readonly onDidExpire = this._onDidExpire.event;

	private readonly _timers = new Map<string, NodeJS.Timeout>();

	constructor() {
		super();
		this._register(
			toDisposable(() => {
				for (const timer of this._timers.values()) {
					clearTimeout(timer);
				}
			}),
		);
	}

	/** Cancels the timer of an entry that has connected. */
	handleConnected(entryKey: string): void {
		clearTimeout(this._timers.get(entryKey));
		this._timers.delete(entryKey);
	}

	/**
	 * Starts the timer of an entry whose last connection was lost. It has {@link reconnectGraceMs} to reconnect, but less if it was
	 * silent before, since its callers' patience counts from its last sign of life.
	 *
	 * @param silenceMs time since the last byte from the entry
	 */
	handleLost(entryKey: string, silenceMs: number): void {
		clearTimeout(this._timers.get(entryKey));
		const graceMs = Math.min(reconnectGraceMs, entrySilenceLimitMs - silenceMs);
		this._timers.set(
			entryKey,
			setTimeout(
				() => {
					this._timers.delete(entryKey);
					this._onDidExpire.fire(entryKey);
				},
				Math.max(0, graceMs),
			),
		);
	}
}
