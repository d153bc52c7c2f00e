/** Counters, gauges and timings for operators' dashboards. Sending a metric never blocks or throws. */

/** Tags of a metric, such as `{ pool: 'ledger' }`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends the metrics of one process. */
export interface IMetricsService {
	/** Adds to a counter. */
	count(name: string, by: number, tags?: MetricTags): void;
	/** Sets the present value of a gauge. */
	gauge(name: string, value: number, tags?: MetricTags): void;
	/** Records a duration in milliseconds. */
	timing(name: string, valueMs: number, tags?: MetricTags): void;
}

/** Discards every metric. */
export const nullMetricsService: IMetricsService = {
	count: () => undefined,
	gauge: () => undefined,
	timing: () => undefined,
};
