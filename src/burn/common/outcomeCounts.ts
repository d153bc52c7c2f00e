/** Counts of job outcomes by minute, so that a report can cover several windows. */

import type { RouteObjectives } from '../../declarations/common/tables.js';

/** Outcome of a job with regard to its route's objectives. */
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

/** Number of jobs by outcome class. */
export type OutcomeCounts = Readonly<Record<OutcomeClass, number>>;

/** Counts of zero for every outcome class. */
export const zeroOutcomeCounts: OutcomeCounts = {
	onTime: 0,
	late: 0,
	ranAndFailed: 0,
	mayHaveRun: 0,
	refused: 0,
	cancelled: 0,
};

/**
 * Returns the sums of two counts, by outcome class.
 *
 * @example
 * const total = buckets.map((bucket) => bucket.counts).reduce(addOutcomes, noOutcomes);
 */
export function addOutcomeCounts(a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts {
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
export interface MinuteBucket {
	/** Whole minutes since the epoch of the wall clock. */
	readonly minute: number;
	readonly counts: OutcomeCounts;
}

/** A span of wall-clock time, in milliseconds since 1970. */
export interface TimeSpan {
	readonly fromMs: number;
	readonly untilMs: number;
}

/** A run of an entry, and the span in which another entry saw it in the directory. */
export interface EntryRun extends TimeSpan {
	readonly processId: string;
	readonly incarnation: string;
}

/** Outcomes that one run of an entry has counted. */
export interface OutcomeLedger {
	readonly processId: string;
	readonly incarnation: string;
	/** Wall-clock time at which the ledger was read. */
	readonly readAtMs: number;
	/** Spans in which the entry was counting, oldest first. */
	readonly seenSpans: readonly TimeSpan[];
	/** Runs of other entries that this one has seen in the directory. Their counts are lost when they end. */
	readonly otherRuns: readonly EntryRun[];
	readonly routes: readonly RouteOutcomes[];
}

/** Outcomes that one entry has counted for one route. */
export interface RouteOutcomes {
	readonly route: string;
	readonly objectives: RouteObjectives;
	/** Minutes in which at least one job ended, oldest first. */
	readonly buckets: readonly MinuteBucket[];
}
