/** Tracks the worker that an agent works with, and that worker's restarts. */

import type { WorkerAnnouncement } from './taskWorker.js';
import { getWorkerKey } from './workerCrash.js';

/** Time for which an announcement is valid; workers renew theirs every 1.5 s. */
const announcementTtlMs = 6000;
/** Time for which an announcement with a lower sequence number counts as older; two announcements and a margin. */
const sequenceTtlMs = 3500;
/** Time for which the announced capacity is valid, since it may shrink. */
const capacityTtlMs = 4000;

/**
 * Classification of an announcement. `late`: older than the known one, and ignored. `renewed`: from the known worker, or from the
 * life of it that has listed its runs already. `newLife`: from another worker, or from the known one after a restart.
 */
export type AnnouncementStatus = 'late' | 'renewed' | 'newLife';

/**
 * Holds the last announcement of an agent's worker.
 *
 * @example
 * if (worker.classifyAnnouncement(announcement, nowMs) === 'newLife') { worker.discard(); }
 * worker.setAnnouncement(announcement, nowMs);
 */
export class KnownWorker {
	private _announcement: WorkerAnnouncement | undefined;
	private _announcedAtMs = -Infinity;
	private _bornAtMs: number | undefined;
	private _incarnation = 0;
	private _isPresumed = false;
	private _hasCapacityExpired = false;
	private _hasLeft = false;

	/** Last announcement, or the presumed one; `undefined` while no worker is known. */
	get announcement(): WorkerAnnouncement | undefined {
		return this._announcement;
	}

	/** Worker ID that restricts orders to this worker; `undefined` before the worker has announced it. */
	get workerId(): string | undefined {
		return this._isPresumed ? undefined : this._announcement?.workerId;
	}

	/** Key of the worker's incarnation; `undefined` before the worker has announced itself. */
	get key(): string | undefined {
		return this.workerId === undefined ? undefined : getWorkerKey(this.workerId, this._bornAtMs);
	}

	/** Number that increases when the worker is replaced or restarts; operations begun under an earlier one are void. */
	get incarnation(): number {
		return this._incarnation;
	}

	/**
	 * Sets the presumed announcement of the worker at the agent's address until it announces itself. The worker refuses
	 * what does not fit, so a wrong presumption costs only a refused start.
	 */
	setPresumedAnnouncement(announcement: WorkerAnnouncement, nowMs: number): void {
		this._announcement = announcement;
		this._announcedAtMs = nowMs;
		this._isPresumed = true;
	}

	/** Classifies an announcement by comparison with the known worker. */
	classifyAnnouncement(announcement: WorkerAnnouncement, nowMs: number): AnnouncementStatus {
		const known = this._isPresumed ? undefined : this._announcement;
		if (known?.workerId === announcement.workerId && !this._isOtherIncarnation(announcement.bornAtMs)) {
			// A wrong sequence number, which someone else may have sent, must not outlast a few announcements.
			const isOutdated = nowMs - this._announcedAtMs > sequenceTtlMs;
			return isOutdated || announcement.sequence > known.sequence ? 'renewed' : 'late';
		}
		if (isEarlierIncarnation(announcement.bornAtMs, this._bornAtMs)) {
			return 'late';
		}
		if (known !== undefined || this._isOtherIncarnation(announcement.bornAtMs)) {
			return 'newLife';
		}
		const isListedLife = announcement.bornAtMs !== undefined && announcement.bornAtMs === this._bornAtMs;
		return this._incarnation === 0 || isListedLife ? 'renewed' : 'newLife';
	}

	/** Replaces the known announcement. */
	setAnnouncement(announcement: WorkerAnnouncement, nowMs: number): void {
		this._announcement = announcement;
		this._announcedAtMs = nowMs;
		this._isPresumed = false;
		this._hasCapacityExpired = false;
		this._hasLeft = false;
		this._bornAtMs = announcement.bornAtMs ?? this._bornAtMs;
	}

	/**
	 * Records the start time that the worker reports with its runs. Returns whether the worker has restarted; the caller then
	 * discards the earlier incarnation.
	 */
	detectRestart(bornAtMs: number | undefined): boolean {
		if (this._isOtherIncarnation(bornAtMs)) {
			return true;
		}
		this._bornAtMs = bornAtMs ?? this._bornAtMs;
		return false;
	}

	/** Whether the worker has said that it exits now. */
	get hasLeft(): boolean {
		return this._hasLeft;
	}

	/** Records that the worker has said that it exits; it accepts no tasks unless it announces itself again. */
	markLeft(): void {
		this._hasLeft = true;
		this._announcement = this._announcement && { ...this._announcement, isLeaving: true, remainingMs: 0 };
	}

	/** Discards the worker; it must announce itself again. */
	discard(): void {
		this._incarnation += 1;
		this._announcement = undefined;
		this._isPresumed = false;
		this._hasLeft = false;
		this._bornAtMs = undefined;
	}

	/** Returns whether the last announcement is still valid and the worker is not leaving. */
	isReady(nowMs: number): boolean {
		const announcement = this._announcement;
		return (
			announcement !== undefined && !announcement.isLeaving && nowMs - this._announcedAtMs < announcementTtlMs
		);
	}

	/** Returns whether the worker itself has announced its capacity, and not too long ago. */
	isCapacityKnown(nowMs: number): boolean {
		return (
			this.workerId !== undefined && !this._hasCapacityExpired && nowMs - this._announcedAtMs < capacityTtlMs
		);
	}

	/** Records that this process was paused for a while, so that the announcement is older than its clock says. */
	expireCapacity(): void {
		this._hasCapacityExpired = true;
	}

	/** Returns the least time in milliseconds until the worker exits; infinite while it is not leaving. */
	getTimeToExitMs(nowMs: number): number {
		const { isLeaving, remainingMs } = this._announcement ?? { isLeaving: false, remainingMs: undefined };
		return isLeaving ? (remainingMs ?? Infinity) - (nowMs - this._announcedAtMs) : Infinity;
	}

	private _isOtherIncarnation(bornAtMs: number | undefined): boolean {
		return bornAtMs !== undefined && this._bornAtMs !== undefined && bornAtMs !== this._bornAtMs;
	}
}

function isEarlierIncarnation(bornAtMs: number | undefined, knownBornAtMs: number | undefined): boolean {
	return bornAtMs !== undefined && knownBornAtMs !== undefined && bornAtMs < knownBornAtMs;
}
