/**
 * The granter's account of one team's quota: which parts of it are leased, to which entries and until when.
 *
 * A holder counts its lease from when it asked, the granter from when it answered, so a lease has always ended at the
 * holder before the granter gives its tasks to another.
 */

/** Time for which a part of a quota is leased. */
export const quotaLeaseMs = 700;

/** Time for which half of a part is assured: it bridges the loss of the granter. */
export const assuredLeaseMs = 6000;

/** Time after which tasks that can't be divided evenly go to the next holder. */
const turnMs = 1000;

/** What one holder asks of one team's quota. */
export interface QuotaDemand {
	/** Run of the entry that asks. */
	readonly holder: string;
	/** Number of the question; a holder's later question has a greater one. */
	readonly seq: number;
	/** Tasks that the holder may have at workers when it asks, by its lease and by what is assured. */
	readonly leased: number;
	readonly assured: number;
	/** Tasks that it has at workers. */
	readonly running: number;
	/** Tasks that wait there for a worker. */
	readonly queued: number;
}

/** A part of a quota. */
export interface QuotaPart {
	/** Tasks until the lease ends. */
	readonly tasks: number;
	/** Tasks that are leased for longer. */
	readonly assured: number;
}

/** A part of a quota that is leased, as it travels to the next granter. */
export interface LeasedPart extends QuotaPart {
	/** Run of the entry that has leased the part. */
	readonly holder: string;
	readonly remainingMs: number;
	readonly assuredRemainingMs: number;
}

interface QuotaAccount {
	readonly seq: number;
	readonly wanted: number;
	reserved: number;
	readonly untilMs: number;
	assured: number;
	readonly assuredUntilMs: number;
}

/** Tasks of a quota that may be assured, all holders together. */
function assurable(quota: number): number {
	return Math.floor(quota / 2);
}

/** Accounts of one team. */
export class QuotaLedger {
	private readonly _accounts = new Map<string, QuotaAccount>();

	/**
	 * Answers a holder.
	 *
	 * @param isWhole whether every assured part is on the account; else as much as may be assured is kept back
	 * @returns what it may have at workers from now on, or undefined for a question that came late or twice
	 * @example
	 * const part = ledger.grant(demand, row.maxRunningTasks, nowMs, true);
	 */
	grant(demand: QuotaDemand, quota: number, nowMs: number, isWhole: boolean): QuotaPart | undefined {
		const { holder, seq, leased, running, queued } = demand;
		this._forgetEnded(nowMs);
		if (seq <= (this._accounts.get(holder)?.seq ?? 0)) {
			return undefined;
		}
		// What an earlier granter has assured is kept back for all holders together, so it isn't on any account.
		const keptBack = isWhole ? 0 : assurable(quota);
		const ownAssured = isWhole ? demand.assured : 0;
		const account = {
			seq,
			wanted: running + queued,
			// Until the holder has heard the answer it goes by its earlier lease.
			reserved: Math.max(leased, ownAssured, isWhole ? running : running - demand.assured),
			untilMs: nowMs + quotaLeaseMs,
			assured: ownAssured,
			assuredUntilMs: nowMs + assuredLeaseMs,
		};
		this._accounts.set(holder, account);
		const others = this._othersThan(holder, nowMs);
		const share = this._shareOf(holder, quota - keptBack, nowMs);
		const tasks = Math.max(0, Math.min(share, quota - keptBack - others.tasks));
		const mayAssure = isWhole ? assurable(quota) - others.assured : 0;
		const assured = Math.max(0, Math.min(assurable(tasks), mayAssure));
		account.reserved = Math.max(account.reserved, tasks);
		account.assured = Math.max(account.assured, assured);
		return { tasks, assured };
	}

	/** Parts that are leased now. */
	partsAt(nowMs: number): LeasedPart[] {
		this._forgetEnded(nowMs);
		return [...this._accounts].map(([holder, account]) => ({
			holder,
			tasks: account.reserved,
			remainingMs: account.untilMs - nowMs,
			assured: account.assured,
			assuredRemainingMs: account.assuredUntilMs - nowMs,
		}));
	}

	/** Takes over a part that another granter has leased. */
	take(part: LeasedPart, nowMs: number): void {
		const known = this._accounts.get(part.holder);
		this._accounts.set(part.holder, {
			seq: known?.seq ?? 0,
			wanted: known?.wanted ?? 0,
			reserved: Math.max(part.tasks, known?.reserved ?? 0),
			untilMs: Math.max(nowMs + part.remainingMs, known?.untilMs ?? 0),
			assured: Math.max(part.assured, known?.assured ?? 0),
			assuredUntilMs: Math.max(nowMs + part.assuredRemainingMs, known?.assuredUntilMs ?? 0),
		});
	}

	private _othersThan(holder: string, nowMs: number): QuotaPart {
		let tasks = 0;
		let assured = 0;
		for (const [other, account] of this._accounts) {
			if (other === holder) {
				continue;
			}
			tasks += nowMs < account.untilMs ? account.reserved : account.assured;
			assured += account.assured;
		}
		return { tasks, assured };
	}

	/** A holder's max-min fair share of the quota, and an even part of what nobody asks for. */
	private _shareOf(holder: string, quota: number, nowMs: number): number {
		const holders = [...this._accounts].filter(([, { untilMs }]) => nowMs < untilMs).map(([name]) => name);
		holders.sort();
		const turn = Math.floor(nowMs / turnMs) % holders.length;
		const inTurn = [...holders.slice(turn), ...holders.slice(0, turn)];
		const wanted = inTurn.map((name) => this._accounts.get(name)?.wanted ?? 0);
		return divideQuota(quota, wanted)[inTurn.indexOf(holder)] ?? 0;
	}

	private _forgetEnded(nowMs: number): void {
		for (const [holder, { assuredUntilMs }] of this._accounts) {
			if (assuredUntilMs <= nowMs) {
				this._accounts.delete(holder);
			}
		}
	}
}

/**
 * Divides a quota into max-min fair whole shares; what nobody asks for is divided evenly. Of equal holders the last
 * ones get what is left over by rounding.
 *
 * @example
 * divideQuota(10, [2, 20]); // [2, 8]
 */
export function divideQuota(quota: number, wanted: readonly number[]): number[] {
	const order = wanted.map((_value, index) => index);
	order.sort((a, b) => (wanted[a] ?? 0) - (wanted[b] ?? 0) || a - b);
	const shares = wanted.map(() => 0);
	let rest = quota;
	for (const [place, index] of order.entries()) {
		const share = Math.min(wanted[index] ?? 0, Math.floor(rest / (order.length - place)));
		shares[index] = share;
		rest -= share;
	}
	for (const [place, index] of order.entries()) {
		const spare = Math.floor(rest / (order.length - place));
		shares[index] = (shares[index] ?? 0) + spare;
		rest -= spare;
	}
	return shares;
}
