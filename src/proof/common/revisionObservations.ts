/** Converts the revisions that processes logged to the auditor's observations. */

import type { AcceptedChange, RevisionObservation } from './auditRecords.js';
import { inForceLimitMs } from './auditor.js';

/** One run of a process. All times are wall-clock times. */
export interface ObservedRun {
	readonly processId: string;
	readonly incarnation: string;
	readonly readyAtMs: number;
	/** Time at which the process ended or was sent the signal that ended it; infinite while it runs. */
	readonly endedAtMs: number;
	/** Revisions that the process logged as in force, in order. */
	readonly revisions: readonly { readonly revision: number; readonly atMs: number }[];
}

/**
 * Period in which a process need not receive changes, because it is frozen or cut off from the keepers. It applies to
 * all processes while more than one keeper has a fault.
 */
export interface StalePeriod {
	/** Affected process; absent when all are affected. */
	readonly processId?: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** Time after the limit at which a process is observed. */
const observationMarginMs = 1;

/**
 * Returns an observation for each revision that a run logged, and for each time by which accepted changes must be in
 * force: {@link inForceLimitMs} after each acceptance, after the run became ready, and after each stale period. Such
 * a time is left out when the run didn't cover the whole limit or a stale period overlaps it.
 *
 * @example
 * audit({ starts, readers, changes, observations: createObservations(runs, changes, stalePeriods) });
 */
export function createObservations(
	runs: readonly ObservedRun[],
	changes: readonly AcceptedChange[],
	stalePeriods: readonly StalePeriod[],
): RevisionObservation[] {
	const triggerTimesMs = [
		...changes.map((change) => change.acceptedAtMs),
		...stalePeriods.map((stale) => stale.untilMs + observationMarginMs),
	];
	return runs.flatMap((run) => {
		const { processId, incarnation } = run;
		const logged = run.revisions.map(({ revision, atMs }) => ({ revision, atMs, isDue: false }));
		const required = [run.readyAtMs, ...triggerTimesMs]
			.map(getInForceDeadlineMs)
			.filter((atMs) => mustHaveChange(run, atMs, stalePeriods))
			.map((atMs) => ({ revision: getRevisionAt(run, atMs), atMs, isDue: true }));
		return [...logged, ...required].map((observation) => ({ processId, incarnation, ...observation }));
	});
}

/** Returns the time by which changes accepted up to a time must be in force. */
export function getInForceDeadlineMs(fromMs: number): number {
	return fromMs + inForceLimitMs + observationMarginMs;
}

function mustHaveChange(run: ObservedRun, atMs: number, stalePeriods: readonly StalePeriod[]): boolean {
	const fromMs = atMs - inForceLimitMs - observationMarginMs;
	const wasRunning = run.readyAtMs <= fromMs && run.endedAtMs > atMs;
	return (
		wasRunning &&
		!stalePeriods.some(
			(stale) =>
				(stale.processId === undefined || stale.processId === run.processId) &&
				stale.fromMs <= atMs &&
				stale.untilMs >= fromMs,
		)
	);
}

function getRevisionAt(run: ObservedRun, atMs: number): number {
	return run.revisions.filter((seen) => seen.atMs <= atMs).at(-1)?.revision ?? 0;
}
