/** Metrics over StatsD by hot-shots: UDP, buffered, and never in the way of the code that sends them. */

import { StatsD } from 'hot-shots';
import { Disposable, toDisposable } from '../../../base/common/disposable.js';
import { parseAddress } from '../../transport/node/address.js';
import { nullMetricsService, type IMetricsService, type MetricTags } from '../common/metrics.js';

/** Bytes of one datagram; fits an Ethernet frame. */
const maxDatagramBytes = 1400;
/** Time for which metrics are gathered into one datagram. */
const flushIntervalMs = 500;

/** Says which process metrics come from; sent as tags. */
export interface MetricsSource {
	readonly role: string;
	readonly instance: string;
}

/**
 * Sends metrics to a StatsD address. Whatever fails is counted in {@link failures} and otherwise ignored.
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
		const note = (): void => {
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
			errorHandler: note,
		});
		this._register(
			toDisposable(() => {
				this._attempt(() => {
					this._client.close(() => undefined);
				});
			}),
		);
	}

	/** Metrics and datagrams that could not be sent. */
	get failures(): number {
		return this._failures;
	}

	count(name: string, by: number, tags: MetricTags = {}): void {
		this._attempt(() => {
			this._client.increment(name, by, { ...tags });
		});
	}

	gauge(name: string, value: number, tags: MetricTags = {}): void {
		this._attempt(() => {
			this._client.gauge(name, value, { ...tags });
		});
	}

	timing(name: string, valueMs: number, tags: MetricTags = {}): void {
		this._attempt(() => {
			this._client.timing(name, valueMs, { ...tags });
		});
	}

	private _attempt(send: () => void): void {
		try {
			send();
		} catch {
			this._failures += 1;
		}
	}
}

/** The metrics of a process whose settings may give an address: nothing is sent without one. */
export function createMetricsService(
	settings: { readonly address?: string | undefined },
	source: MetricsSource,
): IMetricsService {
	return settings.address === undefined
		? nullMetricsService
		: new StatsdMetricsService(settings.address, source);
}
