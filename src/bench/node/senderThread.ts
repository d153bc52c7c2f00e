/** Thread that sends jobs at their planned times, whatever becomes of earlier ones (open loop). */

import { parentPort, workerData } from 'node:worker_threads';
import { Pool } from 'undici';
import { DisposableStore } from '../../base/common/disposable.js';
import { PreciseTimer } from '../../base/node/preciseTimer.js';
import type { ArrivingJob } from '../common/workload.js';
import { tokenOf, type JobRecord, type SenderMessage, type SenderOptions } from './senderProtocol.js';

/** Time between the thread's start and the first arrival, in which connections are opened. */
const leadMs = 300;
const maxConnectionsPerEntry = 1024;

class JobSender {
	private readonly _store = new DisposableStore();
	private readonly _timer = this._store.add(new PreciseTimer());
	private readonly _pools: readonly Pool[];
	private readonly _records: JobRecord[] = [];

	constructor(
		private readonly _options: SenderOptions,
		private readonly _report: (message: SenderMessage) => void,
	) {
		this._pools = _options.entryUrls.map(
			(url) => new Pool(url, { connections: maxConnectionsPerEntry, pipelining: 1 }),
		);
	}

	async run(): Promise<void> {
		await this._openConnections();
		const startMs = performance.now() + leadMs;
		this._report({ kind: 'started', startedAtMs: performance.timeOrigin + startMs });
		for (const job of this._options.jobs) {
			this._timer.schedule(startMs + job.arriveMs, () => {
				void this._send(job, startMs);
			});
		}
	}

	private async _openConnections(): Promise<void> {
		const probes = this._pools.flatMap((pool) =>
			Array.from({ length: this._options.warmConnections }, async () => {
				const response = await pool.request({ method: 'GET', path: '/healthz' });
				await response.body.dump();
			}),
		);
		await Promise.all(probes);
	}

	private async _send(job: ArrivingJob, startMs: number): Promise<void> {
		const plannedMs = startMs + job.arriveMs;
		const sentLateMs = performance.now() - plannedMs;
		const abort = new AbortController();
		if (job.cancelMs !== undefined) {
			this._timer.schedule(startMs + job.cancelMs, () => {
				abort.abort();
			});
		}
		const answer = await this._request(job, abort.signal);
		this._add({
			jobIndex: job.jobIndex,
			...answer,
			responseMs: performance.now() - plannedMs,
			sentLateMs,
			wasCancelled: abort.signal.aborted,
		});
	}

	private async _request(
		job: ArrivingJob,
		signal: AbortSignal,
	): Promise<{ httpStatus?: number; body?: string }> {
		const pool = this._pools[job.jobIndex % this._pools.length];
		try {
			const response = await pool?.request({
				method: 'POST',
				path: `/v1/routes/${this._options.route}/jobs`,
				headers: this._headersOf(job),
				body: JSON.stringify(toBody(job, this._options)),
				signal,
				headersTimeout: 0,
				bodyTimeout: 0,
			});
			return response === undefined
				? {}
				: { httpStatus: response.statusCode, body: await response.body.text() };
		} catch {
			return {};
		}
	}

	private _headersOf(job: ArrivingJob): Record<string, string> {
		const headers = { 'content-type': 'application/json' };
		return job.isKeyed ? { ...headers, 'idempotency-key': `bench-${job.jobIndex}` } : headers;
	}

	private _add(record: JobRecord): void {
		this._records.push(record);
		if (this._records.length < this._options.jobs.length) {
			return;
		}
		this._report({ kind: 'finished', records: this._records });
		this._store.dispose();
		void Promise.all(this._pools.map((pool) => pool.destroy()));
	}
}

function toBody(job: ArrivingJob, { deadlineMs, soundFromMs }: SenderOptions): object {
	const mayFail = job.arriveMs < soundFromMs;
	return {
		tasks: job.runMs.map((runMs, task) => ({ runMs, token: tokenOf(job.jobIndex, task), mayFail })),
		deadlineMs,
		team: job.team,
		needs: { cores: job.declaredCores },
	};
}

const sender = new JobSender(workerData as SenderOptions, (message) => {
	parentPort?.postMessage(message);
});
await sender.run();
