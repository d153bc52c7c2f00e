/** What an entry knows of team quotas: the parts that it has leased, and, while it grants them, all parts. */

import type { QuotaDemandMessage, QuotaHandOverMessage } from '../../protocol/common/entryMessages.js';
import type { EntryRunKey } from './entryTables.js';
import type { QuotaLedger, QuotaPart } from './quotaLedger.js';

/** A part of a team's quota that this entry may use. */
export interface QuotaLease {
	/** Tasks that it may have at workers. */
	tasks: number;
	/** When the lease ends, counted from the question that it answers. */
	untilMs: number;
	/** Tasks that are leased for longer, and until when. */
	assured: number;
	assuredUntilMs: number;
	/** Number of the last question; only its answer counts. */
	askedSeq: number;
	/** Whether the last answer gave less than was asked for. */
	isShort: boolean;
}

/** This entry's time as the granter of all quotas. */
export interface GranterTenure {
	/** Epoch of the directory, and revision of the tables, that made it the granter. */
	readonly epoch: number;
	readonly revision: number;
	/** When no lease of an earlier granter is unknown any more, and when no assured part is. */
	openMs: number;
	wholeMs: number;
}

/** Another entry's question, answered once all input of the tick has been taken. */
export interface WaitingDemand {
	readonly sessionId: number;
	readonly holder: string;
	readonly message: QuotaDemandMessage;
}

/** A question that waits for its answer. */
export interface QuotaQuestion {
	readonly teams: readonly string[];
	readonly sentMs: number;
	/** Whether it asks for all teams that matter here. */
	readonly isRound: boolean;
}

/** State of the quotas at one entry. */
export class QuotaState {
	/** The entry that grants quotas, by the control state. */
	granter: EntryRunKey | undefined;
	/** Present while this entry is the granter. */
	tenure: GranterTenure | undefined;
	/** Accounts by team; kept after the tenure until they have been handed over. */
	readonly ledgers = new Map<string, QuotaLedger>();
	/** The tenure that has ended, until its accounts have been handed to the next granter. */
	lastTenure: GranterTenure | undefined;
	/** A hand-over that came before the directory that it follows from. */
	earlyHandOver: QuotaHandOverMessage | undefined;
	readonly leases = new Map<string, QuotaLease>();
	readonly waitingDemands: WaitingDemand[] = [];
	readonly questions = new Map<number, QuotaQuestion>();
	lastSeq = 0;
	/** When all teams are asked for again, and when single ones may be before. */
	nextAskMs = 0;
	nextPromptMs = 0;
	/** Whether this entry would be the home of a pool if its home were lost. */
	isNextHome = false;
	/** Time from one question for all teams to the next. */
	roundIntervalMs = 0;
	/** Teams that are asked for before the next full round. */
	readonly pressing = new Set<string>();

	/** A team's lease, made when it is first named. */
	leaseOf(team: string): QuotaLease {
		let lease = this.leases.get(team);
		if (lease === undefined) {
			lease = { tasks: 0, untilMs: 0, assured: 0, assuredUntilMs: 0, askedSeq: 0, isShort: false };
			this.leases.set(team, lease);
		}
		return lease;
	}

	/** What this entry has leased of a team's quota. */
	partOf(team: string, nowMs: number): QuotaPart {
		const lease = this.leases.get(team);
		return {
			tasks: lease === undefined || nowMs >= lease.untilMs ? 0 : lease.tasks,
			assured: lease === undefined || nowMs >= lease.assuredUntilMs ? 0 : lease.assured,
		};
	}
}
