/** A count in which older events weigh less. */

/** Time after which an event counts half. */
const halfLifeMs = 700;

/** Counts events of the last seconds. */
export class DecayingCount {
	private _value = 0;
	private _atMs = 0;

	add(nowMs: number): void {
		this._value = this.valueAt(nowMs) + 1;
		this._atMs = nowMs;
	}

	valueAt(nowMs: number): number {
		return this._value * 2 ** (-(nowMs - this._atMs) / halfLifeMs);
	}

	clear(): void {
		this._value = 0;
	}
}
