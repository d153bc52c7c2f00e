/**
 * A status report of another writer reaches an agent: its service is none of the config, and its address is a URL. It names no
 * worker to use, and the worker beside the agent goes on as before. Checks whether the agent still takes note of its ends.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { Client, createConfig, createJobId, runCase, waitFor } from '../lib/deployment.mjs';
import { Worker } from '../lib/worker.mjs';

const service = 'svc-a';
const otherService = 'svc-of-another-writer';
const workMs = 400;
const job = {
	spec: JSON.stringify({ workMs, cpu: 2000 }),
	steps: [{ count: 4, cpu: 2000, memMb: 64, estimateMs: workMs }],
	bestEffort: true,
};
/** Time after the report: `ackMs` and a status report of the worker, which announces itself again every 1.5 s. */
const settleMs = 6000;
/** Number of jobs that are sent after that time. */
const jobCount = 20;

await runCase(import.meta.url, async (deployment, recorder, hasTrouble) => {
	await deployment.start({ keepers: 3, entries: 1, agents: 1, service });
	await deployment.putConfig(createConfig({ version: 1, host: 'a.example', prefix: '/q/', service }));
	const [agent] = deployment.agents;
	const worker = new Worker(recorder, agent, { id: 'i-0' });
	await worker.boot();
	await deployment.waitUntilReady(1);
	const client = new Client(recorder, 'a.example', '/q/');
	const [entry] = deployment.entries;
	await client.sendJob(entry, createJobId(), job);
	const answered = client.sendJob(entry, createJobId(), job);
	await waitFor('The start of all tasks', () => Promise.resolve(worker.running.size === 4));
	if (hasTrouble) {
		const ownReport = worker.createReport();
		const report = { ...ownReport, service: otherService, address: `http://${ownReport.address}`, seq: 1 };
		recorder.note(`a status report of another writer arrives beside ${worker.id}`);
		const { status } = await worker.sendReport('other-writer', { ...report, born: Date.now() });
		recorder.note(`its answer is ${status}`);
	}
	await answered;
	await sleep(settleMs);
	const settledHoldCount = worker.holdCount;
	const unnotedCount = worker.ended.length;
	recorder.note(`${settleMs} ms later: ${unnotedCount} of ${worker.lastEnd} ends are not taken note of`);
	let completed = 0;
	for (let count = 0; count < jobCount; count += 1) {
		const { status } = await client.sendJob(entry, createJobId(), job);
		completed += status === 200 ? 1 : 0;
		await sleep(400);
	}
	const holds = worker.holdCount - settledHoldCount;
	recorder.note(
		`then ${completed} of ${jobCount} jobs are completed, and ${holds} holds arrive at the worker`,
	);
	const isBroken = unnotedCount > worker.lastEnd / 5;
	worker.close();
	return isBroken
		? [
				`${unnotedCount} ends were not taken note of; then ${completed} jobs were run, with ${holds} calls of the agent`,
			]
		: [];
});
