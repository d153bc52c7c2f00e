/**
 * Two runs of one task are never at work at the same time, while agents stand still, connections are cut, and entries, agents and
 * workers restart. YUCCAARCH_RUN_SEEDS sets the number of seeds, YUCCAARCH_FIRST_SEED the first one.
 */

import test, { type ExecutionContext } from 'ava';
import { SeededRandom } from '../../../base/common/random.js';
import { findConcurrentRuns } from './concurrentRuns.js';
import { MemorySystem } from './memorySystem.js';

const firstSeed = Number(process.env.YUCCAARCH_FIRST_SEED ?? 1);
const seedCount = Number(process.env.YUCCAARCH_RUN_SEEDS ?? 3);
const durationMs = 8000;
const entryCount = 2;
const workerCount = 4;
const needs = { cpuMillis: 1000, memoryMb: 10, accelerators: 0 };
const capacity = { cpuMillis: 6000, memoryMb: 1000, accelerators: 0 };

async function sleep(ms: number): Promise<void> {
	await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Causes one trouble, and ends it. */
async function causeTrouble(system: MemorySystem, random: SeededRandom): Promise<void> {
	const agent = random.integer(0, workerCount - 1);
	const entry = random.integer(0, entryCount - 1);
	switch (random.integer(0, 6)) {
		case 0:
			system.pauseAgent(agent);
			await sleep(random.integer(50, 400));
			// The entries close their connections after a silence, while what they sent still waits.
			for (let index = 0; index < entryCount; index += 1) {
				system.cut(index, agent);
			}
			await sleep(random.integer(100, 2500));
			system.resumeAgent(agent);
			system.heal();
			return;
		case 1:
			system.pauseAgent(agent);
			await sleep(random.integer(50, 700));
			system.resumeAgent(agent);
			return;
		case 2:
			system.cut(entry, agent);
			await sleep(random.integer(10, 1500));
			system.heal();
			return;
		case 3:
			system.restartAgent(agent);
			return;
		case 4:
			await system.cutUnnoticed(entry, agent);
			await sleep(random.integer(10, 1500));
			system.heal();
			return;
		case 5:
			system.pauseAgent(agent);
			system.crashWorker(agent, random.integer(20, 600));
			await sleep(random.integer(50, 700));
			system.resumeAgent(agent);
			return;
		default:
			system.restartEntry(entry);
	}
}

/** Logs what happened around the runs of each task that ran twice at the same time. */
function logTimelines(t: ExecutionContext, system: MemorySystem, concurrentRuns: readonly string[]): void {
	for (const taskKey of new Set(concurrentRuns.map((line) => line.split(':')[0] ?? ''))) {
		const runs = system.getStarts(taskKey);
		const fromMs = Math.min(...runs.map(({ atMs }) => atMs)) - 1000;
		for (const { run, workerKey, atMs, endedAtMs } of runs) {
			const [startMs, endMs] = [Math.round(atMs - fromMs), Math.round(endedAtMs - fromMs)];
			t.log(`${taskKey}: run ${run} at ${workerKey} from ${startMs} ms to ${endMs} ms`);
		}
		t.log(system.log.describe(taskKey.split('/')[0] ?? '', fromMs, fromMs + 5000).join('\n'));
	}
}

for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
	test.serial(
		`no task runs twice at the same time while agents stand still and connections are cut, seed ${seed}`,
		async (t) => {
			const random = new SeededRandom(seed);
			const system = new MemorySystem(t, { entryCount, workerCount, capacity, workerRestartMs: 600 });
			await system.waitUntilReady();
			const endMs = performance.now() + durationMs;
			const outcomes: Promise<unknown>[] = [];
			const submitJobs = async (): Promise<void> => {
				while (performance.now() < endMs) {
					const script = { durationMs: random.integer(50, 1200), needs };
					const job = { jobId: `job-${outcomes.length}`, taskCount: 3, waitMs: 3000, objectiveMs: 3000 };
					outcomes.push(system.submit(random.integer(0, entryCount - 1), script, job));
					await sleep(random.integer(50, 250));
				}
			};
			const causeTroubles = async (): Promise<void> => {
				while (performance.now() < endMs) {
					await sleep(random.integer(50, 500));
					await causeTrouble(system, random);
				}
			};
			await Promise.all([submitJobs(), causeTroubles()]);
			await sleep(3500);
			const starts = system.workers.flatMap((worker) => worker.starts);
			const concurrentRuns = findConcurrentRuns(starts);
			logTimelines(t, system, concurrentRuns);
			t.deepEqual(concurrentRuns, []);
			t.true(system.workers.some(({ starts }) => starts.some(({ run }) => run > 1)));
		},
	);
}
