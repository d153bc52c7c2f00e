/** A small deployment: three keepers, some entries, and agents with one worker each. */

import { performance } from 'node:perf_hooks';
import { sleep } from './deployment.mjs';
import { createConfig, Operator } from './operator.mjs';
import { call } from './http.mjs';
import { Worker } from './worker.mjs';

/** Starts the deployment, puts a config in force, and resolves when all entries are ready. */
export async function startSmallSystem(
	deployment,
	record,
	{ entryCount, workerCount, cpu = 32_000, config },
) {
	const seeds = [1, 2, 3].map((position) => deployment.controlAddress(position));
	const keepers = ['core-a', 'core-b', 'core-c'].map((name) =>
		deployment.add('keeper', name, { seeds, bootstrap: true }),
	);
	const entries = Array.from({ length: entryCount }, (_, index) =>
		deployment.add('entry', `edge-${index + 1}`, { seeds }),
	);
	const agents = Array.from({ length: workerCount }, (_, index) =>
		deployment.add('agent', `side-${index + 1}`, { seeds }),
	);
	for (const machine of [...keepers, ...entries, ...agents]) {
		machine.start();
		await sleep(30);
	}
	const runs = [];
	const workers = agents.map(
		(agent, index) => new Worker(agent, runs, { id: `i-${index + 1}`, cpu, record }),
	);
	await Promise.all(workers.map((worker) => worker.start()));
	const operator = new Operator(record);
	if ((await operator.put(config ?? createConfig(3), keepers, 15_000)) === undefined) {
		throw new Error('The first config was not acknowledged.');
	}
	for (const keeper of keepers) {
		keeper.fields.bootstrap = false;
	}
	const endsMs = performance.now() + 15_000;
	for (const entry of entries) {
		while ((await call('GET', entry.fields.listen.ready, '/ready')).status !== 200) {
			if (performance.now() > endsMs) {
				throw new Error(`${entry.name} is not ready.`);
			}
			await sleep(100);
		}
	}
	// Each worker has reported at least twice by then.
	await sleep(3500);
	const dispose = () => {
		for (const worker of workers) {
			worker.dispose();
		}
	};
	return { keepers, entries, agents, workers, runs, operator, dispose };
}
