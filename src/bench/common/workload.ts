/** Seeded open-loop arrivals: when each job comes, whose it is, and how long its tasks run. */

import { SeededRandom } from '../../base/common/random.js';

/** What is special about a run. */
export type ScenarioName =
	| 'steady'
	| 'burst'
	| 'stragglers'
	| 'failing-worker'
	| 'cancel-wave'
	| 'wrong-declarations'
	| 'team-flood'
	| 'worker-deaths';

/** Names of all scenarios. */
export const scenarioNames: readonly ScenarioName[] = [
	'steady',
	'burst',
	'stragglers',
	'failing-worker',
	'cancel-wave',
	'wrong-declarations',
	'team-flood',
	'worker-deaths',
];

/** One job that a reader sends. */
export interface ArrivingJob {
	readonly jobIndex: number;
	/** Time since the start of the run. */
	readonly arriveMs: number;
	readonly team: string;
	/** True run time of each task. */
	readonly runMs: readonly number[];
	/** Cores that the job declares for each task; may be far off. */
	readonly declaredCores: number;
	/** When the reader gives up; absent when it waits. */
	readonly cancelMs?: number | undefined;
	/** Whether the job belongs to the team that floods. */
	readonly isFlood: boolean;
	/** Whether the job has an idempotency key. */
	readonly isKeyed: boolean;
}

/** What the arrivals depend on. */
export interface WorkloadOptions {
	readonly scenario: ScenarioName;
	/** Offered work as a share of what the slots can do. */
	readonly load: number;
	readonly slots: number;
	readonly durationMs: number;
	readonly seed: number;
	/** Share of the jobs, from 0 to 1, that have an idempotency key. */
	readonly keyedShare: number;
}

/** Share of the jobs that have an idempotency key, unless another is asked for. */
export const defaultKeyedShare = 0.2;

const shortTaskMs = { low: 50, high: 1000 } as const;
const longTaskMs = { low: 2000, high: 6000 } as const;
const longTaskShare = 0.03;
const maxTasksPerJob = 120;
const teams = ['north', 'south', 'east', 'west'] as const;
const floodTeam = 'flood';
/** Work of the flooding team as a share of what the slots can do. */
const floodLoad = 1.5;
const burstPeriodMs = 10_000;
const burstLengthMs = 1000;
/** Arrival rate within a burst over the mean rate; the rest of the period makes up for it. */
const burstFactor = 3;
const cancelPeriodMs = 8000;
const cancelShare = 0.4;
const maxDeclaredCores = 16;

/** Sizes of jobs: each class has a share of the jobs and a range of tasks. */
const jobSizeClasses = [
	{ share: 0.6, low: 1, high: 1 },
	{ share: 0.3, low: 2, high: 8 },
	{ share: 0.09, low: 9, high: 40 },
	{ share: 0.01, low: 41, high: maxTasksPerJob },
] as const;

const meanTasksPerJob = jobSizeClasses.reduce(
	(sum, size) => sum + size.share * ((size.low + size.high) / 2),
	0,
);

const meanTaskMs =
	((1 - longTaskShare) * (shortTaskMs.low + shortTaskMs.high)) / 2 +
	(longTaskShare * (longTaskMs.low + longTaskMs.high)) / 2;

/**
 * Draws the arrivals of a run; equal options give equal arrivals.
 *
 * @returns jobs in order of arrival
 * @example
 * const jobs = drawArrivals({ scenario: 'steady', load: 0.8, slots: 88, durationMs: 30_000, seed: 1, keyedShare: 0.2 });
 */
export function drawArrivals(options: WorkloadOptions): ArrivingJob[] {
	const random = new SeededRandom(options.seed);
	const regular = drawStream(options, random, options.load, false);
	const flood = options.scenario === 'team-flood' ? drawStream(options, random, floodLoad, true) : [];
	const jobs = [...regular, ...flood].sort((a, b) => a.arriveMs - b.arriveMs);
	// Keys are drawn by themselves, so that their share leaves the arrivals as they are.
	const keyRandom = new SeededRandom(options.seed + 1);
	return jobs.map((job, jobIndex) => ({
		...job,
		jobIndex,
		isKeyed: keyRandom.next() < options.keyedShare,
	}));
}

function drawStream(
	options: WorkloadOptions,
	random: SeededRandom,
	load: number,
	isFlood: boolean,
): ArrivingJob[] {
	const jobsPerMs = (load * options.slots) / (meanTaskMs * meanTasksPerJob);
	const jobs: ArrivingJob[] = [];
	let atMs = 0;
	for (;;) {
		// Thinning of a stream at the highest rate keeps arrivals Poisson while the rate changes.
		atMs += random.exponential(1 / (jobsPerMs * highestRateFactor(options.scenario)));
		if (atMs >= options.durationMs) {
			return jobs;
		}
		const keepShare = rateFactor(options.scenario, atMs) / highestRateFactor(options.scenario);
		if (random.next() < keepShare) {
			jobs.push(drawJob(options.scenario, random, atMs, isFlood));
		}
	}
}

function drawJob(
	scenario: ScenarioName,
	random: SeededRandom,
	arriveMs: number,
	isFlood: boolean,
): ArrivingJob {
	const taskCount = drawTaskCount(random);
	const runMs = Array.from({ length: taskCount }, () => drawTaskMs(random));
	return {
		jobIndex: 0,
		arriveMs,
		team: isFlood ? floodTeam : random.pick(teams),
		runMs,
		declaredCores: scenario === 'wrong-declarations' ? random.integer(0, maxDeclaredCores) : 1,
		cancelMs: drawCancelMs(scenario, random, arriveMs),
		isFlood,
		isKeyed: false,
	};
}

function drawTaskCount(random: SeededRandom): number {
	let point = random.next();
	for (const size of jobSizeClasses) {
		if (point < size.share) {
			return random.integer(size.low, size.high);
		}
		point -= size.share;
	}
	return 1;
}

function drawTaskMs(random: SeededRandom): number {
	const range = random.next() < longTaskShare ? longTaskMs : shortTaskMs;
	return random.integer(range.low, range.high);
}

/** In a cancel wave, a share of the readers of the last second give up at the same moment. */
function drawCancelMs(scenario: ScenarioName, random: SeededRandom, arriveMs: number): number | undefined {
	if (scenario !== 'cancel-wave') {
		return undefined;
	}
	const waveMs = Math.ceil(arriveMs / cancelPeriodMs) * cancelPeriodMs;
	const isNearWave = waveMs - arriveMs < 1000;
	return isNearWave && random.next() < cancelShare ? waveMs : undefined;
}

function highestRateFactor(scenario: ScenarioName): number {
	return scenario === 'burst' ? burstFactor : 1;
}

function rateFactor(scenario: ScenarioName, atMs: number): number {
	if (scenario !== 'burst') {
		return 1;
	}
	const isInBurst = atMs % burstPeriodMs < burstLengthMs;
	const quietFactor = (burstPeriodMs - burstFactor * burstLengthMs) / (burstPeriodMs - burstLengthMs);
	return isInBurst ? burstFactor : quietFactor;
}
