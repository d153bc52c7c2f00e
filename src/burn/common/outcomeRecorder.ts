/** Counts outcomes in one entry, with the spans of time in which it was counting. */

import type { RouteObjectives } from '../../declarations/common/tables.js';
import {
	noOutcomes,
	type EntryRun,
	type OutcomeClass,
	type OutcomeCounts,
	type OutcomeLedger,
	type SeenSpan,
} from './outcomeCounts.js';

/** Reads the wall clock, in milliseconds since 1970. */
export type WallClock = () => number;

/** Time that a ledger reaches back; the longest window of the report. */
export const ledgerRetentionMs = 3 * 24 * 60 * 60 * 1000;

/** Silence of {@link OutcomeRecorder.beat} that counts as time not seen, such as that of a frozen process. */
export const maxBeatGapMs = 5000;

const minuteMs = 60_000;

/** Name of an entry's run. */
export interface RunIdentity {
	readonly processId: string;
	readonly incarnation: string;
}

/**
 * Counts outcomes by route and minute, in memory. A restart forgets them, and the report says so.
 *
 * @example
 * const recorder = new OutcomeRecorder({ processId: 'entry-1', incarnation }, Date.now);
 * recorder.record('commission-terms', 'onTime');
 */
export class OutcomeRecorder {
	private readonly _routes = new Map<string, Map<number, Record<OutcomeClass, number>>>();
	private readonly _seenSpans: SeenSpan[] = [];
	/** By incarnation. */
	private readonly _otherRuns = new Map<string, EntryRun>();

	constructor(
		private readonly _source: RunIdentity,
		private readonly _wallClock: WallClock,
	) {
		const nowMs = _wallClock();
		this._seenSpans.push({ fromMs: nowMs, untilMs: nowMs });
	}

	/** Says that the process is alive and counting; call it at least once a second. */
	beat(): void {
		const nowMs = this._wallClock();
		const current = this._seenSpans.at(-1);
		const isContinued =
			current !== undefined && nowMs >= current.untilMs && nowMs - current.untilMs <= maxBeatGapMs;
		if (isContinued) {
			this._seenSpans[this._seenSpans.length - 1] = { fromMs: current.fromMs, untilMs: nowMs };
		} else {
			this._seenSpans.push({ fromMs: nowMs, untilMs: nowMs });
		}
		this._forgetOld(nowMs);
	}

	/** Notes the runs of entries that are in the directory now, so that a report can name one that is gone. */
	noteRuns(runs: readonly RunIdentity[]): void {
		const nowMs = this._wallClock();
		for (const { processId, incarnation } of runs) {
			if (incarnation === this._source.incarnation) {
				continue;
			}
			const fromMs = this._otherRuns.get(incarnation)?.fromMs ?? nowMs;
			this._otherRuns.set(incarnation, { processId, incarnation, fromMs, untilMs: nowMs });
		}
	}

	/** Counts one job. */
	record(route: string, outcome: OutcomeClass): void {
		const minute = Math.floor(this._wallClock() / minuteMs);
		const buckets = this._routes.get(route) ?? new Map<number, Record<OutcomeClass, number>>();
		this._routes.set(route, buckets);
		const counts = buckets.get(minute) ?? { ...noOutcomes };
		counts[outcome] += 1;
		buckets.set(minute, counts);
	}

	/** Returns a copy of all that is counted, with the objectives that are in force for each route. */
	read(objectivesOf: (route: string) => RouteObjectives | undefined): OutcomeLedger {
		const routes = [...this._routes].flatMap(([route, buckets]) => {
			const objectives = objectivesOf(route);
			return objectives === undefined ? [] : [{ route, objectives, buckets: toBuckets(buckets) }];
		});
		const { processId, incarnation } = this._source;
		return {
			processId,
			incarnation,
			readAtMs: this._wallClock(),
			seenSpans: [...this._seenSpans],
			otherRuns: [...this._otherRuns.values()],
			routes,
		};
	}

	private _forgetOld(nowMs: number): void {
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

/** What an outcome class depends on. */
export interface EndedJob {
	readonly status: 'complete' | 'failed' | 'notRun';
	readonly outcome?: 'ranAndFailed' | 'mayHaveRun';
	readonly reason?: string;
	readonly responseMs: number;
}

/**
 * Classifies an answer against the objectives of its route.
 *
 * @example
 * recorder.record(route.name, classifyOutcome({ status: 'complete', responseMs }, route.objectives));
 */
export function classifyOutcome(job: EndedJob, objectives: RouteObjectives): OutcomeClass {
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
