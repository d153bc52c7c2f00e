/** Sends claims and releases to the keeper, and again on each new connection until they are answered. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type {
	ClaimAnswersMessage,
	ClaimMessage,
	ClaimOutcome,
	ClaimRequest,
	ReleaseClaimsMessage,
} from '../../protocol/common/keeperMessages.js';
import { PendingClaims } from '../common/pendingClaims.js';

/** Wait before a claim is sent again that a keeper could not record. */
const claimRetryMs = 50;

/** Where claims go. */
export interface ClaimLink {
	/** Whether a keeper takes claims now. */
	readonly isOpen: () => boolean;
	readonly send: (message: ClaimMessage | ReleaseClaimsMessage) => void;
}

/** The claims of one process. */
export class ClaimSender extends Disposable {
	private readonly _pending = new PendingClaims();
	private _retryTimer: NodeJS.Timeout | undefined;
	private _isFlushScheduled = false;

	constructor(private readonly _link: ClaimLink) {
		super();
		this._register(
			toDisposable(() => {
				clearTimeout(this._retryTimer);
				this._pending.dispose();
			}),
		);
	}

	/** Records a claim durably. What is not answered in time is `unknown`. */
	async claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome> {
		const { claimNumber, outcome } = this._pending.claim(request);
		const timer = setTimeout(() => {
			this._pending.giveUp(claimNumber);
		}, timeoutMs);
		this._flushSoon();
		try {
			return await outcome;
		} finally {
			clearTimeout(timer);
		}
	}

	/** Takes back the claims of a submission so far. */
	release(request: ClaimRequest): void {
		this._pending.release(request);
		this._flushSoon();
	}

	/** Notes that the connection is lost: everything must be sent again. */
	reset(): void {
		this._pending.resetSent();
	}

	/** Sends what was not sent on the present connection. */
	flush(): void {
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

	/** Takes a keeper's answers. */
	takeAnswers(answers: ClaimAnswersMessage): void {
		if (!this._pending.takeAnswers(answers)) {
			return;
		}
		this._retryTimer ??= setTimeout(() => {
			this._retryTimer = undefined;
			this.flush();
		}, claimRetryMs);
	}

	private _flushSoon(): void {
		if (this._isFlushScheduled) {
			return;
		}
		this._isFlushScheduled = true;
		setImmediate(() => {
			this._isFlushScheduled = false;
			this.flush();
		});
	}
}
