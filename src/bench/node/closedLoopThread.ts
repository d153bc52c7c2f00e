/** Thread that keeps a number of equal jobs open at one entry, or tasks at one upstream, until it is told to stop. */

import { parentPort, workerData } from 'node:worker_threads';
import { Pool } from 'undici';

/** What the thread is started with. */
export interface ClosedLoopOptions {
	/** Base URL of an entry, or of an upstream. */
	readonly url: string;
	/** Route of the jobs; absent to send single tasks straight to an upstream. */
	readonly route?: string;
	readonly tasksPerJob: number;
	/** Jobs that are open at the same time. */
	readonly openJobs: number;
	/** Jobs to send; endless when absent. */
	readonly maxJobs?: number;
	readonly runMs: number;
}

/** What the bench asks of the thread: how many jobs were answered so far, or to stop. */
export type ClosedLoopRequest = 'count' | 'stop';

/** Answer to `count`. */
export interface ClosedLoopCount {
	readonly kind: 'count';
	readonly jobs: number;
}

/** What the thread reports at its end. */
export interface ClosedLoopReport {
	readonly kind: 'finished';
	readonly jobs: number;
	readonly notWhole: number;
	readonly responsesMs: readonly number[];
}

const options = workerData as ClosedLoopOptions;
const pool = new Pool(options.url, { connections: options.openJobs, pipelining: 1 });
const tasks = Array.from({ length: options.tasksPerJob }, (_, task) => ({ runMs: options.runMs, task }));
const jobBody = JSON.stringify({ tasks, deadlineMs: 30_000, team: 'north' });
const taskBody = JSON.stringify(tasks[0]);
const responsesMs: number[] = [];
let sentJobs = 0;
let notWhole = 0;
let isStopped = false;

async function sendOne(): Promise<void> {
	sentJobs += 1;
	const sentAtMs = performance.now();
	const response = await pool.request({
		method: 'POST',
		path: options.route === undefined ? `/v1/tasks/direct-${sentJobs}/0` : `/v1/routes/${options.route}/jobs`,
		headers: { 'content-type': 'application/json' },
		body: options.route === undefined ? taskBody : jobBody,
	});
	await response.body.dump();
	responsesMs.push(performance.now() - sentAtMs);
	if (response.statusCode !== 200) {
		notWhole += 1;
	}
}

async function keepSending(): Promise<void> {
	while (!isStopped && sentJobs < (options.maxJobs ?? Infinity)) {
		await sendOne();
	}
}

parentPort?.on('message', (request: ClosedLoopRequest) => {
	if (request === 'stop') {
		isStopped = true;
		return;
	}
	const count: ClosedLoopCount = { kind: 'count', jobs: responsesMs.length };
	parentPort?.postMessage(count);
});
await Promise.all(Array.from({ length: options.openJobs }, () => keepSending()));
const report: ClosedLoopReport = { kind: 'finished', jobs: responsesMs.length, notWhole, responsesMs };
parentPort?.postMessage(report);
parentPort?.close();
await pool.destroy();
