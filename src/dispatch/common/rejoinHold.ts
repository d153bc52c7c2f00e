/** Decides when an entry that was away may place tasks again. */

/** Time without a check after which this process counts as paused. */
const pauseMs = 500;
/** Time after a pause within which this process has read what had arrived meanwhile, such as the ends of connections. */
const catchUpMs = 50;
/** Longest hold: one attempt of another entry to connect that times out, its longest wait for the next one, and a margin. */
const maxHoldMs = 800;
/** Time for which an entry that has disconnected is expected to come back. */
const lostPeerRetentionMs = 60_000;

interface Peer {
	readonly connectionId: number;
	/** Time at which the connection was lost; `undefined` while it is open. */
	lostAtMs: number | undefined;
}

/**
 * Holds the placing back once this entry was paused or had lost all agents, until the other entries have told what they
 * remember: agents connect again as soon as entries do, and a job that this entry holds may have been cancelled meanwhile.
 *
 * @example
 * hold.check(nowMs);
 * core.schedule(nowMs, !hold.isActive(nowMs));
 */
export class RejoinHold {
	/** Entries that have told this one what they remember, by process ID. */
	private readonly _peers = new Map<string, Peer>();
	private _checkedAtMs: number;
	private _earliestEndMs = -Infinity;
	private _latestEndMs = -Infinity;

	constructor(nowMs: number) {
		this._checkedAtMs = nowMs;
	}

	/** Begins the hold if this process was paused. To be called all the time, and before each placing. */
	check(nowMs: number): void {
		if (nowMs - this._checkedAtMs > pauseMs) {
			this._earliestEndMs = nowMs + catchUpMs;
			this.begin(nowMs);
		}
		this._checkedAtMs = nowMs;
	}

	/** Begins the hold. */
	begin(nowMs: number): void {
		this._latestEndMs = nowMs + maxHoldMs;
	}

	/** Another entry has told over a connection what it remembers; what it hears later follows on the same connection. */
	handlePeerCaughtUp(peerId: string, connectionId: number): void {
		this._peers.set(peerId, { connectionId, lostAtMs: undefined });
	}

	handlePeerLost(peerId: string, connectionId: number, nowMs: number): void {
		const peer = this._peers.get(peerId);
		if (peer?.connectionId === connectionId) {
			peer.lostAtMs = nowMs;
		}
	}

	isActive(nowMs: number): boolean {
		if (nowMs < this._earliestEndMs) {
			return true;
		}
		if (nowMs >= this._latestEndMs) {
			return false;
		}
		const isAwaited = ({ lostAtMs }: Peer): boolean =>
			lostAtMs !== undefined && nowMs - lostAtMs < lostPeerRetentionMs;
		if ([...this._peers.values()].some(isAwaited)) {
			return true;
		}
		this._latestEndMs = -Infinity;
		return false;
	}
}
