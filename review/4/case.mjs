/**
 * A status report of another writer reaches an agent while tasks run on its worker: it is valid JSON of the right shape, but its
 * service is none of the config. It names no worker to use, and the worker beside the agent goes on as before.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { Client, createConfig, createJobId, runCase, waitFor } from '../lib/deployment.mjs';
import { findConcurrentRuns, Worker } from '../lib/worker.mjs';

const service = 'svc-a';
const otherService = 'svc-of-another-writer';
const workMs = 1200;
const job = {
	spec: JSON.stringify({ workMs, cpu: 2000 }),
	steps: [{ count: 6, cpu: 2000, memMb: 64, estimateMs: workMs }],
	bestEffort: true,
};
/** Time limit of the caller; the job needs 1.2 s. */
const timeLimitMs = 6000;

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 3, entries: 1, agents: 3, service });
	await deployment.putConfig(createConfig({ version: 1, host: 'a.example', prefix: '/q/', service }));
	const workers = deployment.agents.map((agent, index) => new Worker(recorder, agent, { id: `i-${index}` }));
	for (const worker of workers) {
		await worker.boot();
	}
	await deployment.waitUntilReady(workers.length);
	const client = new Client(recorder, 'a.example', '/q/');
	const answered = client.runJob(deployment.entries, createJobId(), job, { timeLimitMs });
	await waitFor('The start of all tasks', () =>
		Promise.resolve(workers.reduce((sum, { running }) => sum + running.size, 0) === 6),
	);
	await sleep(150);
	if (hasTrouble) {
		const [worker] = workers.filter(({ running }) => running.size > 0);
		const report = { ...worker.createReport(), service: otherService, born: Date.now(), seq: 1 };
		recorder.note(`a status report of another writer arrives beside ${worker.id}`);
		const { status } = await worker.sendReport('other-writer', report);
		recorder.note(`its answer is ${status}`);
	}
	await answered;
	await sleep(1500);
	for (const worker of workers) {
		worker.close();
	}
	return findConcurrentRuns(workers);
});
