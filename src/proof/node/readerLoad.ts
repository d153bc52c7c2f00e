/** Generates an open load: readers submit jobs at seeded random times, independently of earlier answers. */

import { CancellationError, delay } from '../../base/common/async.js';
import { SeededRandom } from '../../base/common/random.js';
import type { ReaderAnswer, ReaderClient, ReaderJob, ReaderTarget } from './readerClient.js';

/** A route to which readers submit jobs. */
export interface LoadRoute {
	readonly route: string;
	readonly team: string;
	/** Whether the jobs carry an idempotency key. Only those are resubmitted, since jobs that are not repeatable need one. */
	readonly isKeyed: boolean;
}

/** Options of a reader load. */
export interface ReaderLoadOptions {
	readonly seed: number;
	/** Mean number of jobs per second over all entries. */
	readonly jobsPerSecond: number;
	readonly routes: readonly LoadRoute[];
	/** Number of tasks in a job; both limits are inclusive. */
	readonly tasks: { readonly least: number; readonly most: number };
	/** Run time of a task in milliseconds; both limits are inclusive. */
	readonly runMs: { readonly least: number; readonly most: number };
	readonly deadlineMs: number;
	/** Share of jobs, from 0 to 1, whose readers disconnect early; 0 by default. */
	readonly disconnectShare?: number;
	/** Maximum number of times a job with a key is resubmitted at another entry while it has no complete answer. */
	readonly resubmissions?: number;
	/** Returns the entries that a load balancer would send readers to now. */
	readonly targets: () => readonly ReaderTarget[];
}

/** Wait before a resubmission. */
const resubmissionDelayMs = 100;

/**
 * Submits jobs until it is stopped.
 *
 * @example
 * const load = new ReaderLoad(readers, options);
 * await somethingHappens();
 * const answers = await load.stop();
 */
export class ReaderLoad {
	private readonly _random: SeededRandom;
	private readonly _stopController = new AbortController();
	private readonly _openJobs = new Set<Promise<void>>();
	private readonly _answers: ReaderAnswer[] = [];
	private readonly _arrivalsEnded: Promise<void>;
	private _jobCount = 0;
	private _isAbandoned = false;

	constructor(
		private readonly _readers: ReaderClient,
		private readonly _options: ReaderLoadOptions,
	) {
		this._random = new SeededRandom(_options.seed);
		this._arrivalsEnded = this._sendJobsUntilStopped();
	}

	/** Number of jobs submitted so far. */
	get jobCount(): number {
		return this._jobCount;
	}

	/** Number of jobs without a final answer. */
	get openJobCount(): number {
		return this._openJobs.size;
	}

	/** Final answers so far. */
	get answers(): readonly ReaderAnswer[] {
		return this._answers;
	}

	/** Submits and resubmits no more jobs, without waiting for open ones. */
	stopWithoutWaiting(): void {
		this._isAbandoned = true;
		this._stopController.abort();
	}

	/** Submits no more jobs, and waits for the final answers of open ones. */
	async stop(): Promise<readonly ReaderAnswer[]> {
		this._stopController.abort();
		await this._arrivalsEnded;
		await Promise.all(this._openJobs);
		return this._answers;
	}

	private async _sendJobsUntilStopped(): Promise<void> {
		const meanGapMs = 1000 / this._options.jobsPerSecond;
		let nextArrivalMs = performance.now();
		while (!this._stopController.signal.aborted) {
			nextArrivalMs += this._random.exponential(meanGapMs);
			if (await this._sleepUntil(nextArrivalMs)) {
				this._sendJob();
			}
		}
	}

	/** Waits until a time. Returns false when the load is stopped first. */
	private async _sleepUntil(untilMs: number): Promise<boolean> {
		try {
			await delay(Math.max(0, untilMs - performance.now()), this._stopController.signal);
			return true;
		} catch (error) {
			if (error instanceof CancellationError) {
				return false;
			}
			throw error;
		}
	}

	private _sendJob(): void {
		this._jobCount += 1;
		const job = this._createJob(this._jobCount);
		const willDisconnect = this._random.next() < (this._options.disconnectShare ?? 0);
		const disconnectAfterMs = willDisconnect ? this._random.integer(1, this._options.runMs.most) : undefined;
		const submission: Promise<void> = this._submitWithRetries(job, disconnectAfterMs).finally(() => {
			this._openJobs.delete(submission);
		});
		this._openJobs.add(submission);
	}

	private _createJob(number: number): ReaderJob {
		const { seed, routes, tasks, runMs, deadlineMs } = this._options;
		const { route, team, isKeyed } = this._random.pick(routes);
		const name = `load-${seed}-${number}`;
		const count = this._random.integer(tasks.least, tasks.most);
		return {
			route,
			team,
			deadlineMs,
			...(isKeyed ? { key: name } : {}),
			tasks: Array.from({ length: count }, (_, index) => ({
				token: `${name}-${index}`,
				runMs: this._random.integer(runMs.least, runMs.most),
			})),
		};
	}

	private async _submitWithRetries(job: ReaderJob, disconnectAfterMs: number | undefined): Promise<void> {
		const signal = disconnectAfterMs === undefined ? undefined : AbortSignal.timeout(disconnectAfterMs);
		let answer = await this._readers.submit(this._pickTarget(), job, signal);
		const maxResubmissions = job.key === undefined ? 0 : (this._options.resubmissions ?? 0);
		for (
			let resubmissions = 0;
			resubmissions < maxResubmissions && isUnsuccessful(answer) && !this._isAbandoned;
			resubmissions += 1
		) {
			await delay(resubmissionDelayMs);
			if (this._options.targets().length === 0) {
				break;
			}
			answer = await this._readers.submit(this._pickTarget(answer.entry), job);
		}
		this._answers.push(answer);
	}

	/** Picks a random entry, other than the previous one when there is another. */
	private _pickTarget(previous?: string): ReaderTarget {
		const targets = this._options.targets();
		const others = targets.filter(({ name }) => name !== previous);
		return this._random.pick(others.length > 0 ? others : targets);
	}
}

function isUnsuccessful({ outcome }: ReaderAnswer): boolean {
	return outcome.kind === 'noAnswer' || outcome.kind === 'notRun' || outcome.kind === 'failed';
}
