/** An entry's state of the team quotas: the parts that it has leased and, while it is the granter, all leased parts. */

import type { QuotaDemandMessage, QuotaHandOverMessage } from '../../protocol/common/entryMessages.js';
import type { EntryIncarnation } from './entryTables.js';
import type { QuotaLedger, QuotaPart } from './quotaLedger.js';

/** A part of a team's quota that this entry may use. */
export interface QuotaLease {
	/** Number of tasks that this entry may have at workers. */
	tasks: number;
	/** Time at which the lease ends, measured from the demand that led to it. */
	untilMs: number;
	/** Number of tasks that are leased for the longer, assured duration, and the time at which it ends. */
	assured: number;
	assuredUntilMs: number;
	/** Number of the last demand; answers to earlier ones are ignored. */
	demandSeq: number;
	/** Whether the last answer granted less than was demanded. */
	isLessThanDemanded: boolean;
}

/** Period during which this entry is the granter of all quotas. */
export interface GranterTenure {
	/** Epoch of the directory, and revision of the tables, that made it the granter. */
	readonly epoch: number;
	readonly revision: number;
	/** Times from which all leases, and all assured parts, of earlier granters are known here or have ended. */
	leasesKnownFromMs: number;
	assuredPartsKnownFromMs: number;
}

/** Another entry's demand, answered after all inputs of the tick have been applied. */
export interface WaitingDemand {
	readonly sessionId: number;
	readonly holder: string;
	readonly message: QuotaDemandMessage;
}

/** A demand of this entry that waits for its answer. */
export interface PendingDemand {
	readonly teams: readonly string[];
	readonly sentMs: number;
	/** Whether the demand belongs to a full round, which covers all teams. */
	readonly isForAllTeams: boolean;
}

/** State of the quotas at one entry. */
export class QuotaState {
	/** The entry that grants quotas according to the control state. */
	granter: EntryIncarnation | undefined;
	/** Set while this entry is the granter. */
	tenure: GranterTenure | undefined;
	/** Ledgers by team; kept after the tenure has ended until they are handed over. */
	readonly ledgers = new Map<string, QuotaLedger>();
	/** The ended tenure, kept until its ledgers are handed over to the next granter. */
	endedTenure: GranterTenure | undefined;
	/** A hand-over that arrived before the directory that makes this entry the granter. */
	earlyHandOver: QuotaHandOverMessage | undefined;
	readonly leases = new Map<string, QuotaLease>();
	readonly waitingDemands: WaitingDemand[] = [];
	readonly pendingDemands = new Map<number, PendingDemand>();
	lastDemandSeq = 0;
	/** Time of the next demand for all teams, and earliest time of a demand for urgent teams before that. */
	nextRoundMs = 0;
	nextUrgentDemandMs = 0;
	/** Whether this entry would be the home of a pool if its home were lost. */
	isNextHome = false;
	/** Time between two demands for all teams. */
	roundIntervalMs = 0;
	/** Teams for which a demand is sent before the next full round. */
	readonly urgentTeams = new Set<string>();

	/** Returns a team's lease, and creates an empty one on first use. */
	getOrCreateLease(team: string): QuotaLease {
		let lease = this.leases.get(team);
		if (lease === undefined) {
			lease = {
				tasks: 0,
				untilMs: 0,
				assured: 0,
				assuredUntilMs: 0,
				demandSeq: 0,
				isLessThanDemanded: false,
			};
			this.leases.set(team, lease);
		}
		return lease;
	}

	/** Returns the part of a team's quota that this entry may use at a time. */
	currentPart(team: string, nowMs: number): QuotaPart {
		const lease = this.leases.get(team);
		return {
			tasks: lease === undefined || nowMs >= lease.untilMs ? 0 : lease.tasks,
			assured: lease === undefined || nowMs >= lease.assuredUntilMs ? 0 : lease.assured,
		};
	}
}
