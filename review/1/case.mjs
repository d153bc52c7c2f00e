/** An agent is frozen for some seconds, and starts tasks when it wakes that run elsewhere. */

import { setTimeout as sleep } from 'node:timers/promises';
import { Client, createConfig, createJobId, runCase } from '../lib/deployment.mjs';
import { findConcurrentRuns, Worker } from '../lib/worker.mjs';

const [host, prefix, service] = ['a.example', '/x/', 's'];
/** Within the longest freeze of the site file, 3.5 s. */
const freezeMs = 3400;
const rounds = 3;
const job = {
	spec: JSON.stringify({ workMs: 900, cpu: 500 }),
	bestEffort: true,
	steps: [{ count: 1, cpu: 500, memMb: 64, estimateMs: 900 }],
};

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 3, entries: 2, agents: 3, service });
	const workers = deployment.agents.map(
		(agent, index) => new Worker(recorder, agent, { id: `i-${index + 1}` }),
	);
	await Promise.all(workers.map((worker) => worker.boot()));
	await deployment.putConfig(createConfig({ version: 1, host, prefix, service }));
	await deployment.waitUntilReady(workers.length);
	const client = new Client(recorder, host, prefix);
	for (let round = 0; round < rounds; round += 1) {
		const agent = deployment.agents[round % deployment.agents.length];
		if (hasTrouble) {
			agent.signal('SIGSTOP');
		}
		const jobs = [];
		for (let index = 0; index < 30; index += 1) {
			const [first, second] = deployment.entries;
			const entries = index % 2 === 0 ? [first, second] : [second, first];
			jobs.push(client.runJob(entries, createJobId(), job));
			await sleep(20);
		}
		await sleep(freezeMs - 30 * 20);
		if (hasTrouble) {
			agent.signal('SIGCONT');
		}
		await Promise.all(jobs);
		await sleep(1000);
	}
	for (const worker of workers) {
		worker.close();
	}
	return findConcurrentRuns(workers);
});
