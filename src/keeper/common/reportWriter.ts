/** Writes a keeper's reports to one other keeper: what is new, and who is silent. */

import type {
	MemberReport,
	MemberReportsMessage,
	MemberStatus,
	SilentMember,
} from '../../protocol/common/keeperMessages.js';
import type { MemberRecord } from './memberRegistry.js';

/** A subscriber renews its lease at shorter intervals; one that was heard within this time needs no mention. */
export const heardWithinMs = 500;

/** What was last reported about a process. */
interface Reported {
	readonly incarnation: string;
	readonly subscribedAtMs: number;
	readonly hasLeft: boolean;
	readonly status: MemberStatus;
}

/** Remembers what was reported on one connection, and writes the next report. */
export class ReportWriter {
	private readonly _reported = new Map<string, Reported>();

	/**
	 * Writes the next report.
	 *
	 * @example
	 * connection.send(writer.write(registry.recordsOf(keeperId), clock.nowMs()));
	 */
	write(records: Iterable<MemberRecord>, nowMs: number): MemberReportsMessage {
		const members: MemberReport[] = [];
		const silent: SilentMember[] = [];
		const present = new Set<string>();
		for (const record of records) {
			present.add(record.processId);
			const heardAgoMs = nowMs - record.heardAtMs;
			if (this._isChanged(record)) {
				this._reported.set(record.processId, record);
				members.push(toReport(record, nowMs));
			} else if (heardAgoMs > heardWithinMs) {
				silent.push({ processId: record.processId, heardAgoMs });
			}
		}
		for (const processId of [...this._reported.keys()]) {
			if (!present.has(processId)) {
				this._reported.delete(processId);
				silent.push({ processId, heardAgoMs: Infinity });
			}
		}
		return { kind: 'memberReports', members, heardWithinMs, silent };
	}

	private _isChanged(record: MemberRecord): boolean {
		const last = this._reported.get(record.processId);
		return (
			last?.incarnation !== record.incarnation ||
			last.subscribedAtMs !== record.subscribedAtMs ||
			last.hasLeft !== record.hasLeft ||
			last.status !== record.status
		);
	}
}

function toReport(record: MemberRecord, nowMs: number): MemberReport {
	const { processId, role, incarnation, hasLeft, status } = record;
	return {
		processId,
		role,
		incarnation,
		subscribedAgoMs: nowMs - record.subscribedAtMs,
		heardAgoMs: nowMs - record.heardAtMs,
		hasLeft,
		status,
	};
}
