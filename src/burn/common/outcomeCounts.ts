/** Counts of how readers' jobs ended, kept by minute, so that a report can look back over several windows. */

import type { RouteObjectives } from '../../declarations/common/tables.js';

/** How a job ended, as far as its objectives are concerned. */
export type OutcomeClass = 'onTime' | 'late' | 'ranAndFailed' | 'mayHaveRun' | 'refused' | 'cancelled';

/** Every outcome class, in the order of reports. */
export const outcomeClasses: readonly OutcomeClass[] = [
	'onTime',
	'late',
	'ranAndFailed',
	'mayHaveRun',
	'refused',
	'cancelled',
];

/** Jobs by the way that they ended. */
export type OutcomeCounts = Readonly<Record<OutcomeClass, number>>;

/** No jobs. */
export const noOutcomes: OutcomeCounts = {
	onTime: 0,
	late: 0,
	ranAndFailed: 0,
	mayHaveRun: 0,
	refused: 0,
	cancelled: 0,
};

/**
 * Adds counts.
 *
 * @example
 * const total = buckets.map((bucket) => bucket.counts).reduce(addOutcomes, noOutcomes);
 */
export function addOutcomes(a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts {
	return {
		onTime: a.onTime + b.onTime,
		late: a.late + b.late,
		ranAndFailed: a.ranAndFailed + b.ranAndFailed,
		mayHaveRun: a.mayHaveRun + b.mayHaveRun,
		refused: a.refused + b.refused,
		cancelled: a.cancelled + b.cancelled,
	};
}

/** Counts of one route in one minute. */
export interface RouteBucket {
	/** Whole minutes since the epoch of the wall clock. */
	readonly minute: number;
	readonly counts: OutcomeCounts;
}

/** A span of wall-clock time in which a process was counting. */
export interface SeenSpan {
	readonly fromMs: number;
	readonly untilMs: number;
}

/** A run of an entry, and the wall-clock time in which another entry saw it in the directory. */
export interface EntryRun extends SeenSpan {
	readonly processId: string;
	readonly incarnation: string;
}

/** What one entry has counted. */
export interface OutcomeLedger {
	readonly processId: string;
	readonly incarnation: string;
	/** Wall-clock time at which the ledger was read. */
	readonly readAtMs: number;
	/** Spans in which the entry was counting, oldest first. */
	readonly seenSpans: readonly SeenSpan[];
	/** Runs of other entries that this one has seen: what they counted is lost when they are gone. */
	readonly otherRuns: readonly EntryRun[];
	readonly routes: readonly RouteLedger[];
}

/** What one entry has counted for one route. */
export interface RouteLedger {
	readonly route: string;
	readonly objectives: RouteObjectives;
	/** Minutes in which at least one job ended, oldest first. */
	readonly buckets: readonly RouteBucket[];
}
