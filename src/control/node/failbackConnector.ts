/**
 * Connects to the preferred entry of a process while its current server still serves it. An entry that can't be reached
 * therefore does not interrupt the subscription, and a restarted entry gets its subscribers back.
 */

import { backoffMs, type BackoffOptions } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ControlServer } from '../common/serverSelector.js';
import type { ControlLink } from './controlLink.js';

/** Delay between attempts. Half of it is random, so that processes don't switch at the same moment. */
const failbackBackoff: BackoffOptions = { firstMs: 1000, maxMs: 60_000 };

/** Time without a better server after which the backoff starts again from its first delay. */
const attemptsResetAfterMs = 30_000;

/** Makes at most one connection attempt at a time. */
export class FailbackConnector extends Disposable {
	private readonly _onDidOpen = this._register(new Emitter<ControlLink>());
	/** Fires with the open link. The listener takes ownership of it. */
	readonly onDidOpen = this._onDidOpen.event;

	private _link: ControlLink | undefined;
	private _attempts = 0;
	private _nextAttemptAtMs: number | undefined;
	private _noBetterServerSinceMs: number | undefined;

	constructor(
		private readonly _random: () => number,
		private readonly _createLink: (server: ControlServer) => ControlLink,
	) {
		super();
		this._register(
			toDisposable(() => {
				this._disposeLink();
			}),
		);
	}

	/** Starts an attempt when one is due. Called at short intervals with the better server, if there is one. */
	update(better: ControlServer | undefined, nowMs: number): void {
		if (better === undefined) {
			this._handleNoBetterServer(nowMs);
			return;
		}
		this._noBetterServerSinceMs = undefined;
		this._nextAttemptAtMs ??= nowMs + backoffMs(failbackBackoff, this._attempts, this._random);
		if (this._link !== undefined || nowMs < this._nextAttemptAtMs) {
			return;
		}
		this._attempts += 1;
		this._nextAttemptAtMs = undefined;
		this._startAttempt(better);
	}

	/** Aborts the attempt because the current server was lost, and schedules the next one after a delay. */
	abort(nowMs: number): void {
		this._disposeLink();
		this._noBetterServerSinceMs = undefined;
		this._nextAttemptAtMs = nowMs + backoffMs(failbackBackoff, this._attempts, this._random);
	}

	private _handleNoBetterServer(nowMs: number): void {
		this._disposeLink();
		this._noBetterServerSinceMs ??= nowMs;
		if (nowMs - this._noBetterServerSinceMs > attemptsResetAfterMs) {
			this._attempts = 0;
			this._nextAttemptAtMs = undefined;
		}
	}

	private _startAttempt(server: ControlServer): void {
		const link = this._createLink(server);
		this._link = link;
		link.onDidOpen(() => {
			if (this._link === link) {
				this._link = undefined;
				this._onDidOpen.fire(link);
			}
		});
		link.onDidFail(() => {
			if (this._link === link) {
				this._disposeLink();
			}
		});
	}

	private _disposeLink(): void {
		const link = this._link;
		this._link = undefined;
		link?.dispose();
	}
}
