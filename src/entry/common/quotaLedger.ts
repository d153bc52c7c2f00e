/**
 * The granter's record of one team's quota: which parts of it are leased, to which entries and until when.
 *
 * A holder measures its lease from the time of its request, the granter from the time of its answer. So a lease has
 * always ended at the holder before the granter leases that part of the quota to another holder.
 */

/** Duration of the lease on a part of a quota. */
export const quotaLeaseMs = 700;

/**
 * Duration of the longer lease on the assured tasks, which are at most half of a part. It lets holders continue while a
 * lost granter is replaced.
 */
export const assuredLeaseMs = 6000;

/** Interval after which the tasks that remain after an even division go to the next holder. */
const remainderRotationMs = 1000;

/** One holder's request for a part of one team's quota. */
export interface QuotaDemand {
	/** Run of the entry that sends the request. */
	readonly holder: string;
	/** Number of the request, which increases with each request of a holder. */
	readonly seq: number;
	/** Number of tasks that the holder may have at workers at the time of the request: leased, and assured. */
	readonly leased: number;
	readonly assured: number;
	/** Number of tasks that the holder has at workers. */
	readonly running: number;
	/** Number of tasks that wait at the holder for a worker. */
	readonly queued: number;
}

/** Part of a quota, in tasks. */
export interface QuotaPart {
	/** Number of tasks that the holder may have at workers until the lease ends. */
	readonly tasks: number;
	/** Number of tasks that are leased for the longer, assured duration. */
	readonly assured: number;
}

/** A leased part of a quota, as it is handed over to the next granter. */
export interface LeasedPart extends QuotaPart {
	/** Run of the entry that holds the lease. */
	readonly holder: string;
	readonly remainingMs: number;
	readonly assuredRemainingMs: number;
}

interface QuotaAccount {
	readonly seq: number;
	readonly demandedTasks: number;
	reservedTasks: number;
	readonly untilMs: number;
	assured: number;
	readonly assuredUntilMs: number;
}

/** Returns the number of tasks of a quota that may be assured in total. */
function maxAssuredTasks(quota: number): number {
	return Math.floor(quota / 2);
}

/** The leased parts of one team's quota, by holder. */
export class QuotaLedger {
	private readonly _accounts = new Map<string, QuotaAccount>();

	/**
	 * Leases a part of the quota to a holder.
	 *
	 * @param areAllAssuredPartsKnown whether the ledger contains every assured part; otherwise the largest amount that
	 *   may be assured is held back
	 * @returns the part that the holder may use from now on, or undefined for a late or duplicate request
	 * @example
	 * const part = ledger.grant(demand, row.maxRunningTasks, nowMs, true);
	 */
	grant(
		demand: QuotaDemand,
		quota: number,
		nowMs: number,
		areAllAssuredPartsKnown: boolean,
	): QuotaPart | undefined {
		const { holder, seq, leased, running, queued } = demand;
		this._deleteExpired(nowMs);
		if (seq <= (this._accounts.get(holder)?.seq ?? 0)) {
			return undefined;
		}
		// The tasks assured by an earlier granter are held back as one amount, so they aren't included in any account.
		const heldBack = areAllAssuredPartsKnown ? 0 : maxAssuredTasks(quota);
		const ownAssured = areAllAssuredPartsKnown ? demand.assured : 0;
		const account = {
			seq,
			demandedTasks: running + queued,
			// Until the holder receives the answer it uses its earlier lease.
			reservedTasks: Math.max(
				leased,
				ownAssured,
				areAllAssuredPartsKnown ? running : running - demand.assured,
			),
			untilMs: nowMs + quotaLeaseMs,
			assured: ownAssured,
			assuredUntilMs: nowMs + assuredLeaseMs,
		};
		this._accounts.set(holder, account);
		const others = this._reservedByOthers(holder, nowMs);
		const share = this._fairShareOf(holder, quota - heldBack, nowMs);
		const tasks = Math.max(0, Math.min(share, quota - heldBack - others.tasks));
		const mayAssure = areAllAssuredPartsKnown ? maxAssuredTasks(quota) - others.assured : 0;
		const assured = Math.max(0, Math.min(maxAssuredTasks(tasks), mayAssure));
		account.reservedTasks = Math.max(account.reservedTasks, tasks);
		account.assured = Math.max(account.assured, assured);
		return { tasks, assured };
	}

	/** Returns the parts of which at least the assured tasks are reserved at a time; `remainingMs` may be negative. */
	leasedPartsAt(nowMs: number): LeasedPart[] {
		this._deleteExpired(nowMs);
		return [...this._accounts].map(([holder, account]) => ({
			holder,
			tasks: account.reservedTasks,
			remainingMs: account.untilMs - nowMs,
			assured: account.assured,
			assuredRemainingMs: account.assuredUntilMs - nowMs,
		}));
	}

	/** Adds a part that another granter has leased. */
	takeOver(part: LeasedPart, nowMs: number): void {
		const existing = this._accounts.get(part.holder);
		this._accounts.set(part.holder, {
			seq: existing?.seq ?? 0,
			demandedTasks: existing?.demandedTasks ?? 0,
			reservedTasks: Math.max(part.tasks, existing?.reservedTasks ?? 0),
			untilMs: Math.max(nowMs + part.remainingMs, existing?.untilMs ?? 0),
			assured: Math.max(part.assured, existing?.assured ?? 0),
			assuredUntilMs: Math.max(nowMs + part.assuredRemainingMs, existing?.assuredUntilMs ?? 0),
		});
	}

	private _reservedByOthers(holder: string, nowMs: number): QuotaPart {
		let tasks = 0;
		let assured = 0;
		for (const [other, account] of this._accounts) {
			if (other === holder) {
				continue;
			}
			tasks += nowMs < account.untilMs ? account.reservedTasks : account.assured;
			assured += account.assured;
		}
		return { tasks, assured };
	}

	/** Returns a holder's max-min fair share of the quota, including an even part of the tasks that nobody requests. */
	private _fairShareOf(holder: string, quota: number, nowMs: number): number {
		const holders = [...this._accounts].filter(([, { untilMs }]) => nowMs < untilMs).map(([name]) => name);
		holders.sort();
		const rotation = Math.floor(nowMs / remainderRotationMs) % holders.length;
		const rotated = [...holders.slice(rotation), ...holders.slice(0, rotation)];
		const wanted = rotated.map((name) => this._accounts.get(name)?.demandedTasks ?? 0);
		return divideQuota(quota, wanted)[rotated.indexOf(holder)] ?? 0;
	}

	private _deleteExpired(nowMs: number): void {
		for (const [holder, { assuredUntilMs }] of this._accounts) {
			if (assuredUntilMs <= nowMs) {
				this._accounts.delete(holder);
			}
		}
	}
}

/**
 * Divides a quota into integer max-min fair shares, and divides the tasks that nobody requests evenly. Among holders
 * with equal demand, the last ones get the remainder of the rounding.
 *
 * @example
 * divideQuota(10, [2, 20]); // [2, 8]
 */
export function divideQuota(quota: number, wanted: readonly number[]): number[] {
	const order = wanted.map((_value, index) => index);
	order.sort((a, b) => (wanted[a] ?? 0) - (wanted[b] ?? 0) || a - b);
	const shares = wanted.map(() => 0);
	let remaining = quota;
	for (const [position, index] of order.entries()) {
		const share = Math.min(wanted[index] ?? 0, Math.floor(remaining / (order.length - position)));
		shares[index] = share;
		remaining -= share;
	}
	for (const [position, index] of order.entries()) {
		const spare = Math.floor(remaining / (order.length - position));
		shares[index] = (shares[index] ?? 0) + spare;
		remaining -= spare;
	}
	return shares;
}
