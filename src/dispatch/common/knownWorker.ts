/** Which worker, and which of its lives, an agent works with. */

import type { WorkerAnnouncement } from './taskWorker.js';

/** Time for which an announcement holds; workers renew it each 1.5 s. */
const announcementTtlMs = 6000;

/** What an announcement means. `late`: it is older than what is known, and changes nothing. */
export type AnnouncementNews = 'late' | 'renewed' | 'newLife';

/**
 * The worker beside the agent.
 *
 * @example
 * if (worker.judge(announcement) === 'newLife') { worker.lose(); }
 * worker.take(announcement, nowMs);
 */
export class KnownWorker {
	private _announcement: WorkerAnnouncement | undefined;
	private _announcedMs = -Infinity;
	private _bornAtMs: number | undefined;
	private _life = 0;
	private _isPresumed = false;

	/** What the worker said last; `undefined` while it is unknown. */
	get announcement(): WorkerAnnouncement | undefined {
		return this._announcement;
	}

	/** Id for orders that are meant for this worker alone; `undefined` before it has said it. */
	get workerId(): string | undefined {
		return this._isPresumed ? undefined : this._announcement?.workerId;
	}

	/** Changes with each worker and each of its lives; what was begun before is void. */
	get life(): number {
		return this._life;
	}

	/**
	 * Takes what is to be expected of the worker at the agent's address before it has said anything. The worker itself
	 * refuses what does not fit, so a wrong guess costs a refused start.
	 */
	presume(announcement: WorkerAnnouncement, nowMs: number): void {
		this._announcement = announcement;
		this._announcedMs = nowMs;
		this._isPresumed = true;
	}

	/** Compares an announcement with what is known. */
	judge(announcement: WorkerAnnouncement): AnnouncementNews {
		const known = this._isPresumed ? undefined : this._announcement;
		if (known?.workerId === announcement.workerId && !this._isOther(announcement.bornAtMs)) {
			return announcement.sequence > known.sequence ? 'renewed' : 'late';
		}
		if (isEarlier(announcement.bornAtMs, this._bornAtMs)) {
			return 'late';
		}
		const isFirst = known === undefined && this._life === 0 && !this._isOther(announcement.bornAtMs);
		return isFirst ? 'renewed' : 'newLife';
	}

	take(announcement: WorkerAnnouncement, nowMs: number): void {
		this._announcement = announcement;
		this._announcedMs = nowMs;
		this._isPresumed = false;
		this._bornAtMs = announcement.bornAtMs ?? this._bornAtMs;
	}

	/** Takes the birth that the worker's lists tell. Returns whether they are another life's. */
	isOtherLife(bornAtMs: number | undefined): boolean {
		const isOther = this._isOther(bornAtMs);
		this._bornAtMs = bornAtMs ?? this._bornAtMs;
		return isOther;
	}

	/** Forgets the worker; it must announce itself again. */
	lose(): void {
		this._life += 1;
		this._announcement = undefined;
		this._isPresumed = false;
		this._bornAtMs = undefined;
	}

	/** Whether the worker may get tasks by its own word. */
	isReady(nowMs: number): boolean {
		const announcement = this._announcement;
		return (
			announcement !== undefined && !announcement.isLeaving && nowMs - this._announcedMs < announcementTtlMs
		);
	}

	/** Least time until the worker ends; infinite while it stays. */
	leavesInMs(nowMs: number): number {
		const { isLeaving, remainingMs } = this._announcement ?? { isLeaving: false, remainingMs: undefined };
		return isLeaving ? (remainingMs ?? Infinity) - (nowMs - this._announcedMs) : Infinity;
	}

	private _isOther(bornAtMs: number | undefined): boolean {
		return bornAtMs !== undefined && this._bornAtMs !== undefined && bornAtMs !== this._bornAtMs;
	}
}

function isEarlier(bornAtMs: number | undefined, knownBornAtMs: number | undefined): boolean {
	return bornAtMs !== undefined && knownBornAtMs !== undefined && bornAtMs < knownBornAtMs;
}
