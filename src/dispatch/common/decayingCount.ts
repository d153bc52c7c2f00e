/** Counts events with exponential decay. */

/** Time after which an event's weight is halved. */
const halfLifeMs = 700;

/** Count of recent events in which older ones weigh less. */
export class DecayingCount {
	private _value = 0;
	private _updatedAtMs = 0;

	addEvent(nowMs: number): void {
		this._value = this.valueAt(nowMs) + 1;
		this._updatedAtMs = nowMs;
	}

	valueAt(nowMs: number): number {
		return this._value * 2 ** (-(nowMs - this._updatedAtMs) / halfLifeMs);
	}

	clear(): void {
		this._value = 0;
	}
}
