/** Decides from a keeper's status whether a revision is in force in every live process. */

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
 * Judges a status. A process whose lease has ended counts until the keeper forgets it, because it may still work
 * with older tables until it notices that they are too old.
 *
 * @example
 * judgeInForce(status, 42).isEverywhere;
 */
export function judgeInForce(status: SystemStatus, revision: number): InForceReport {
	const missing = status.processes.filter((process) => process.revisionInForce < revision).map(toMissing);
	const doubts: string[] = [];
	if (status.revision < revision) {
		doubts.push(`The keeper ${status.keeperId} itself has only revision ${status.revision}.`);
	}
	if (!status.isSettled) {
		const silent = status.silentKeepers.map((keeper) => `"${keeper}"`).join(', ');
		doubts.push(
			silent === ''
				? `The keeper ${status.keeperId} has not run long enough to know every process.`
				: `The keepers ${silent} do not report, so that their subscribers are unknown for now.`,
		);
	}
	return {
		revision,
		isEverywhere: missing.length === 0 && doubts.length === 0,
		inForce: status.processes.length - missing.length,
		missing,
		doubts,
	};
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
