/** Starts a deployment with its workers and one queue, and gathers what the workers run. */

import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { createConfig, Deployment, ports, putConfig, waitUntilReady } from './deployment.mjs';
import { Worker } from './worker.mjs';

export const queue = { name: 'terms-check', host: 'terms.example', pathPrefix: '/terms/' };
const service = 'ledger';

/** Runs of all tasks, as the workers saw them. */
export class RunLedger {
	constructor(recorder) {
		this.recorder = recorder;
		/** By task: runs with worker, run, startMs, endMs (undefined while it runs) and how it ended. */
		this.byTask = new Map();
	}

	handle({ worker, event, task, run, how }) {
		const nowMs = performance.now();
		const runs = this.byTask.get(task) ?? [];
		this.byTask.set(task, runs);
		if (event === 'start') {
			runs.push({ worker, run, startMs: nowMs, endMs: undefined, how: undefined });
			this.recorder.write(`worker ${worker}: start ${task} run ${run}`);
			return;
		}
		const known = runs.find((each) => each.worker === worker && each.run === run && each.endMs === undefined);
		known.endMs = nowMs;
		known.how = how;
		this.recorder.write(`worker ${worker}: end ${task} run ${run} ${how}`);
	}

	runsOfJob(jobId) {
		return [...this.byTask].flatMap(([task, runs]) => (task.startsWith(`${jobId}.`) ? runs : []));
	}

	/** Returns the pairs of runs of one task that went on at the same time. */
	findOverlaps() {
		const overlaps = [];
		for (const [task, runs] of this.byTask) {
			const sorted = [...runs].sort((left, right) => left.startMs - right.startMs);
			for (const [position, later] of sorted.entries()) {
				for (const earlier of sorted.slice(0, position)) {
					const untilMs = Math.min(earlier.endMs ?? Infinity, later.endMs ?? Infinity);
					if (untilMs > later.startMs) {
						overlaps.push({ task, earlier, later, forMs: untilMs - later.startMs });
					}
				}
			}
		}
		return overlaps;
	}
}

/**
 * Starts keepers, entries, agents and workers, sends the first config, and waits until all entries know all workers.
 *
 * @param options getWorkMs(spec, task): duration of a run; the others are those of Deployment.start
 */
export async function startSite(recorder, options) {
	const ledger = new RunLedger(recorder);
	const deployment = await Deployment.start({ ...options, service });
	const agents = deployment.list('agent');
	const workers = agents.map(
		({ ip, zone }, index) =>
			new Worker({
				id: `i-${index}${randomBytes(3).toString('hex')}`,
				service,
				zone,
				address: `${ip}:${ports.app}`,
				control: `${ip}:${ports.control}`,
				capacity: { cpu: 64_000, memMb: 262_144, gpu: 0 },
				labels: ['a', `r1-${Math.floor(index / 3)}`],
				getNeeds: () => ({ cpu: options.taskCpu }),
				getWorkMs: options.getWorkMs,
				onEvent: (event) => ledger.handle(event),
			}),
	);
	const close = async () => {
		for (const worker of workers) {
			worker.close();
		}
		await deployment.close({ keepFolder: options.keepFolder });
	};
	try {
		await putConfig(deployment, createConfig(1, service, [queue]));
		recorder.write('operator: version 1 is acknowledged');
		await waitUntilReady(deployment, { minWorkers: agents.length });
	} catch (error) {
		await close();
		throw error;
	}
	return { deployment, workers, ledger, close };
}
