/** Waits a moment for entries whose connection was lost, and tells which of them did not come back. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';

/** Time that a lost entry has to connect again before its runs are stopped. */
export const orphanGraceMs = 250;

/** Watches the entries that have runs at an agent. */
export class OrphanWatch extends Disposable {
	private readonly _onDidGiveUp = this._register(new Emitter<string>());
	/** Fires with the run of an entry that stayed away. */
	readonly onDidGiveUp = this._onDidGiveUp.event;

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

	/** Notes that an entry is connected. */
	returned(entryKey: string): void {
		clearTimeout(this._timers.get(entryKey));
		this._timers.delete(entryKey);
	}

	/** Notes that an entry's last connection is lost. */
	lost(entryKey: string): void {
		clearTimeout(this._timers.get(entryKey));
		this._timers.set(
			entryKey,
			setTimeout(() => {
				this._timers.delete(entryKey);
				this._onDidGiveUp.fire(entryKey);
			}, orphanGraceMs),
		);
	}
}
