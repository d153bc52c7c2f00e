/** Sends metrics to StatsD over UDP with hot-shots. They are buffered, and sending never blocks or throws. */

import { StatsD } from 'hot-shots';
import { Disposable, toDisposable } from '../../../base/common/disposable.js';
import { parseAddress } from '../../transport/node/address.js';
import { nullMetricsService, type IMetricsService, type MetricTags } from '../common/metrics.js';

/** Largest datagram; fits an Ethernet frame. */
const maxDatagramBytes = 1400;
/** Longest time for which metrics are buffered before a datagram is sent. */
const flushIntervalMs = 500;

/** Identifies the process that metrics come from; sent as tags. */
export interface MetricsSource {
	readonly role: string;
	readonly instance: string;
}

/**
 * Sends metrics to a StatsD address. Failures are counted in {@link failures} and otherwise ignored.
 *
 * @example
 * const metrics = store.add(new StatsdMetricsService('127.0.0.1:8125', { role: 'agent', instance: 'agent-1' }));
 * metrics.count('tasks.started', 1, { pool: 'ledger' });
 */
export class StatsdMetricsService extends Disposable implements IMetricsService {
	private readonly _client: StatsD;
	private _failures = 0;

	/** @throws TransportError when the address isn't an IP number and a port */
	constructor(address: string, source: MetricsSource) {
		super();
		const { host, port } = parseAddress(address);
		const countFailure = (): void => {
			this._failures += 1;
		};
		this._client = new StatsD({
			host,
			port,
			protocol: 'udp',
			udpSocketOptions: { type: host.includes(':') ? 'udp6' : 'udp4' },
			prefix: 'yuccaarch.',
			globalTags: { role: source.role, instance: source.instance },
			maxBufferSize: maxDatagramBytes,
			bufferFlushInterval: flushIntervalMs,
			errorHandler: countFailure,
		});
		this._register(
			toDisposable(() => {
				this._runCountingFailure(() => {
					this._client.close(() => undefined);
				});
			}),
		);
	}

	/** Number of metrics and datagrams that could not be sent. */
	get failures(): number {
		return this._failures;
	}

	count(name: string, by: number, tags: MetricTags = {}): void {
		this._runCountingFailure(() => {
			this._client.increment(name, by, { ...tags });
		});
	}

	gauge(name: string, value: number, tags: MetricTags = {}): void {
		this._runCountingFailure(() => {
			this._client.gauge(name, value, { ...tags });
		});
	}

	timing(name: string, valueMs: number, tags: MetricTags = {}): void {
		this._runCountingFailure(() => {
			this._client.timing(name, valueMs, { ...tags });
		});
	}

	private _runCountingFailure(operation: () => void): void {
		try {
			operation();
		} catch {
			this._failures += 1;
		}
	}
}

/** Creates the metrics service of a process; without an address in its settings, metrics are discarded. */
export function createMetricsService(
	settings: { readonly address?: string | undefined },
	source: MetricsSource,
): IMetricsService {
	return settings.address === undefined
		? nullMetricsService
		: new StatsdMetricsService(settings.address, source);
}
