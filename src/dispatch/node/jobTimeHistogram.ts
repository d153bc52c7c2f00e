/** Histogram of the time from the arrival of a job to its answer. */

import { build, type Histogram } from 'hdr-histogram-js';

/** Highest time that is recorded; longer times count as this one. */
const maxTrackedMs = 60_000;

/** Percentiles that the metrics contain. */
const reportedPercentiles = [50, 90, 99] as const;

/**
 * Records the times of answered jobs.
 *
 * @example
 * times.record(212);
 * times.metrics(); // { jobMsCount: 1, jobMsMax: 212, jobMsP50: 212, … }
 */
export class JobTimeHistogram {
	private readonly _histogram: Histogram = build({
		bitBucketSize: 32,
		highestTrackableValue: maxTrackedMs,
		numberOfSignificantValueDigits: 2,
		useWebAssembly: false,
	});

	/** Records the time of one job, in whole milliseconds and at least 1 ms. */
	record(durationMs: number): void {
		this._histogram.recordValue(Math.min(maxTrackedMs, Math.max(1, Math.round(durationMs))));
	}

	/** Returns the count, the maximum and the percentiles since the start. */
	metrics(): Readonly<Record<string, number>> {
		const { totalCount, maxValue } = this._histogram;
		const levels: Record<string, number> = { jobMsCount: totalCount, jobMsMax: maxValue };
		for (const percentile of reportedPercentiles) {
			levels[`jobMsP${percentile}`] = this._histogram.getValueAtPercentile(percentile);
		}
		return levels;
	}
}
