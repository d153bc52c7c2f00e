/** Builds the reports of a keeper to another, or of an entry to its keeper: changed records and silent processes. */

import type {
	MemberReport,
	MemberReportsMessage,
	MemberStatus,
	SilentMember,
} from '../../protocol/common/keeperMessages.js';
import type { MemberRecord } from './memberRegistry.js';

/** A process heard within this time is not listed as silent. Leases are renewed at shorter intervals. */
export const heardWithinMs = 500;

/**
 * The same limit for a process that subscribes to an entry. It is longer because three delays add up: the time since
 * the entry heard the process, the interval of the entry's reports and the interval of the keeper's reports.
 */
export const relayedWithinMs = 1000;

/** The last reported record of a process. */
interface ReportedMember {
	readonly incarnation: string;
	readonly subscribedAtMs: number;
	readonly hasLeft: boolean;
	readonly relayId?: string | undefined;
	readonly status: MemberStatus;
}

/** Tracks what was reported on one connection and builds the next report. */
export class ReportWriter {
	private readonly _reported = new Map<string, ReportedMember>();

	/** Whether the last report left no process reported. */
	get isEmpty(): boolean {
		return this._reported.size === 0;
	}

	/**
	 * Builds the next report: new and changed records, and processes that are silent or gone.
	 *
	 * @example
	 * connection.send(writer.write(registry.getSubscribers(keeperId), clock.nowMs()));
	 */
	write(records: Iterable<MemberRecord>, nowMs: number): MemberReportsMessage {
		const members: MemberReport[] = [];
		const silent: SilentMember[] = [];
		const presentIds = new Set<string>();
		for (const record of records) {
			presentIds.add(record.processId);
			const heardAgoMs = nowMs - record.heardAtMs;
			if (this._isChanged(record)) {
				this._reported.set(record.processId, record);
				members.push(toReport(record, nowMs));
			} else if (heardAgoMs > (record.relayId === undefined ? heardWithinMs : relayedWithinMs)) {
				silent.push({ processId: record.processId, heardAgoMs });
			}
		}
		for (const processId of [...this._reported.keys()]) {
			if (!presentIds.has(processId)) {
				this._reported.delete(processId);
				silent.push({ processId, heardAgoMs: Infinity });
			}
		}
		return { kind: 'memberReports', members, heardWithinMs, relayedWithinMs, silent };
	}

	private _isChanged(record: MemberRecord): boolean {
		const last = this._reported.get(record.processId);
		return (
			last?.incarnation !== record.incarnation ||
			last.subscribedAtMs !== record.subscribedAtMs ||
			last.hasLeft !== record.hasLeft ||
			last.relayId !== record.relayId ||
			last.status !== record.status
		);
	}
}

function toReport(record: MemberRecord, nowMs: number): MemberReport {
	const { processId, role, incarnation, hasLeft, relayId, status } = record;
	return {
		processId,
		role,
		incarnation,
		subscribedAgoMs: nowMs - record.subscribedAtMs,
		heardAgoMs: nowMs - record.heardAtMs,
		hasLeft,
		relayId,
		status,
	};
}
