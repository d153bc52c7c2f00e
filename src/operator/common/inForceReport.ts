/** Determines from the keepers' statuses whether a revision is in force in every live process. */

import type { ProcessStatus, SystemStatus } from '../../protocol/common/operatorApi.js';

/** Reports where a revision is not in force yet. */
export interface InForceReport {
	readonly revision: number;
	readonly isEverywhere: boolean;
	/** Number of processes that have the revision in force. */
	readonly inForce: number;
	/** Processes that have an older revision in force. */
	readonly missing: readonly MissingProcess[];
	/** Reasons why the keepers may not know every process, as sentences. */
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
 * Combines the statuses of the keepers that responded. For each process, the status of the keeper that heard from it
 * last counts. A process whose lease has ended counts until the keepers remove it, because it may work with older
 * tables until it notices that they are too old.
 *
 * @example
 * computeInForceReport(await client.readStatusOfEachKeeper(), 42).isEverywhere;
 */
export function computeInForceReport(statuses: readonly SystemStatus[], revision: number): InForceReport {
	const processes = mergeProcesses(statuses);
	const missing = processes.filter((process) => process.revisionInForce < revision).map(toMissingProcess);
	const doubts = findDoubts(statuses);
	return {
		revision,
		isEverywhere: missing.length === 0 && doubts.length === 0,
		inForce: processes.length - missing.length,
		missing,
		doubts,
	};
}

function mergeProcesses(statuses: readonly SystemStatus[]): ProcessStatus[] {
	const latest = new Map<string, ProcessStatus>();
	for (const process of statuses.flatMap((status) => status.processes)) {
		const other = latest.get(process.processId);
		if (other === undefined || process.heardAgoMs < other.heardAgoMs) {
			latest.set(process.processId, process);
		}
	}
	return [...latest.values()].sort((a, b) => (a.processId < b.processId ? -1 : 1));
}

/**
 * Returns why the keepers may not know every process. There is no doubt if one keeper is settled. Silent keepers that
 * responded to the client themselves are not listed.
 */
function findDoubts(statuses: readonly SystemStatus[]): string[] {
	if (statuses.length === 0) {
		return ['No keeper answered.'];
	}
	if (statuses.some((status) => status.isSettled)) {
		return [];
	}
	const answeringKeepers = new Set(statuses.map((status) => status.keeperId));
	const silentKeepers = new Set(statuses.flatMap((status) => status.silentKeepers));
	const unansweredKeepers = [...silentKeepers]
		.filter((keeper) => !answeringKeepers.has(keeper))
		.map((keeper) => `"${keeper}"`);
	if (unansweredKeepers.length === 0) {
		return [
			`The keepers ${[...answeringKeepers].join(', ')} have not run long enough to know every process.`,
		];
	}
	return [
		`The keepers ${unansweredKeepers.join(', ')} do not report, so their subscribers are unknown for now.`,
	];
}

function toMissingProcess({ processId, role, revisionInForce, isLive }: ProcessStatus): MissingProcess {
	return { processId, role, revisionInForce, isLive };
}

/** Formats a report for people. */
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
