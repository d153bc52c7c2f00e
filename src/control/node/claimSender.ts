/** Sends claims and releases to the keeper and repeats them on each new connection until they are answered. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type {
	ClaimAnswersMessage,
	ClaimMessage,
	ClaimOutcome,
	ClaimRequest,
	ReleaseClaimsMessage,
} from '../../protocol/common/keeperMessages.js';
import { PendingClaims } from '../common/pendingClaims.js';

/** Delay before resending a claim that a keeper could not record. */
const claimRetryDelayMs = 50;

/** The connection on which claims are sent. */
export interface ClaimLink {
	/** Returns whether a keeper is connected. */
	readonly isOpen: () => boolean;
	readonly send: (message: ClaimMessage | ReleaseClaimsMessage) => void;
}

/** Sends the claims of one process. */
export class ClaimSender extends Disposable {
	private readonly _pending = new PendingClaims();
	private _retryTimer: NodeJS.Timeout | undefined;
	private _isSendScheduled = false;

	constructor(private readonly _link: ClaimLink) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._retryTimer);
				this._pending.dispose();
			}),
		);
	}

	/** Records a claim durably. Returns `unknown` when no answer arrives within `timeoutMs`. */
	async claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome> {
		const { claimNumber, outcome } = this._pending.addClaim(request);
		const timer = setTimeout(() => {
			this._pending.resolveAsUnknown(claimNumber);
		}, timeoutMs);
		this._scheduleSend();
		try {
			return await outcome;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Releases all claims that were made of a submission so far. */
	release(request: ClaimRequest): void {
		this._pending.addRelease(request);
		this._scheduleSend();
	}

	/** Marks everything for sending again after the connection was lost. */
	markAllUnsent(): void {
		this._pending.markAllUnsent();
	}

	/** Sends the claims and releases that were not yet sent on the current connection. */
	sendUnsent(): void {
		if (!this._link.isOpen()) {
			return;
		}
		const releases = this._pending.takeUnsentReleases();
		const claims = this._pending.takeUnsentClaims();
		if (releases.length > 0) {
			this._link.send({ kind: 'releaseClaims', claims: releases });
		}
		if (claims.length > 0) {
			this._link.send({ kind: 'claim', claims });
		}
	}

	/** Handles a keeper's answers and schedules a resend when it could not record a claim. */
	handleAnswers(answers: ClaimAnswersMessage): void {
		if (!this._pending.applyAnswers(answers)) {
			return;
		}
		this._retryTimer ??= setTimeout(() => {
			this._retryTimer = undefined;
			this.sendUnsent();
		}, claimRetryDelayMs);
	}

	private _scheduleSend(): void {
		if (this._isSendScheduled) {
			return;
		}
		this._isSendScheduled = true;
		setImmediate(() => {
			this._isSendScheduled = false;
			this.sendUnsent();
		});
	}
}
