/** Readers who come by themselves, at seeded random times, and don't wait for each other. */

import { CancellationError, delay } from '../../base/common/async.js';
import { SeededRandom } from '../../base/common/random.js';
import type { ReaderAnswer, ReaderClient, ReaderJob, ReaderTarget } from './readerClient.js';

/** A kind of job that readers send. */
export interface LoadRoute {
	readonly route: string;
	readonly team: string;
	/** Whether the jobs carry a key; jobs that are not repeatable need one to be resubmitted. */
	readonly isKeyed: boolean;
}

/** How readers behave. */
export interface ReaderLoadOptions {
	readonly seed: number;
	/** Jobs a second, over all entries. */
	readonly jobsPerSecond: number;
	readonly routes: readonly LoadRoute[];
	/** Tasks of a job, both included. */
	readonly tasks: { readonly least: number; readonly most: number };
	/** Run time of a task, both included. */
	readonly runMs: { readonly least: number; readonly most: number };
	readonly deadlineMs: number;
	/** Share of readers who go away before they have an answer. */
	readonly leavingShare?: number;
	/** How often a reader with a key comes again, at another entry, when it has no whole answer. */
	readonly resubmissions?: number;
	/** Entries that the balancer would send readers to now. */
	readonly targets: () => readonly ReaderTarget[];
}

/** Wait before a reader comes again. */
const resubmitWaitMs = 100;

/**
 * Sends jobs until it is stopped.
 *
 * @example
 * const load = new ReaderLoad(readers, options);
 * await somethingHappens();
 * const answers = await load.stop();
 */
export class ReaderLoad {
	private readonly _random: SeededRandom;
	private readonly _stopped = new AbortController();
	private readonly _open = new Set<Promise<void>>();
	private readonly _answers: ReaderAnswer[] = [];
	private readonly _arrivals: Promise<void>;
	private _jobCount = 0;
	private _isAbandoned = false;

	constructor(
		private readonly _readers: ReaderClient,
		private readonly _options: ReaderLoadOptions,
	) {
		this._random = new SeededRandom(_options.seed);
		this._arrivals = this._arrive();
	}

	/** Jobs sent so far. */
	get jobCount(): number {
		return this._jobCount;
	}

	/** Jobs that have no last answer yet. */
	get openCount(): number {
		return this._open.size;
	}

	/** Last answers so far. */
	get answers(): readonly ReaderAnswer[] {
		return this._answers;
	}

	/** Sends nothing more, and lets what is open end by itself. */
	abandon(): void {
		this._isAbandoned = true;
		this._stopped.abort();
	}

	/** Sends no more jobs and waits for the answers of those that are open. */
	async stop(): Promise<readonly ReaderAnswer[]> {
		this._stopped.abort();
		await this._arrivals;
		await Promise.all(this._open);
		return this._answers;
	}

	private async _arrive(): Promise<void> {
		const meanGapMs = 1000 / this._options.jobsPerSecond;
		let dueMs = performance.now();
		while (!this._stopped.signal.aborted) {
			dueMs += this._random.exponential(meanGapMs);
			if (await this._sleepUntil(dueMs)) {
				this._send();
			}
		}
	}

	/** Returns false when the load was stopped meanwhile. */
	private async _sleepUntil(dueMs: number): Promise<boolean> {
		try {
			await delay(Math.max(0, dueMs - performance.now()), this._stopped.signal);
			return true;
		} catch (error) {
			if (error instanceof CancellationError) {
				return false;
			}
			throw error;
		}
	}

	private _send(): void {
		this._jobCount += 1;
		const job = this._createJob(this._jobCount);
		const isLeaving = this._random.next() < (this._options.leavingShare ?? 0);
		const leaveAfterMs = isLeaving ? this._random.integer(1, this._options.runMs.most) : undefined;
		const sent: Promise<void> = this._submit(job, leaveAfterMs).finally(() => {
			this._open.delete(sent);
		});
		this._open.add(sent);
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

	private async _submit(job: ReaderJob, leaveAfterMs: number | undefined): Promise<void> {
		const signal = leaveAfterMs === undefined ? undefined : AbortSignal.timeout(leaveAfterMs);
		let answer = await this._readers.submit(this._pickTarget(), job, signal);
		const most = job.key === undefined ? 0 : (this._options.resubmissions ?? 0);
		for (let again = 0; again < most && isLost(answer) && !this._isAbandoned; again += 1) {
			await delay(resubmitWaitMs);
			if (this._options.targets().length === 0) {
				break;
			}
			answer = await this._readers.submit(this._pickTarget(answer.entry), job);
		}
		this._answers.push(answer);
	}

	/** An entry other than the one that a reader has just left, where there is one. */
	private _pickTarget(previous?: string): ReaderTarget {
		const targets = this._options.targets();
		const others = targets.filter(({ name }) => name !== previous);
		return this._random.pick(others.length > 0 ? others : targets);
	}
}

function isLost({ outcome }: ReaderAnswer): boolean {
	return outcome.kind === 'noAnswer' || outcome.kind === 'notRun' || outcome.kind === 'failed';
}
