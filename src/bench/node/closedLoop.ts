/** Starts and ends a thread that keeps jobs open at one entry. */

import { Worker } from 'node:worker_threads';
import { Deferred } from '../../base/common/async.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { ClosedLoopOptions, ClosedLoopReport } from './closedLoopThread.js';

const threadFile = new URL('./closedLoopThread.js', import.meta.url);

/**
 * Load from a thread of its own.
 *
 * @example
 * const load = store.add(new ClosedLoop({ entryUrl, route: 'bench-route', tasksPerJob: 40, openJobs: 16, runMs: 0 }));
 * const report = await load.stop();
 */
export class ClosedLoop extends Disposable {
	private readonly _thread: Worker;
	private readonly _report = new Deferred<ClosedLoopReport>();

	constructor(options: ClosedLoopOptions) {
		super();
		this._thread = new Worker(threadFile, { workerData: options });
		this._thread.on('message', (report: ClosedLoopReport) => {
			this._report.resolve(report);
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
		this._thread.postMessage('stop');
		return this._report.promise;
	}
}
