/** Registry of the processes that subscribe to the keepers, built from own subscribers and from the reports of others. */

import type {
	MemberReport,
	MemberReportsMessage,
	MemberStatus,
} from '../../protocol/common/keeperMessages.js';
import type { DrainSettings } from '../../declarations/common/drainRule.js';
import type { ProcessRole } from '../../services/transport/common/transport.js';

/** A process as known to one keeper. Times are by the monotonic clock of the process that holds the record. */
export interface MemberRecord {
	readonly processId: string;
	readonly role: ProcessRole;
	readonly incarnation: string;
	/** Keeper that the process subscribes to, directly or through an entry. In the registry of an entry, that entry. */
	readonly keeperId: string;
	/** Entry through which the process subscribes to the keeper; absent for a direct subscription. */
	readonly relayId?: string | undefined;
	readonly subscribedAtMs: number;
	readonly heardAtMs: number;
	readonly hasLeft: boolean;
	/** Upper bound of the age of the process's tables at its last renewal; known only to the server it subscribes to. */
	readonly ageMs?: number | undefined;
	readonly status: MemberStatus;
}

/** A process and whether its lease holds. */
export interface KnownProcess extends MemberRecord {
	readonly isLive: boolean;
}

/**
 * Time for which the record of a silent process is kept. It is longer than an entry's default freshness limit of 3 s,
 * so that a process that may still use older tables is still listed.
 */
export const memberRetentionMs = 5000;

/** A connection on which another process reports its subscribers. */
export interface ReportSource {
	/** Keeper that the reported processes are recorded as subscribers of. */
	readonly keeperId: string;
	/** Entry that reports; absent when the keeper itself does. */
	readonly relayId?: string | undefined;
	/** Time at which the connection opened, by the receiver's clock. */
	readonly openedAtMs: number;
	/** Processes reported on this connection. A report that omits one of these implies that it was heard recently. */
	readonly reportedIds: Set<string>;
}

/** Stores records of processes by origin and merges them into one per process. */
export class MemberRegistry {
	/** Records by origin, then by process. */
	private readonly _records = new Map<string, Map<string, MemberRecord>>();

	/** Stores the record of a keeper's own subscriber. */
	put(record: MemberRecord): void {
		this._getOrCreateRecords(record.keeperId).set(record.processId, record);
	}

	/** Returns the record of a keeper's own subscriber. */
	get(keeperId: string, processId: string): MemberRecord | undefined {
		return this._records.get(keeperId)?.get(processId);
	}

	/** Returns each process that subscribes to a keeper, directly or through an entry, once. */
	getSubscribers(keeperId: string): Iterable<MemberRecord> {
		const chosen = new Map<string, MemberRecord>();
		for (const [origin, records] of this._records) {
			if (origin === keeperId || origin.startsWith(getRelayKeyPrefix(keeperId))) {
				collectLatest(chosen, records.values());
			}
		}
		return chosen.values();
	}

	/** Applies a report from another keeper, or from an entry about the agents that subscribe to it. */
	applyReport(source: ReportSource, report: MemberReportsMessage, nowMs: number): void {
		const records = this._getOrCreateRecords(getOriginKey(source));
		const silent = new Map(report.silent.map((member) => [member.processId, member.heardAgoMs]));
		for (const processId of source.reportedIds) {
			const record = records.get(processId);
			if (record === undefined) {
				source.reportedIds.delete(processId);
				continue;
			}
			// A report that comes directly from an entry is first-hand.
			const isSecondHand = source.relayId === undefined && record.relayId !== undefined;
			const withinMs = isSecondHand ? report.relayedWithinMs : report.heardWithinMs;
			const heardAtMs = nowMs - (silent.get(processId) ?? withinMs);
			// Keeps the later time, so that a report delayed in the network does not move the last-heard time backwards.
			records.set(processId, { ...record, heardAtMs: Math.max(record.heardAtMs, heardAtMs) });
		}
		for (const member of report.members) {
			source.reportedIds.add(member.processId);
			records.set(member.processId, toRecord(source, member, nowMs, report.heardWithinMs));
		}
	}

	/** Deletes processes that have been silent for longer than {@link memberRetentionMs}. */
	prune(nowMs: number): void {
		for (const records of this._records.values()) {
			for (const record of [...records.values()]) {
				if (nowMs - record.heardAtMs > memberRetentionMs) {
					records.delete(record.processId);
				}
			}
		}
	}

	/**
	 * Returns each known process once, sorted by process id, with whether its lease holds.
	 *
	 * @param role restricts the result to this role; finds a few entries among many agents at little cost
	 */
	listProcesses(nowMs: number, leaseMs: number, role?: ProcessRole): KnownProcess[] {
		const chosen = new Map<string, MemberRecord>();
		for (const records of this._records.values()) {
			collectLatest(chosen, records.values(), role);
		}
		return [...chosen.values()]
			.map((record) => ({ ...record, isLive: !record.hasLeft && nowMs - record.heardAtMs <= leaseMs }))
			.sort((a, b) => (a.processId < b.processId ? -1 : 1));
	}

	/** Returns the shortest drain timeout among the processes that have not left. */
	findShortestDrain(): DrainSettings | undefined {
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

	private _getOrCreateRecords(origin: string): Map<string, MemberRecord> {
		const existing = this._records.get(origin);
		if (existing !== undefined) {
			return existing;
		}
		const created = new Map<string, MemberRecord>();
		this._records.set(origin, created);
		return created;
	}
}

function getRelayKeyPrefix(keeperId: string): string {
	return `${keeperId}/`;
}

function getOriginKey({ keeperId, relayId }: ReportSource): string {
	return relayId === undefined ? keeperId : `${getRelayKeyPrefix(keeperId)}${relayId}`;
}

function collectLatest(
	chosen: Map<string, MemberRecord>,
	records: Iterable<MemberRecord>,
	role?: ProcessRole,
): void {
	for (const record of records) {
		if (role !== undefined && record.role !== role) {
			continue;
		}
		const other = chosen.get(record.processId);
		chosen.set(record.processId, other === undefined ? record : mergeRecords(other, record));
	}
}

function toRecord(
	source: ReportSource,
	report: MemberReport,
	nowMs: number,
	heardWithinMs: number,
): MemberRecord {
	const subscribedAtMs = nowMs - report.subscribedAgoMs;
	// When an entry moves to this keeper, its agents move with it. An agent that the entry no longer hears may have
	// subscribed elsewhere.
	const movedWithEntry = source.relayId !== undefined && report.heardAgoMs <= heardWithinMs;
	return {
		processId: report.processId,
		role: report.role,
		incarnation: report.incarnation,
		keeperId: source.keeperId,
		relayId: source.relayId ?? report.relayId,
		subscribedAtMs: movedWithEntry ? Math.max(subscribedAtMs, source.openedAtMs) : subscribedAtMs,
		heardAtMs: nowMs - report.heardAgoMs,
		hasLeft: report.hasLeft,
		status: report.status,
	};
}

/**
 * Merges two records of a process that moved or restarted; the later subscription wins. Within one incarnation, a process
 * that left stays marked as left, whichever keeper it told.
 */
function mergeRecords(a: MemberRecord, b: MemberRecord): MemberRecord {
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
