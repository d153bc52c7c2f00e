/** A status report of another writer, which names a service that no config names, reaches agents whose workers are at work. */

import { setTimeout as sleep } from 'node:timers/promises';
import { Client, createConfig, createJobId, runCase } from '../lib/deployment.mjs';
import { findConcurrentRuns, Worker } from '../lib/worker.mjs';

const [host, prefix, service] = ['a.example', '/x/', 's'];
const job = {
	spec: JSON.stringify({ workMs: 700, cpu: 500 }),
	bestEffort: true,
	steps: [{ count: 2, cpu: 500, memMb: 64, estimateMs: 700 }],
};

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 3, entries: 2, agents: 3, service });
	const workers = deployment.agents.map(
		(agent, index) => new Worker(recorder, agent, { id: `i-${index + 1}` }),
	);
	await Promise.all(workers.map((worker) => worker.boot()));
	await deployment.putConfig(createConfig({ version: 1, host, prefix, service }));
	await deployment.waitUntilReady(workers.length);
	// By now each worker has reported itself.
	await sleep(2000);
	const client = new Client(recorder, host, prefix);
	const jobs = [];
	for (let index = 0; index < 8; index += 1) {
		jobs.push(client.runJob([deployment.entries[index % 2]], createJobId(), job));
	}
	await sleep(250);
	if (hasTrouble) {
		const [worker] = workers;
		// The writer of another service's reports sends no `born`.
		const report = { ...worker.createReport(), service: 'other', seq: 1, born: undefined };
		const { status } = await worker.sendReport('x-1', report);
		recorder.note(`a status report of the service "other" at ${worker.agent.name} gets ${status}`);
	}
	await Promise.all(jobs);
	await sleep(500);
	for (const worker of workers) {
		worker.close();
	}
	return findConcurrentRuns(workers);
});
