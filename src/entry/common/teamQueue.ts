/** One team's jobs that wait in a pool's queue, oldest first. */

import { DemandMeter } from './demandMeter.js';
import type { JobRow } from './jobRow.js';

/** Jobs that a team's head may be passed by when its needs fit no worker now. */
const maxLookahead = 16;

/** Queue of one team in one pool. */
export class TeamQueue {
	weight = 1;
	/** Work that the team asks of the pool. */
	readonly demand = new DemandMeter();
	/** Whether the team was found to flood the pool; see `TeamOrder`. */
	isFlooding = false;
	/** Tasks that were started for the team while it flooded, over its weight. */
	virtualTime = 0;
	private readonly _jobs: JobRow[] = [];

	constructor(readonly team: string) {}

	get isEmpty(): boolean {
		return this._jobs.length === 0;
	}

	/** When the team's oldest job with a task in line arrived, by the entry's clock. */
	get headReceivedMs(): number {
		this._dropHead();
		return this._jobs[0]?.receivedMs ?? Infinity;
	}

	/** Tasks in line, counted until there are as many as `limit`. */
	countTasks(limit: number): number {
		let count = 0;
		for (const job of this._jobs) {
			if (count >= limit) {
				break;
			}
			count += job.isPlaceable ? job.queuedCount : 0;
		}
		return count;
	}

	/** Adds a job; one of which tasks came back goes first. */
	push(job: JobRow): void {
		if (job.isInLine) {
			return;
		}
		job.isInLine = true;
		if (job.isUntouched) {
			this._jobs.push(job);
		} else {
			this._jobs.unshift(job);
		}
	}

	/** The oldest job with a queued task for which `isPossible` holds; one that needs much may be passed by a few. */
	firstPossible(isPossible: (job: JobRow) => boolean): JobRow | undefined {
		this._dropHead();
		const end = Math.min(maxLookahead, this._jobs.length);
		for (let index = 0; index < end; index += 1) {
			const job = this._jobs[index];
			if (job?.isPlaceable === true && isPossible(job)) {
				return job;
			}
		}
		return undefined;
	}

	private _dropHead(): void {
		let passed = 0;
		for (;;) {
			const job = this._jobs[passed];
			if (job === undefined || job.isPlaceable) {
				break;
			}
			job.isInLine = false;
			passed += 1;
		}
		if (passed > 0) {
			this._jobs.splice(0, passed);
		}
	}
}
