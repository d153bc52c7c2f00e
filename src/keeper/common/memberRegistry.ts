/** The table of processes that subscribe to the keepers, gathered from the own subscribers and other keepers. */

import type {
	MemberReport,
	MemberReportsMessage,
	MemberStatus,
} from '../../protocol/common/keeperMessages.js';
import type { DrainSettings } from '../../declarations/common/drainRule.js';
import type { ProcessRole } from '../../platform/transport/common/transport.js';

/** One process, as one keeper knows it. Times are by this process's monotonic clock. */
export interface MemberRecord {
	readonly processId: string;
	readonly role: ProcessRole;
	readonly incarnation: string;
	/** Keeper that the process subscribed to. */
	readonly keeperId: string;
	readonly subscribedAtMs: number;
	readonly heardAtMs: number;
	readonly hasLeft: boolean;
	readonly status: MemberStatus;
}

/** A process with what is concluded about it. */
export interface KnownProcess extends MemberRecord {
	readonly isLive: boolean;
}

/**
 * Time for which a process is remembered after its last sign of life. It is longer than an entry's default
 * freshness limit of 3 s, so that a process that may still work with older tables is still named.
 */
export const memberMemoryMs = 5000;

/** Gathers records of processes by keeper, and picks the one in force for each process. */
export class MemberRegistry {
	/** Records by keeper, then by process. */
	private readonly _records = new Map<string, Map<string, MemberRecord>>();

	/** Stores what a keeper knows about one process. */
	put(record: MemberRecord): void {
		this._recordsOf(record.keeperId).set(record.processId, record);
	}

	/** Records that a keeper has published. */
	get(keeperId: string, processId: string): MemberRecord | undefined {
		return this._records.get(keeperId)?.get(processId);
	}

	/** All records that a keeper has published. */
	recordsOf(keeperId: string): Iterable<MemberRecord> {
		return this._recordsOf(keeperId).values();
	}

	/** Takes in another keeper's report. */
	takeReport(keeperId: string, report: MemberReportsMessage, nowMs: number): void {
		const records = this._recordsOf(keeperId);
		const silent = new Map(report.silent.map((member) => [member.processId, member.heardAgoMs]));
		for (const record of [...records.values()]) {
			const heardAtMs = nowMs - (silent.get(record.processId) ?? report.heardWithinMs);
			// A longer wait in the network makes a process look older, never younger than it was shown before.
			records.set(record.processId, { ...record, heardAtMs: Math.max(record.heardAtMs, heardAtMs) });
		}
		for (const member of report.members) {
			records.set(member.processId, toRecord(keeperId, member, nowMs));
		}
	}

	/** Forgets processes that have been silent for longer than they are remembered. */
	prune(nowMs: number): void {
		for (const records of this._records.values()) {
			for (const record of [...records.values()]) {
				if (nowMs - record.heardAtMs > memberMemoryMs) {
					records.delete(record.processId);
				}
			}
		}
	}

	/** Each known process once, sorted by name, with whether its lease holds. */
	processes(nowMs: number, leaseMs: number): KnownProcess[] {
		const chosen = new Map<string, MemberRecord>();
		for (const records of this._records.values()) {
			for (const record of records.values()) {
				const other = chosen.get(record.processId);
				chosen.set(record.processId, other === undefined ? record : newer(other, record));
			}
		}
		return [...chosen.values()]
			.map((record) => ({ ...record, isLive: !record.hasLeft && nowMs - record.heardAtMs <= leaseMs }))
			.sort((a, b) => (a.processId < b.processId ? -1 : 1));
	}

	/** The shortest drain among the processes that are known and have not left. */
	shortestDrain(): DrainSettings | undefined {
		let shortest: DrainSettings | undefined;
		for (const records of this._records.values()) {
			for (const { processId, hasLeft, status } of records.values()) {
				const { drainTimeoutMs } = status;
				const isShorter = (drainTimeoutMs ?? Infinity) < (shortest?.drainTimeoutMs ?? Infinity);
				if (!hasLeft && drainTimeoutMs !== undefined && isShorter) {
					shortest = { place: processId, drainTimeoutMs };
				}
			}
		}
		return shortest;
	}

	private _recordsOf(keeperId: string): Map<string, MemberRecord> {
		const present = this._records.get(keeperId);
		if (present !== undefined) {
			return present;
		}
		const created = new Map<string, MemberRecord>();
		this._records.set(keeperId, created);
		return created;
	}
}

function toRecord(keeperId: string, report: MemberReport, nowMs: number): MemberRecord {
	return {
		processId: report.processId,
		role: report.role,
		incarnation: report.incarnation,
		keeperId,
		subscribedAtMs: nowMs - report.subscribedAgoMs,
		heardAtMs: nowMs - report.heardAgoMs,
		hasLeft: report.hasLeft,
		status: report.status,
	};
}

/**
 * Picks the record of a process that moved or restarted: the later subscription. A process that left under an
 * incarnation stays gone, whichever keeper it told.
 */
function newer(a: MemberRecord, b: MemberRecord): MemberRecord {
	const [older, later] = a.subscribedAtMs <= b.subscribedAtMs ? [a, b] : [b, a];
	if (older.incarnation !== later.incarnation) {
		return later;
	}
	return {
		...later,
		heardAtMs: Math.max(older.heardAtMs, later.heardAtMs),
		hasLeft: older.hasLeft || later.hasLeft,
	};
}
