/**
 * An agent stands still for 3 s while jobs come in, and wakes again. Checks whether two runs of one task are at work at the same
 * time on workers that are up.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { Client, createConfig, createJobId, runCase } from '../lib/deployment.mjs';
import { findConcurrentRuns, Worker } from '../lib/worker.mjs';

const service = 'svc-a';
const workMs = 1200;
const job = {
	spec: JSON.stringify({ workMs, cpu: 2000 }),
	steps: [{ count: 4, cpu: 2000, memMb: 64, estimateMs: workMs }],
	bestEffort: true,
};
/** Time limit of the callers: about three times the time in which the job should be done. */
const timeLimitMs = 6000;
const freezeMs = 3000;

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 3, entries: 1, agents: 3, service });
	await deployment.putConfig(createConfig({ version: 1, host: 'a.example', prefix: '/q/', service }));
	const workers = deployment.agents.map((agent, index) => new Worker(recorder, agent, { id: `i-${index}` }));
	for (const worker of workers) {
		await worker.boot();
	}
	await deployment.waitUntilReady(workers.length);
	const client = new Client(recorder, 'a.example', '/q/');
	const answers = [];
	const sendJobs = async (count) => {
		for (let index = 0; index < count; index += 1) {
			answers.push(client.runJob(deployment.entries, createJobId(), job, { timeLimitMs }));
			await sleep(250);
		}
	};
	await sendJobs(4);
	const [agent] = deployment.agents;
	if (hasTrouble) {
		agent.signal('SIGSTOP');
	}
	const sent = sendJobs(20);
	await sleep(freezeMs);
	if (hasTrouble) {
		agent.signal('SIGCONT');
	}
	await sent;
	await Promise.all(answers);
	for (const worker of workers) {
		worker.close();
	}
	return findConcurrentRuns(workers);
});
