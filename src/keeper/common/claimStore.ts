/** Claims on submissions that may run at most once. Part of the replicated state. */

import type { ClaimOutcome, ClaimRequest } from '../../protocol/common/keeperMessages.js';

/** Maximum number of stored claims, about 200 MB. Further claims are answered `unknown` and their jobs are refused. */
export const maxClaims = 1_000_000;

/** Entry process that holds claims, identified by its id and incarnation. All claims of an owner share one object. */
interface ClaimOwner {
	readonly ownerId: string;
	readonly ownerIncarnation: string;
}

/** A granted claim. */
interface Claim {
	readonly owner: ClaimOwner;
	/** Log time of the first grant. */
	readonly grantedAtMs: number;
	/** Highest claim number that the owner has sent for this submission. */
	claimNumber: number;
}

/** Snapshot of the claims, oldest first. Each owner is stored once, and claims refer to it by index. */
export interface ClaimsSnapshot {
	readonly owners: readonly ClaimOwner[];
	readonly claims: readonly (readonly [
		submissionId: string,
		ownerIndex: number,
		grantedAtMs: number,
		claimNumber: number,
	])[];
}

/**
 * Grants each submission to the first owner that claims it, until that owner releases it or the claim expires.
 *
 * @example
 * store.claim({ submissionId: 's1', ownerId: 'entry-1', ownerIncarnation: 'a' }, 0); // 'granted'
 * store.claim({ submissionId: 's1', ownerId: 'entry-2', ownerIncarnation: 'b' }, 1); // 'taken'
 */
export class ClaimStore {
	/** Claims by submission id. Insertion order is the order of `grantedAtMs`. */
	private readonly _claims = new Map<string, Claim>();
	/** Owners by id and incarnation. */
	private readonly _owners = new Map<string, ClaimOwner>();

	constructor(private readonly _maxClaims = maxClaims) {}

	/** Number of stored claims. */
	get size(): number {
		return this._claims.size;
	}

	/**
	 * Grants the claim, also when its owner repeats it. Returns `taken` if another owner holds the submission, and
	 * `unknown` for a new claim when the store is full.
	 */
	claim(request: ClaimRequest, logTimeMs: number): ClaimOutcome {
		const claimNumber = request.claimNumber ?? 0;
		const existing = this._claims.get(request.submissionId);
		if (existing === undefined) {
			if (this._claims.size >= this._maxClaims) {
				return 'unknown';
			}
			const owner = this._internOwner(request);
			this._claims.set(request.submissionId, { owner, grantedAtMs: logTimeMs, claimNumber });
			return 'granted';
		}
		if (!isSameOwner(existing.owner, request)) {
			return 'taken';
		}
		existing.claimNumber = Math.max(existing.claimNumber, claimNumber);
		return 'granted';
	}

	/** Deletes the owner's claim if its number is at most the released one. A newer claim on the submission stays. */
	release(request: ClaimRequest): void {
		const existing = this._claims.get(request.submissionId);
		if (existing === undefined || !isSameOwner(existing.owner, request)) {
			return;
		}
		if (existing.claimNumber <= (request.claimNumber ?? 0)) {
			this._claims.delete(request.submissionId);
		}
	}

	/** Deletes claims that were first granted before a log time. */
	expire(grantedBeforeMs: number): void {
		for (const [submissionId, claim] of this._claims) {
			if (claim.grantedAtMs >= grantedBeforeMs) {
				break;
			}
			this._claims.delete(submissionId);
		}
		this._deleteUnusedOwners();
	}

	/** Returns all claims as a snapshot. */
	snapshot(): ClaimsSnapshot {
		const owners = [...new Set([...this._claims.values()].map((claim) => claim.owner))];
		const indexes = new Map(owners.map((owner, index) => [owner, index]));
		const claims = [...this._claims].map(
			([submissionId, claim]) =>
				[submissionId, indexes.get(claim.owner) ?? 0, claim.grantedAtMs, claim.claimNumber] as const,
		);
		return { owners, claims };
	}

	/** Replaces all claims with those of a snapshot. */
	restore(snapshot: ClaimsSnapshot): void {
		this._claims.clear();
		this._owners.clear();
		const owners = snapshot.owners.map((owner) => this._internOwner(owner));
		for (const [submissionId, ownerIndex, grantedAtMs, claimNumber] of snapshot.claims) {
			const owner = owners[ownerIndex];
			if (owner !== undefined) {
				this._claims.set(submissionId, { owner, grantedAtMs, claimNumber });
			}
		}
	}

	/** Returns the shared object for an owner, and creates it on first use. */
	private _internOwner({ ownerId, ownerIncarnation }: ClaimOwner): ClaimOwner {
		const key = `${ownerId}\n${ownerIncarnation}`;
		const existing = this._owners.get(key);
		if (existing !== undefined) {
			return existing;
		}
		const owner: ClaimOwner = { ownerId, ownerIncarnation };
		this._owners.set(key, owner);
		return owner;
	}

	/** Deletes owners without claims, once there are at least 1000 owners. */
	private _deleteUnusedOwners(): void {
		if (this._owners.size < 1000) {
			return;
		}
		const ownersInUse = new Set([...this._claims.values()].map((claim) => claim.owner));
		for (const [key, owner] of this._owners) {
			if (!ownersInUse.has(owner)) {
				this._owners.delete(key);
			}
		}
	}
}

function isSameOwner(owner: ClaimOwner, request: ClaimRequest): boolean {
	return owner.ownerId === request.ownerId && owner.ownerIncarnation === request.ownerIncarnation;
}
