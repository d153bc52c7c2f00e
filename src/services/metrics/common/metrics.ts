/** Counters, gauges and timings for operators' dashboards. A metric never blocks or fails the code that sends it. */

/** Tags of a metric, such as `{ pool: 'ledger' }`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics of one process. */
export interface IMetricsService {
	/** Adds to a counter. */
	count(name: string, by: number, tags?: MetricTags): void;
	/** Sets a level. */
	gauge(name: string, value: number, tags?: MetricTags): void;
	/** Records a time. */
	timing(name: string, valueMs: number, tags?: MetricTags): void;
}

/** Discards every metric. */
export const nullMetricsService: IMetricsService = {
	count: () => undefined,
	gauge: () => undefined,
	timing: () => undefined,
};
