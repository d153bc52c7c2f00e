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
 * Observes each run at each revision that it logged, and at the times by which accepted changes must be in force:
 * the whole limit after each acceptance, after its readiness, and after each fault that kept changes away, unless
 * another such fault fell into the limit.
 *
 * @example
 * audit({ starts, readers, changes, observations: observeRuns(runs, changes, staleTimes) });
 */
export function observeRuns(
	runs: readonly ObservedRun[],
	changes: readonly AcceptedChange[],
	staleTimes: readonly StaleTime[],
): RevisionObservation[] {
	const causesMs = [
		...changes.map((change) => change.acceptedAtMs),
		...staleTimes.map((stale) => stale.untilMs + afterLimitMs),
	];
	return runs.flatMap((run) => {
		const { processId, incarnation } = run;
		const seen = run.revisions.map(({ revision, atMs }) => ({ revision, atMs, isDue: false }));
		const due = [run.readyAtMs, ...causesMs]
			.map(dueTimeMs)
			.filter((atMs) => isReachable(run, atMs, staleTimes))
			.map((atMs) => ({ revision: revisionAt(run, atMs), atMs, isDue: true }));
		return [...seen, ...due].map((observation) => ({ processId, incarnation, ...observation }));
	});
}

/** The time by which what was accepted before a time must be in force. */
export function dueTimeMs(fromMs: number): number {
	return fromMs + inForceLimitMs + afterLimitMs;
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
