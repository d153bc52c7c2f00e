/** One team's jobs that wait in a pool's queue, oldest first. */

import type { JobRow } from './jobRow.js';

/** Jobs that a team's head may be passed by when its needs fit no worker now. */
const maxLookahead = 16;

/** Queue of one team in one pool. */
export class TeamQueue {
	weight = 1;
	/** Virtual time at which the team's next task is due; the team with the least is served first. */
	virtualTime = 0;
	private readonly _jobs: JobRow[] = [];

	constructor(readonly team: string) {}

	get isEmpty(): boolean {
		return this._jobs.length === 0;
	}

	/** Adds a job; one of which tasks came back goes first. A team that was idle starts at the pool's virtual time: idling earns no credit. */
	push(job: JobRow, poolVirtualTime: number): void {
		if (this.isEmpty) {
			this.virtualTime = Math.max(this.virtualTime, poolVirtualTime);
		}
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

	/** When the oldest job that waits came in; infinite when none waits. */
	get oldestMs(): number {
		this._dropHead();
		return this._jobs[0]?.receivedMs ?? Infinity;
	}

	/** Takes account of one started task. */
	charge(): void {
		this.virtualTime += 1 / this.weight;
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
