/** Worker platform over HTTP: sends one request per task to the upstream on the same host. */

import { Pool, type Dispatcher } from 'undici';
import { describeError } from '../../base/common/errors.js';
import { toDisposable } from '../../base/common/disposable.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { RunEnd, TaskRun } from '../common/agentInputs.js';
import { taskPath, upstreamHeaders, usagePath, usageSchema } from '../common/upstreamProtocol.js';
import { WorkerPlatform } from '../common/workerPlatform.js';
import { RunRequest } from './runRequest.js';

/** Time limit for opening a connection over loopback. */
const connectTimeoutMs = 1000;
/** Time limit for the response to any request but a start. */
const controlTimeoutMs = 3000;

/** Limits of the platform. */
export interface HttpWorkerPlatformOptions {
	/** Largest response body that is accepted as a result. */
	readonly maxResultBytes: number;
}

/** Run whose end has not been reported yet. */
interface ActiveRun {
	readonly request: RunRequest;
	/** Connections to the upstream at which the run was started. */
	readonly pool: Pool;
	readonly path: string;
}

/**
 * Runs tasks at an upstream over HTTP.
 *
 * @example
 * const platform = store.add(new HttpWorkerPlatform({ maxResultBytes: 1_048_576 }, log));
 * platform.setUpstream('127.0.0.1:9000', 64);
 */
export class HttpWorkerPlatform extends WorkerPlatform {
	private readonly _runs = new Map<number, ActiveRun>();
	/** Connection pools of the present upstream, and of earlier ones that still have requests. */
	private readonly _openPools = new Set<Pool>();
	private _currentPool: Pool | undefined;
	/**
	 * Whether the upstream is assumed to measure usage: true until it answers a usage request with a status other than
	 * 200, and again for the next upstream.
	 */
	private _isUsageSupported = true;
	private _isUsageRequestPending = false;

	constructor(
		private readonly _options: HttpWorkerPlatformOptions,
		private readonly _log: ILogService,
	) {
		super();
		this._register(
			toDisposable(() => {
				for (const pool of this._openPools) {
					pool.destroy().catch(() => undefined);
				}
			}),
		);
	}

	setUpstream(address: string, connections: number): void {
		const previousPool = this._currentPool;
		// A start must not be sent twice, so nothing is pipelined. A task may run long, so only its lease limits its time.
		this._currentPool = new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: { timeout: connectTimeoutMs },
		});
		this._openPools.add(this._currentPool);
		this._isUsageSupported = true;
		if (previousPool !== undefined) {
			const removePreviousPool = (): boolean => this._openPools.delete(previousPool);
			previousPool.close().then(removePreviousPool, removePreviousPool);
		}
	}

	start(run: TaskRun): void {
		const pool = this._currentPool;
		if (pool === undefined) {
			this._report({
				kind: 'runEnded',
				runId: run.runId,
				end: { state: 'notStarted', cause: 'unreachable' },
			});
			return;
		}
		const path = taskPath(run);
		const request = new RunRequest(this._options.maxResultBytes, (end) => {
			this._endRun(run.runId, end);
		});
		this._runs.set(run.runId, { request, pool, path });
		const headers = {
			'content-type': 'application/json',
			[upstreamHeaders.submissionId]: run.submissionId,
			[upstreamHeaders.taskIndex]: String(run.taskIndex),
			[upstreamHeaders.route]: run.route,
			[upstreamHeaders.team]: run.team,
			[upstreamHeaders.leaseMs]: String(run.leaseMs),
		};
		pool.dispatch({ path, method: 'POST', headers, body: run.payloadJson, idempotent: false }, request);
	}

	stop(runId: number): void {
		const run = this._runs.get(runId);
		if (run === undefined) {
			return;
		}
		run.request.isStopRequested = true;
		this._sendControlRequest(run, 'DELETE', '', undefined).then(
			(status) => {
				if (status >= 200 && status < 300) {
					run.request.abandon();
					this._endRun(runId, { state: 'stopped' });
				}
			},
			() => undefined,
		);
	}

	abandon(runId: number): void {
		const run = this._runs.get(runId);
		this._runs.delete(runId);
		run?.request.abandon();
	}

	throttle(runId: number, share: number): void {
		this._postControlRequest(runId, '/throttle', { share });
	}

	checkpoint(runId: number): void {
		this._postControlRequest(runId, '/checkpoint', {});
	}

	sampleUsage(): void {
		const pool = this._currentPool;
		if (pool === undefined || !this._isUsageSupported || this._isUsageRequestPending) {
			return;
		}
		this._isUsageRequestPending = true;
		this._requestUsage(pool).then(
			() => {
				this._isUsageRequestPending = false;
			},
			(error: unknown) => {
				this._isUsageRequestPending = false;
				this._log.debug('upstream.usageFailed', { reason: describeError(error) });
			},
		);
	}

	private async _requestUsage(pool: Pool): Promise<void> {
		const signal = AbortSignal.timeout(controlTimeoutMs);
		const response = await pool.request({ path: usagePath, method: 'GET', signal });
		if (response.statusCode !== 200) {
			await response.body.dump();
			this._isUsageSupported = false;
			this._log.info('upstream.usageNotMeasured', { status: response.statusCode });
			return;
		}
		const { tasks } = usageSchema.parse(await response.body.json());
		this._report({ kind: 'usageSampled', samples: tasks });
	}

	private _endRun(runId: number, end: RunEnd): void {
		if (this._runs.delete(runId)) {
			this._report({ kind: 'runEnded', runId, end });
		}
	}

	private _postControlRequest(runId: number, suffix: string, body: object): void {
		const run = this._runs.get(runId);
		if (run === undefined) {
			return;
		}
		this._sendControlRequest(run, 'POST', suffix, body).catch((error: unknown) => {
			this._log.debug('upstream.controlFailed', { path: run.path + suffix, reason: describeError(error) });
		});
	}

	private async _sendControlRequest(
		run: ActiveRun,
		method: Dispatcher.HttpMethod,
		suffix: string,
		body: object | undefined,
	): Promise<number> {
		const response = await run.pool.request({
			path: run.path + suffix,
			method,
			headers: { 'content-type': 'application/json' },
			body: body === undefined ? null : JSON.stringify(body),
			signal: AbortSignal.timeout(controlTimeoutMs),
		});
		await response.body.dump();
		return response.statusCode;
	}
}
