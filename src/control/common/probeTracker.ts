/** Numbers freshness probes and records when each was sent. */

/** Probes that are kept. At four per second they cover more time than any state is used for. */
const maxProbes = 64;

/** Tracks the probes of one process. Numbers increase across connections, so that a late answer matches no newer probe. */
export class ProbeTracker {
	private readonly _sentAtMsByProbe = new Map<number, number>();
	private _lastProbe = 0;

	/** Returns the number of a new probe, sent now. */
	startProbe(nowMs: number): number {
		this._lastProbe += 1;
		this._sentAtMsByProbe.set(this._lastProbe, nowMs);
		this._sentAtMsByProbe.delete(this._lastProbe - maxProbes);
		return this._lastProbe;
	}

	/** Returns when a probe was sent, by the own clock, or undefined when it is unknown or no longer kept. */
	getSentAtMs(probe: number): number | undefined {
		return this._sentAtMsByProbe.get(probe);
	}
}
