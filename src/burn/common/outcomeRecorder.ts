/** Counts job outcomes in one entry, and records the spans of time in which it was counting. */

import type { RouteObjectives } from '../../declarations/common/tables.js';
import {
	zeroOutcomeCounts,
	type EntryRun,
	type OutcomeClass,
	type OutcomeCounts,
	type OutcomeLedger,
	type TimeSpan,
} from './outcomeCounts.js';

/** Reads the wall clock, in milliseconds since 1970. */
export type WallClock = () => number;

/** Time for which counts are kept; the longest window of the report. */
export const ledgerRetentionMs = 3 * 24 * 60 * 60 * 1000;

/** Longest time between two calls of {@link OutcomeRecorder.recordHeartbeat} that counts as covered; a frozen process exceeds it. */
export const maxHeartbeatGapMs = 5000;

const minuteMs = 60_000;

/** Identity of a run of an entry. */
export interface EntryRunIdentity {
	readonly processId: string;
	readonly incarnation: string;
}

/**
 * Counts outcomes by route and minute, in memory. A restart loses the counts, which the report then states.
 *
 * @example
 * const recorder = new OutcomeRecorder({ processId: 'entry-1', incarnation }, Date.now);
 * recorder.countOutcome('commission-terms', 'onTime');
 */
export class OutcomeRecorder {
	/** Counts by route and minute. Minutes are in ascending order while the wall clock doesn't go back. */
	private readonly _routes = new Map<string, Map<number, Record<OutcomeClass, number>>>();
	private readonly _seenSpans: TimeSpan[] = [];
	/** Runs of other entries, by incarnation. */
	private readonly _otherRuns = new Map<string, EntryRun>();

	constructor(
		private readonly _ownRun: EntryRunIdentity,
		private readonly _wallClock: WallClock,
	) {
		const nowMs = _wallClock();
		this._seenSpans.push({ fromMs: nowMs, untilMs: nowMs });
	}

	/** Records that the process is alive and counting. Call it at least once a second. */
	recordHeartbeat(): void {
		const nowMs = this._wallClock();
		const lastSpan = this._seenSpans.at(-1);
		const isContinuous =
			lastSpan !== undefined && nowMs >= lastSpan.untilMs && nowMs - lastSpan.untilMs <= maxHeartbeatGapMs;
		if (isContinuous) {
			this._seenSpans[this._seenSpans.length - 1] = { fromMs: lastSpan.fromMs, untilMs: nowMs };
		} else {
			this._seenSpans.push({ fromMs: nowMs, untilMs: nowMs });
		}
		this._removeExpired(nowMs);
	}

	/** Records the runs of entries that are in the directory now, so that a report can name those that have ended. */
	recordOtherRuns(runs: readonly EntryRunIdentity[]): void {
		const nowMs = this._wallClock();
		for (const { processId, incarnation } of runs) {
			if (incarnation === this._ownRun.incarnation) {
				continue;
			}
			const fromMs = this._otherRuns.get(incarnation)?.fromMs ?? nowMs;
			this._otherRuns.set(incarnation, { processId, incarnation, fromMs, untilMs: nowMs });
		}
	}

	/** Counts one job under its outcome class and the current minute. */
	countOutcome(route: string, outcome: OutcomeClass): void {
		const minute = Math.floor(this._wallClock() / minuteMs);
		const buckets = this._routes.get(route) ?? new Map<number, Record<OutcomeClass, number>>();
		this._routes.set(route, buckets);
		const counts = buckets.get(minute) ?? { ...zeroOutcomeCounts };
		counts[outcome] += 1;
		buckets.set(minute, counts);
	}

	/** Returns a copy of all counts, with the objectives in force for each route. Routes without objectives are omitted. */
	createLedger(objectivesOf: (route: string) => RouteObjectives | undefined): OutcomeLedger {
		const routes = [...this._routes].flatMap(([route, buckets]) => {
			const objectives = objectivesOf(route);
			return objectives === undefined ? [] : [{ route, objectives, buckets: toBuckets(buckets) }];
		});
		const { processId, incarnation } = this._ownRun;
		return {
			processId,
			incarnation,
			readAtMs: this._wallClock(),
			seenSpans: [...this._seenSpans],
			otherRuns: [...this._otherRuns.values()],
			routes,
		};
	}

	private _removeExpired(nowMs: number): void {
		const oldestMs = nowMs - ledgerRetentionMs;
		while ((this._seenSpans[0]?.untilMs ?? nowMs) < oldestMs) {
			this._seenSpans.shift();
		}
		for (const [incarnation, run] of this._otherRuns) {
			if (run.untilMs < oldestMs) {
				this._otherRuns.delete(incarnation);
			}
		}
		const oldestMinute = Math.floor(oldestMs / minuteMs);
		for (const buckets of this._routes.values()) {
			for (const minute of buckets.keys()) {
				if (minute >= oldestMinute) {
					break;
				}
				buckets.delete(minute);
			}
		}
	}
}

function toBuckets(buckets: ReadonlyMap<number, OutcomeCounts>): { minute: number; counts: OutcomeCounts }[] {
	return [...buckets]
		.sort(([a], [b]) => a - b)
		.map(([minute, counts]) => ({ minute, counts: { ...counts } }));
}

/** Properties of a job's answer that determine its outcome class. */
export interface FinishedJob {
	readonly status: 'complete' | 'failed' | 'notRun';
	readonly outcome?: 'ranAndFailed' | 'mayHaveRun';
	readonly reason?: string;
	readonly responseMs: number;
}

/**
 * Returns the outcome class of a job, given the objectives of its route.
 *
 * @example
 * recorder.countOutcome(route.name, classifyOutcome({ status: 'complete', responseMs }, route.objectives));
 */
export function classifyOutcome(job: FinishedJob, objectives: RouteObjectives): OutcomeClass {
	if (job.reason === 'cancelled') {
		return 'cancelled';
	}
	if (job.status === 'notRun') {
		return 'refused';
	}
	if (job.status === 'failed') {
		return job.outcome ?? 'mayHaveRun';
	}
	return job.responseMs <= objectives.answeredWithinMs ? 'onTime' : 'late';
}
