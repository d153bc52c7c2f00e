/** Turns what processes logged about their revisions into the auditor's observations. */

import type { AcceptedChange, RevisionObservation } from './auditRecords.js';
import { inForceLimitMs } from './auditor.js';

/** One run of a process. All times are of the wall clock. */
export interface ObservedRun {
	readonly processId: string;
	readonly incarnation: string;
	readonly readyAtMs: number;
	/** Time of its end, or of the signal that ended it; infinite while it runs. */
	readonly endedAtMs: number;
	/** Revisions that the process said it works with, in that order. */
	readonly revisions: readonly { readonly revision: number; readonly atMs: number }[];
}

/**
 * A time in which changes need not get through: to one process that is frozen or cut off from the keepers, or to
 * all processes while the keepers have more than a single fault.
 */
export interface StaleTime {
	/** Absent for all processes. */
	readonly processId?: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** The audit takes place just after the limit. */
const afterLimitMs = 1;

/**
 * Observes each run at each revision that it logged, and at the time by which each accepted change must be in force,
 * unless the change had less than the whole limit without a fault that keeps it away.
 *
 * @example
 * audit({ starts, readers, changes, observations: observeRuns(runs, changes, staleTimes) });
 */
export function observeRuns(
	runs: readonly ObservedRun[],
	changes: readonly AcceptedChange[],
	staleTimes: readonly StaleTime[],
): RevisionObservation[] {
	const dueTimesMs = changes.map((change) => change.acceptedAtMs + inForceLimitMs + afterLimitMs);
	return runs.flatMap((run) => {
		const { processId, incarnation } = run;
		const seen = run.revisions.map(({ revision, atMs }) => ({ revision, atMs, isDue: false }));
		const due = dueTimesMs
			.filter((atMs) => isReachable(run, atMs, staleTimes))
			.map((atMs) => ({ revision: revisionAt(run, atMs), atMs, isDue: true }));
		return [...seen, ...due].map((observation) => ({ processId, incarnation, ...observation }));
	});
}

function isReachable(run: ObservedRun, atMs: number, staleTimes: readonly StaleTime[]): boolean {
	const fromMs = atMs - inForceLimitMs - afterLimitMs;
	const runs = run.readyAtMs <= fromMs && run.endedAtMs > atMs;
	return (
		runs &&
		!staleTimes.some(
			(stale) =>
				(stale.processId === undefined || stale.processId === run.processId) &&
				stale.fromMs <= atMs &&
				stale.untilMs >= fromMs,
		)
	);
}

function revisionAt(run: ObservedRun, atMs: number): number {
	return run.revisions.filter((seen) => seen.atMs <= atMs).at(-1)?.revision ?? 0;
}
