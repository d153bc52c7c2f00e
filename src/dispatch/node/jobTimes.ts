/** Histogram of the time from a job's arrival to its answer. */

import { build, type Histogram } from 'hdr-histogram-js';

/** Longest time that is told apart. */
const maxJobMs = 60_000;

/** Percentiles that metrics show. */
const percentiles = [50, 90, 99] as const;

/**
 * Times of answered jobs.
 *
 * @example
 * times.note(212);
 * times.levels(); // { jobMsCount: 1, jobMsMax: 212, jobMsP50: 212, … }
 */
export class JobTimes {
	private readonly _histogram: Histogram = build({
		bitBucketSize: 32,
		highestTrackableValue: maxJobMs,
		numberOfSignificantValueDigits: 2,
		useWebAssembly: false,
	});

	/** Notes one job. */
	note(tookMs: number): void {
		this._histogram.recordValue(Math.min(maxJobMs, Math.max(1, Math.round(tookMs))));
	}

	/** Count, greatest time and percentiles since the start. */
	levels(): Readonly<Record<string, number>> {
		const { totalCount, maxValue } = this._histogram;
		const levels: Record<string, number> = { jobMsCount: totalCount, jobMsMax: maxValue };
		for (const percentile of percentiles) {
			levels[`jobMsP${percentile}`] = this._histogram.getValueAtPercentile(percentile);
		}
		return levels;
	}
}
