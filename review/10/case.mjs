/** An agent refuses starts for want of room; some of these jobs come again; the entry then stands still for a moment. */

import { performance } from 'node:perf_hooks';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { createJob, handIn, postJob } from '../tools-2/client.mjs';
import { runCase, sleep } from '../tools-2/deployment.mjs';
import { startSmallSystem } from '../tools-2/smallSystem.mjs';
import { findConcurrentRuns, writeRuns } from '../tools-2/worker.mjs';

/** Length of the freeze; the site's are up to 3500 ms long. */
const freezeMs = 1120;
/** Time after which channels of clients are reset. */
const resetAfterMs = 250;
/** `resendMs` of the site. */
const resendMs = 1300;
const rounds = 12;
const workerCount = 2;
/** Tasks that fit into all workers. */
const slotCount = 10 * workerCount;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record, hasTrouble) => {
	const system = await startSmallSystem(deployment, record, { entryCount: 2, workerCount });
	const [first, second] = system.entries;
	const jobs = [];
	let isFrozen = false;
	let isOver = false;
	// Short jobs, so that the entry keeps sending to all agents.
	const background = (async () => {
		while (!isOver) {
			if (!isFrozen) {
				const job = createJob({ count: 4, cpu: 100, estimateMs: 60, workMs: 60 });
				jobs.push(postJob(first, job, { deadlineMs: 1500 }));
			}
			await sleep(25);
		}
	})();
	for (let round = 1; round <= rounds; round += 1) {
		record.write(`round ${round}`);
		const startedMs = performance.now();
		for (let position = 0; position < slotCount; position += 1) {
			const job = createJob({ estimateMs: 500, workMs: 500 });
			jobs.push(postJob(second, job, { deadlineMs: 1500 }));
		}
		await sleep(6);
		for (let position = 0; position < 12; position += 1) {
			const job = createJob({ estimateMs: 1500, workMs: 2500 });
			const breakAfterMs = hasTrouble && position % 2 === 0 ? resetAfterMs : Infinity;
			jobs.push(handIn(record, [first, first], job, { deadlineMs: 4000, breakAfterMs }));
		}
		await sleep(resetAfterMs + resendMs + 300 - (performance.now() - startedMs));
		if (hasTrouble) {
			isFrozen = true;
			first.signal('SIGSTOP');
			await sleep(freezeMs);
			first.signal('SIGCONT');
			isFrozen = false;
		}
		await sleep(3300);
	}
	isOver = true;
	await background;
	await Promise.all(jobs);
	await sleep(500);
	system.dispose();
	const longRuns = system.runs.filter(({ endMs, startMs }) => endMs === undefined || endMs - startMs > 200);
	writeRuns(longRuns, record);
	return findConcurrentRuns(system.runs).map(
		({ left, right, ms }) =>
			`task ${left.task} was at work at ${left.worker} (run ${left.run}) and at ${right.worker} (run ${right.run}) ` +
			`for ${ms.toFixed(0)} ms, from ${(Math.max(left.startMs, right.startMs) / 1000).toFixed(3)}`,
	);
});
