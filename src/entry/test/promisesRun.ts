/** One seeded run of entries and agents under faults, judged by the promises to readers. */

import { SeededRandom } from '../../base/common/random.js';
import type { JobSubmission } from '../../protocol/common/jobs.js';
import { submissionOf, SimulatedSystem, type ReceivedAnswer } from './simulatedSystem.js';

const runMs = 12_000;

/** Faults of one run, as its seed gives them. */
export function injectFaults(system: SimulatedSystem, random: SeededRandom): void {
	const faults: (() => void)[] = [
		() => {
			system.breakConnection();
		},
		() => {
			system.breakConnection();
		},
		() => {
			system.restartAgent();
		},
		() => {
			system.killEntry();
		},
		() => {
			system.isolate('isCutOff', random.integer(500, 5000));
		},
		() => {
			system.isolate('isFrozen', random.integer(100, 4000));
		},
		() => {
			system.drainEntry();
		},
	];
	for (let atMs = random.exponential(400); atMs < runMs; atMs += random.exponential(400)) {
		system.after(atMs, random.pick(faults));
	}
}

/** Submissions of one run: keyed ones come again, also through other entries. */
function submitJobs(system: SimulatedSystem, random: SeededRandom, entryCount: number): void {
	let count = 0;
	for (let atMs = 0; atMs < runMs; atMs += random.exponential(50)) {
		count += 1;
		const kind = random.pick(['plain', 'plain', 'keyed', 'once']);
		const options: Partial<JobSubmission> = {
			isKeyed: kind !== 'plain',
			repeatable: kind !== 'once',
			route: kind === 'once' ? 'excusal' : 'lookup',
			remainingMs: random.integer(100, 4000),
		};
		const submission = submissionOf(`s${count}`, random.integer(1, 6), options);
		const again = kind === 'plain' ? 0 : random.integer(0, 2);
		for (let time = 0; time <= again; time += 1) {
			system.after(atMs + time * random.exponential(800), () => {
				const entryIndex = random.integer(0, entryCount - 1);
				const readerId = system.submit(entryIndex, submission);
				if (random.next() < 0.05) {
					system.after(random.integer(1, 300), () => {
						system.leave(entryIndex, readerId);
					});
				}
			});
		}
	}
}

/**
 * Tasks that started twice. A keyed job that may be repeated is allowed that after both the entry and the agent that
 * knew of it were lost; any other is not.
 */
function doubleStarts(system: SimulatedSystem): string[] {
	const repeated = system.repeatedStarts.filter((key) => !system.repeatableKeys.has(key.split('/')[0] ?? ''));
	return [...system.doubleStarts, ...repeated].map((key) => `${key} started twice`);
}

/** Answers that are not their own job's whole answer. */
function partialAnswers(answers: readonly ReceivedAnswer[]): string[] {
	return answers
		.filter(({ answer, submission }) => {
			const { payloadsJson } = submission;
			return answer.status === 'complete' && answer.resultsJson.join() !== payloadsJson.join();
		})
		.map(({ submission }) => `${submission.submissionId}: a complete answer is partial or another job's`);
}

/**
 * Refusals that are untrue: all that readers of a submission were told is `notRun`, and yet tasks have started. A
 * submission that one attempt ran and another was refused for is judged by neither, nor is one with a lost reader.
 */
function untrueRefusals(system: SimulatedSystem): string[] {
	const told = new Map<string, ReceivedAnswer['answer'][]>();
	for (const { submission, answer } of system.answers) {
		const known = told.get(submission.submissionId) ?? [];
		told.set(submission.submissionId, [...known, answer]);
	}
	return [...told]
		.filter(([id, answers]) => {
			const isRefused = answers.every((answer) => answer.status === 'notRun');
			const hasHeardAll = answers.length === system.submissions.get(id);
			return isRefused && hasHeardAll && system.startsBySubmission.has(id);
		})
		.map(([id, [answer]]) => `${id}: told ${JSON.stringify(answer)}, but tasks have started`);
}

/** Looks all the time whether the count of each queue, by which an entry decides to place, is that of its jobs. */
function watchQueues(system: SimulatedSystem, faults: Set<string>): void {
	for (const { processId, core } of system.entries) {
		for (const pool of core.tables.pools.values()) {
			const jobs = [...core.tables.jobs.values()].filter((job) => job.phase === 'placing');
			const waiting = jobs.reduce((sum, job) => sum + (job.pool === pool.name ? job.queuedCount : 0), 0);
			if (waiting !== pool.queuedTasks) {
				faults.add(`${processId} counts ${pool.queuedTasks} queued tasks where ${waiting} wait`);
			}
		}
	}
	system.after(100, () => {
		watchQueues(system, faults);
	});
}

/** Runs one seed and returns what it broke. */
export function runSeed(seed: number): { faults: string[]; complete: number; answers: number } {
	const random = new SeededRandom(seed);
	const entries = random.integer(2, 3);
	const system = new SimulatedSystem({
		seed,
		entries,
		agents: random.integer(2, 4),
		slots: 4,
		oneWayMs: 1,
		jitterMs: 4,
		runMs: (own) => own.integer(10, 200),
		failureShare: 0.02,
	});
	system.after(200, () => {
		submitJobs(system, random, entries);
		injectFaults(system, random);
	});
	const miscounts = new Set<string>();
	watchQueues(system, miscounts);
	system.runUntil(runMs + 6000);
	const doubled = doubleStarts(system);
	const broken = [...partialAnswers(system.answers), ...untrueRefusals(system)];
	const complete = system.answers.filter(({ answer }) => answer.status === 'complete').length;
	return { faults: [...doubled, ...broken, ...miscounts], complete, answers: system.answers.length };
}
