/** Starts and ends a thread that keeps jobs open at one entry. */

import { Worker } from 'node:worker_threads';
import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type {
	ClosedLoopCount,
	ClosedLoopOptions,
	ClosedLoopReport,
	ClosedLoopRequest,
} from './closedLoopThread.js';

const threadFile = new URL('./closedLoopThread.js', import.meta.url);

/**
 * Load from a thread of its own.
 *
 * @example
 * const load = store.add(new ClosedLoop({ url, route: 'bench-route', tasksPerJob: 40, openJobs: 16, runMs: 0 }));
 * const report = await load.stop();
 */
export class ClosedLoop extends Disposable {
	private readonly _thread: Worker;
	private readonly _report = new Deferred<ClosedLoopReport>();
	private _count = new Deferred<number>();

	constructor(options: ClosedLoopOptions) {
		super();
		this._thread = new Worker(threadFile, { workerData: options });
		this._thread.on('message', (message: ClosedLoopReport | ClosedLoopCount) => {
			if (message.kind === 'count') {
				this._count.resolve(message.jobs);
				return;
			}
			this._report.resolve(message);
		});
		this._thread.on('error', (error) => {
			this._report.reject(error instanceof Error ? error : new Error(String(error)));
		});
		this._register(
			toDisposable(() => {
				void this._thread.terminate();
			}),
		);
	}

	/** Resolves once all jobs were answered; endless load must be stopped first. */
	get finished(): Promise<ClosedLoopReport> {
		return this._report.promise;
	}

	/** Sends nothing more and waits for the answers of what is open. */
	async stop(): Promise<ClosedLoopReport> {
		this._request('stop');
		return this._report.promise;
	}

	/** Jobs that were answered so far. */
	async count(): Promise<number> {
		this._count = new Deferred<number>();
		this._request('count');
		return this._count.promise;
	}

	private _request(request: ClosedLoopRequest): void {
		this._thread.postMessage(request);
	}
}
