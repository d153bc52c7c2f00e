/** Queue of one team's jobs in a pool, oldest first. */

import { DemandMeter } from './demandMeter.js';
import type { JobRow } from './jobRow.js';

/** Number of jobs, from the head of the queue on, among which a job is searched whose needs fit a worker now. */
const maxLookahead = 16;

/** A team's queued jobs in one pool, and the state by which the team is scheduled. */
export class TeamQueue {
	weight = 1;
	/** The team's demand on the pool. */
	readonly demand = new DemandMeter();
	/** Whether the team demands much more than its fair share of an overloaded pool; see `TeamOrder`. */
	isFlooding = false;
	/** Virtual time of the team, which advances by 1 / weight for each task started while the team floods. */
	virtualTime = 0;
	private readonly _jobs: JobRow[] = [];

	constructor(readonly team: string) {}

	get isEmpty(): boolean {
		return this._jobs.length === 0;
	}

	/** Arrival time of the team's oldest job with a queued task, by the entry's clock; infinite if there is none. */
	get headReceivedMs(): number {
		this._removeUnplaceableHead();
		return this._jobs[0]?.receivedMs ?? Infinity;
	}

	/** Returns the number of queued tasks. Counting stops once there are at least `limit`. */
	countQueuedTasks(limit: number): number {
		let count = 0;
		for (const job of this._jobs) {
			if (count >= limit) {
				break;
			}
			count += job.isPlaceable ? job.queuedCount : 0;
		}
		return count;
	}

	/** Adds a job. A job of which tasks were sent or searched before goes to the head of the queue. */
	push(job: JobRow): void {
		if (job.isInTeamQueue) {
			return;
		}
		job.isInTeamQueue = true;
		if (job.isUnstartedHere) {
			this._jobs.push(job);
		} else {
			this._jobs.unshift(job);
		}
	}

	/** Returns the oldest placeable job for which `canPlace` holds, among the first {@link maxLookahead} jobs. */
	findJob(canPlace: (job: JobRow) => boolean): JobRow | undefined {
		this._removeUnplaceableHead();
		const end = Math.min(maxLookahead, this._jobs.length);
		for (let index = 0; index < end; index += 1) {
			const job = this._jobs[index];
			if (job?.isPlaceable === true && canPlace(job)) {
				return job;
			}
		}
		return undefined;
	}

	private _removeUnplaceableHead(): void {
		let removedCount = 0;
		for (;;) {
			const job = this._jobs[removedCount];
			if (job === undefined || job.isPlaceable) {
				break;
			}
			job.isInTeamQueue = false;
			removedCount += 1;
		}
		if (removedCount > 0) {
			this._jobs.splice(0, removedCount);
		}
	}
}
