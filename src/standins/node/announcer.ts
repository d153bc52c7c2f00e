/** Announces an upstream to its agent and renews the announcement. */

import { request } from 'undici';
import { delay } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { UpstreamOptions } from '../common/upstreamOptions.js';

const requestTimeoutMs = 1000;
/** Renewals per lifetime of an announcement, so that one may be lost. */
const renewalsPerTtl = 3;
const drainPollMs = 50;

/** Task counts that the agent reports for the upstream. */
interface UpstreamStatus {
	readonly queuedTasks: number;
	readonly runningTasks: number;
}

/** Announces an upstream, renews the announcement, and withdraws it. */
export class Announcer extends Disposable {
	private readonly _url: string;
	private _timer: NodeJS.Timeout | undefined;
	private _isAnnounced = false;
	private _isWithdrawn = false;

	constructor(
		private readonly _options: UpstreamOptions,
		private readonly _httpAddress: string,
		private readonly _log: ILogService,
	) {
		super();
		this._url = `http://${_options.announceAddress}/v1/upstream`;
		this._register(
			toDisposable(() => {
				clearTimeout(this._timer);
			}),
		);
		void this._renew();
	}

	/** Withdraws the announcement, and waits until the agent has no tasks left for the upstream or doesn't answer. */
	async withdraw(): Promise<void> {
		this._isWithdrawn = true;
		clearTimeout(this._timer);
		let status = await this._requestStatus('DELETE');
		while (status !== undefined && status.runningTasks + status.queuedTasks > 0) {
			await delay(drainPollMs);
			status = await this._requestStatus('GET');
		}
	}

	private async _renew(): Promise<void> {
		const { ttlMs } = this._options;
		const reason = await this._announce();
		if (reason !== undefined && this._isAnnounced) {
			this._log.warn('agent.lost', { reason });
		}
		if (reason === undefined && !this._isAnnounced) {
			this._log.info('agent.found', { announceAddress: this._options.announceAddress });
		}
		this._isAnnounced = reason === undefined;
		if (this._isDisposed || this._isWithdrawn) {
			return;
		}
		this._timer = setTimeout(() => {
			void this._renew();
		}, ttlMs / renewalsPerTtl);
	}

	/** Announces once. Returns the reason of a failure; undefined on success. */
	private async _announce(): Promise<string | undefined> {
		const { upstreamId, pool, slots, connections, cores, memoryBytes, accelerators, ttlMs } = this._options;
		const address = this._httpAddress;
		const body = { upstreamId, pool, address, slots, connections, cores, memoryBytes, accelerators, ttlMs };
		try {
			const response = await request(this._url, {
				method: 'PUT',
				headers: { 'content-type': 'application/json' },
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(requestTimeoutMs),
			});
			const text = await response.body.text();
			return response.statusCode === 200 ? undefined : text;
		} catch (error) {
			return describeError(error);
		}
	}

	private async _requestStatus(method: 'GET' | 'DELETE'): Promise<UpstreamStatus | undefined> {
		try {
			const response = await request(this._url, { method, signal: AbortSignal.timeout(requestTimeoutMs) });
			return (await response.body.json()) as UpstreamStatus;
		} catch {
			return undefined;
		}
	}
}
