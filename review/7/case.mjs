/** Jobs that an entry has rejected come again when it said; while they run, the entry stands still for a moment. */

import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { createJob, postJob } from '../tools-2/client.mjs';
import { runCase, sleep } from '../tools-2/deployment.mjs';
import { startSmallSystem } from '../tools-2/smallSystem.mjs';
import { writeRuns } from '../tools-2/worker.mjs';

/** Length of the freeze; the site's are up to 3500 ms long. */
const freezeMs = 1120;
const rounds = 8;
/** Tasks that fit into both workers. */
const slotCount = 20;
const deadlineMs = 4000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (deployment, record, hasTrouble) => {
	const system = await startSmallSystem(deployment, record, { entryCount: 2, workerCount: 2 });
	const [first, second] = system.entries;
	const jobs = [];
	const pending = [];
	let isFrozen = false;
	let isOver = false;
	// Short jobs, so that the entry keeps sending to both agents.
	const background = (async () => {
		while (!isOver) {
			if (!isFrozen) {
				const job = createJob({ count: 4, cpu: 50, estimateMs: 60, workMs: 60 });
				pending.push(postJob(first, job, { deadlineMs: 1500 }));
			}
			await sleep(25);
		}
	})();
	const fill = (workMs) => {
		for (let position = 0; position < slotCount; position += 1) {
			const job = createJob({ estimateMs: workMs, workMs });
			pending.push(postJob(second, job, { deadlineMs }));
		}
	};
	/** Hands a job in, and once more when the entry has said, if it was rejected. */
	const handInTwice = async (job) => {
		const attempts = [];
		jobs.push({ job, attempts });
		for (let attempt = 1; attempt <= 2; attempt += 1) {
			const answer = await postJob(first, job, { deadlineMs });
			record.write(
				`client has ${job.id} from ${first.name}: ${answer.status} ${answer.reason} ${answer.retryAfter ?? ''}`,
			);
			attempts.push(answer.status);
			if (answer.status !== 503) {
				return;
			}
			await sleep(1000 * Number(answer.retryAfter));
		}
	};
	for (let round = 1; round <= rounds; round += 1) {
		record.write(`round ${round}`);
		const startedMs = performance.now();
		const until = (ms) => sleep(Math.max(0, startedMs + ms - performance.now()));
		fill(1200);
		await sleep(6);
		for (let position = 0; position < 12; position += 1) {
			pending.push(handInTwice(createJob({ estimateMs: 1500, workMs: 3000 })));
		}
		await until(3000);
		// The other entry's jobs take the room that is left.
		fill(2500);
		await until(3150);
		if (hasTrouble) {
			isFrozen = true;
			first.signal('SIGSTOP');
			await sleep(freezeMs);
			first.signal('SIGCONT');
			isFrozen = false;
		}
		await until(9500);
	}
	isOver = true;
	await background;
	await Promise.all(pending);
	await sleep(500);
	system.dispose();
	const runsByJob = new Map();
	for (const run of system.runs) {
		const [id] = run.task.split('.');
		runsByJob.set(id, [...(runsByJob.get(id) ?? []), run]);
	}
	writeRuns(
		jobs.flatMap(({ job }) => runsByJob.get(job.id) ?? []),
		record,
	);
	return jobs
		.filter(({ job, attempts }) => attempts.every((status) => status === 503) && runsByJob.has(job.id))
		.map(({ job }) => {
			const [{ worker, startMs, endMs }] = runsByJob.get(job.id);
			return (
				`all attempts to hand ${job.id} in were rejected with 503, but its task was at work at ${worker} from ` +
				`${(startMs / 1000).toFixed(3)} to ${(endMs / 1000).toFixed(3)}`
			);
		});
});
