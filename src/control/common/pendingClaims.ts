/** Claims and releases that the keepers have not answered yet, kept for resending. */

import { Deferred } from '../../base/common/async.js';
import type {
	ClaimAnswersMessage,
	ClaimOutcome,
	ClaimRequest,
} from '../../protocol/common/keeperMessages.js';

/** Releases kept for resending. Beyond this the oldest is dropped, and its claim expires after its retention time. */
const maxPendingReleases = 10_000;

/** A claim that waits for its outcome. */
interface PendingClaim {
	readonly request: ClaimRequest;
	readonly outcome: Deferred<ClaimOutcome>;
	isSent: boolean;
}

/** A release that is not recorded yet. */
interface PendingRelease {
	readonly request: ClaimRequest;
	isSent: boolean;
}

/** Numbers claims and releases in order, so that a release does not affect a later claim. */
export class PendingClaims {
	private readonly _claims = new Map<number, PendingClaim>();
	private readonly _releases = new Map<number, PendingRelease>();
	private _nextNumber = 1;

	/** Adds a claim and returns its number and outcome. */
	addClaim(request: ClaimRequest): { readonly claimNumber: number; readonly outcome: Promise<ClaimOutcome> } {
		const claimNumber = this._allocateNumber();
		const outcome = new Deferred<ClaimOutcome>();
		this._claims.set(claimNumber, { request: { ...request, claimNumber }, outcome, isSent: false });
		return { claimNumber, outcome: outcome.promise };
	}

	/**
	 * Adds a release of every claim that the owner has made of the submission so far. Claims that are still pending
	 * resolve as `unknown`.
	 */
	addRelease(request: ClaimRequest): void {
		const claimNumber = this._allocateNumber();
		for (const [number, claim] of [...this._claims]) {
			if (isSameOwnerAndSubmission(claim.request, request)) {
				this.resolveAsUnknown(number);
			}
		}
		this._releases.set(claimNumber, { request: { ...request, claimNumber }, isSent: false });
		const [oldest] = this._releases.keys();
		if (this._releases.size > maxPendingReleases && oldest !== undefined) {
			this._releases.delete(oldest);
		}
	}

	/** Resolves a claim as `unknown` and forgets it. */
	resolveAsUnknown(claimNumber: number): void {
		this._claims.get(claimNumber)?.outcome.resolve('unknown');
		this._claims.delete(claimNumber);
	}

	/** Returns the claims not yet sent on the current connection and marks them as sent. */
	takeUnsentClaims(): ClaimRequest[] {
		return takeUnsent(this._claims.values());
	}

	/** Returns the releases not yet sent on the current connection and marks them as sent. */
	takeUnsentReleases(): ClaimRequest[] {
		return takeUnsent(this._releases.values());
	}

	/** Marks everything for sending again on a new connection. */
	markAllUnsent(): void {
		for (const pending of [...this._claims.values(), ...this._releases.values()]) {
			pending.isSent = false;
		}
	}

	/** Applies answers. Returns whether a claim must be resent because the keeper did not know its outcome. */
	applyAnswers({ answers, released }: ClaimAnswersMessage): boolean {
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
			this._releases.delete(release.claimNumber ?? 0);
		}
		return mustRetry;
	}

	/** Resolves every claim as `unknown`. */
	dispose(): void {
		for (const claimNumber of [...this._claims.keys()]) {
			this.resolveAsUnknown(claimNumber);
		}
	}

	private _allocateNumber(): number {
		const number = this._nextNumber;
		this._nextNumber += 1;
		return number;
	}
}

function takeUnsent(pending: Iterable<PendingClaim | PendingRelease>): ClaimRequest[] {
	const unsent = [...pending].filter((member) => !member.isSent);
	for (const member of unsent) {
		member.isSent = true;
	}
	return unsent.map((member) => member.request);
}

function isSameOwnerAndSubmission(a: ClaimRequest, b: ClaimRequest): boolean {
	return (
		a.submissionId === b.submissionId && a.ownerId === b.ownerId && a.ownerIncarnation === b.ownerIncarnation
	);
}
