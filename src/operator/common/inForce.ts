/** Decides from the keepers' status whether a revision is in force in every live process. */

import type { ProcessStatus, SystemStatus } from '../../protocol/common/operatorApi.js';

/** Where a revision is not in force yet. */
export interface InForceReport {
	readonly revision: number;
	readonly isEverywhere: boolean;
	/** Number of processes that have the revision in force. */
	readonly inForce: number;
	/** Processes that have an older revision, and what is known of them, as sentences. */
	readonly missing: readonly MissingProcess[];
	/** Reasons for which processes may be missing from the keeper's view, as sentences. */
	readonly doubts: readonly string[];
}

/** A process that does not have a revision in force. */
export interface MissingProcess {
	readonly processId: string;
	readonly role: string;
	readonly revisionInForce: number;
	readonly isLive: boolean;
}

/**
 * Judges what the keepers that answered know. Each process counts as the keeper that heard it last says. A process
 * whose lease has ended counts until the keepers forget it, because it may still work with older tables until it
 * notices that they are too old.
 *
 * @example
 * judgeInForce(await client.statuses(), 42).isEverywhere;
 */
export function judgeInForce(statuses: readonly SystemStatus[], revision: number): InForceReport {
	const processes = joinProcesses(statuses);
	const missing = processes.filter((process) => process.revisionInForce < revision).map(toMissing);
	const doubts = findDoubts(statuses);
	return {
		revision,
		isEverywhere: missing.length === 0 && doubts.length === 0,
		inForce: processes.length - missing.length,
		missing,
		doubts,
	};
}

function joinProcesses(statuses: readonly SystemStatus[]): ProcessStatus[] {
	const joined = new Map<string, ProcessStatus>();
	for (const process of statuses.flatMap((status) => status.processes)) {
		const other = joined.get(process.processId);
		if (other === undefined || process.heardAgoMs < other.heardAgoMs) {
			joined.set(process.processId, process);
		}
	}
	return [...joined.values()].sort((a, b) => (a.processId < b.processId ? -1 : 1));
}

/** Looks for a keeper that knows every process, apart from those of keepers that answered themselves. */
function findDoubts(statuses: readonly SystemStatus[]): string[] {
	if (statuses.length === 0) {
		return ['No keeper answered.'];
	}
	if (statuses.some((status) => status.isSettled)) {
		return [];
	}
	const answering = new Set(statuses.map((status) => status.keeperId));
	const silent = new Set(statuses.flatMap((status) => status.silentKeepers));
	const unknown = [...silent].filter((keeper) => !answering.has(keeper)).map((keeper) => `"${keeper}"`);
	if (unknown.length === 0) {
		return [`The keepers ${[...answering].join(', ')} have not run long enough to know every process.`];
	}
	return [`The keepers ${unknown.join(', ')} do not report, so that their subscribers are unknown for now.`];
}

function toMissing({ processId, role, revisionInForce, isLive }: ProcessStatus): MissingProcess {
	return { processId, role, revisionInForce, isLive };
}

/** Shows a report to people. */
export function describeInForce(report: InForceReport): string {
	if (report.isEverywhere) {
		return `Revision ${report.revision} is in force in all ${report.inForce} processes.`;
	}
	const missing = report.missing.map(
		(process) =>
			`  ${process.role} ${process.processId}: revision ${process.revisionInForce}` +
			(process.isLive ? '' : ', its lease has ended'),
	);
	return [
		`Revision ${report.revision} is not in force everywhere yet:`,
		...missing,
		...report.doubts.map((doubt) => `  ${doubt}`),
	].join('\n');
}
