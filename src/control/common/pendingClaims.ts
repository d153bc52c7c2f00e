/** Claims and releases that the keepers have not answered yet, kept so that they can be sent again. */

import { Deferred } from '../../base/common/async.js';
import type {
	ClaimAnswersMessage,
	ClaimOutcome,
	ClaimRequest,
	ReleaseAnswer,
} from '../../protocol/common/keeperMessages.js';

/** Releases that are kept for sending again; beyond it the oldest is dropped, and its claim ends with its retention. */
const maxReleases = 10_000;

/** A claim that waits for its outcome. */
interface PendingClaim {
	readonly request: ClaimRequest;
	readonly outcome: Deferred<ClaimOutcome>;
	isSent: boolean;
}

/** Numbers claims, so that a release takes back no claim but its own. */
export class PendingClaims {
	private readonly _claims = new Map<number, PendingClaim>();
	private readonly _releases = new Map<string, ClaimRequest>();
	private _nextNumber = 1;

	/** Adds a claim and returns its number and outcome. */
	claim(request: ClaimRequest): { readonly claimNumber: number; readonly outcome: Promise<ClaimOutcome> } {
		const claimNumber = this._nextNumber;
		this._nextNumber += 1;
		const outcome = new Deferred<ClaimOutcome>();
		this._claims.set(claimNumber, { request: { ...request, claimNumber }, outcome, isSent: false });
		return { claimNumber, outcome: outcome.promise };
	}

	/**
	 * Adds a release of every claim that this process has made of the submission so far. A claim that is still
	 * waiting ends as `unknown`.
	 */
	release(request: ClaimRequest): void {
		const claimNumber = this._nextNumber - 1;
		for (const [number, claim] of [...this._claims]) {
			if (claim.request.submissionId === request.submissionId) {
				this.giveUp(number);
			}
		}
		this._releases.set(request.submissionId, { ...request, claimNumber });
		const [oldest] = this._releases.keys();
		if (this._releases.size > maxReleases && oldest !== undefined) {
			this._releases.delete(oldest);
		}
	}

	/** Ends a claim whose time is over. */
	giveUp(claimNumber: number): void {
		this._claims.get(claimNumber)?.outcome.resolve('unknown');
		this._claims.delete(claimNumber);
	}

	/** Claims that were not sent on the present connection; they count as sent afterwards. */
	takeUnsentClaims(): ClaimRequest[] {
		const unsent = [...this._claims.values()].filter((claim) => !claim.isSent);
		for (const claim of unsent) {
			claim.isSent = true;
		}
		return unsent.map((claim) => claim.request);
	}

	/** Releases that are not recorded yet. */
	get releases(): readonly ClaimRequest[] {
		return [...this._releases.values()];
	}

	/** Notes that the connection is new: everything must be sent again. */
	resetSent(): void {
		for (const claim of this._claims.values()) {
			claim.isSent = false;
		}
	}

	/** Takes answers. Returns whether a claim must be sent again because the keeper could not tell. */
	takeAnswers({ answers, released }: ClaimAnswersMessage): boolean {
		let mustRetry = false;
		for (const answer of answers) {
			const claim = this._claims.get(answer.claimNumber ?? 0);
			if (claim === undefined) {
				continue;
			}
			if (answer.outcome === 'unknown') {
				claim.isSent = false;
				mustRetry = true;
				continue;
			}
			this._claims.delete(answer.claimNumber ?? 0);
			claim.outcome.resolve(answer.outcome);
		}
		for (const release of released) {
			this._forgetRelease(release);
		}
		return mustRetry;
	}

	/** Ends every claim as `unknown`. */
	dispose(): void {
		for (const claimNumber of [...this._claims.keys()]) {
			this.giveUp(claimNumber);
		}
	}

	private _forgetRelease({ submissionId, claimNumber }: ReleaseAnswer): void {
		if (this._releases.get(submissionId)?.claimNumber === claimNumber) {
			this._releases.delete(submissionId);
		}
	}
}
