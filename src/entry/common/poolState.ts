/** What this entry keeps for a pool beside the operators' row: its queue, its home and what was learned about it. */

import type { PoolRow } from '../../declarations/common/tables.js';
import type { HandOverMessage } from '../../protocol/common/entryMessages.js';
import type { JobRow } from './jobRow.js';
import { TeamQueue } from './teamQueue.js';

/** Where tasks of the pool are placed. */
export type PoolHome =
	| { readonly kind: 'self' }
	| { readonly kind: 'other'; readonly processId: string; readonly incarnation: string }
	/** No live entry may be the home. */
	| { readonly kind: 'none' };

/** This entry's time as the home of a pool. */
export interface Tenure {
	readonly sinceMs: number;
	/** Earlier home, by process id, that has yet to say which submissions it goes on with. */
	earlierHome: string | undefined;
	/** Whether shared jobs may be searched for and placed. */
	isSettled: boolean;
}

/** A hand-over and the entry that sent it. */
export interface EarlyHandOver {
	readonly from: string;
	readonly message: HandOverMessage;
}

/** Weight of the newest run time in the learned mean. */
const runTimeWeight = 0.05;
/** Retries that may be saved up. */
const maxRetryTokens = 100;

/** Most tasks take 50 ms to a second. */
const usualRunMs = 500;

/** State of one pool. */
export class PoolState {
	row: PoolRow;
	home: PoolHome = { kind: 'none' };
	queuedTasks = 0;
	readonly teams = new Map<string, TeamQueue>();
	/** Virtual time of the fair queue: rises with the work that was started. */
	virtualTime = 0;
	/** Virtual time of the teams that don't flood, together. */
	orderlyVirtualTime = 0;
	/** Whether such a team had tasks in line in the last tick. */
	hadOrderlyWaiting = false;
	/** Slots of the workers that could take starts in the last tick. */
	slots = 1;
	meanRunMs = 0;
	runSamples = 0;
	retryTokens = 10;
	/** Highest epoch of ours that an agent refused as too old. */
	refusedEpoch = -1;
	/** When a worker's memory was last lost: its agent came back anew, or never. */
	lastLossMs = -Infinity;
	/** Present while this entry is the home. */
	tenure: Tenure | undefined;
	/** A hand-over that came before the directory that makes this entry the home. */
	earlyHandOver: EarlyHandOver | undefined;
	/** Submissions that an earlier home goes on with, by its process id. */
	readonly ownedElsewhere = new Map<string, string>();

	constructor(
		readonly name: string,
		readonly firstSeenMs: number,
	) {
		this.row = emptyRow(name);
	}

	/** Run time to expect of a task; before any was measured, that of a usual task. */
	get expectedRunMs(): number {
		return this.runSamples === 0 ? usualRunMs : this.meanRunMs;
	}

	/** Puts a job's queued tasks in line. */
	enqueue(job: JobRow, weight: number, nowMs: number): void {
		const { team } = job.submission;
		let queue = this.teams.get(team);
		if (queue === undefined) {
			queue = new TeamQueue(team);
			this.teams.set(team, queue);
		}
		queue.weight = weight;
		queue.demand.add(job.queuedCount * this.expectedRunMs, this.slots, nowMs);
		queue.push(job);
		this.queuedTasks += job.queuedCount;
	}

	/** Puts one task of a job back in line; a job that isn't in line now takes it along when it comes again. */
	requeue(job: JobRow): void {
		if (job.phase !== 'placing') {
			return;
		}
		this.queuedTasks += 1;
		this.teams.get(job.submission.team)?.push(job);
	}

	/** Learns from a measured run time. */
	noteRunTime(runMs: number): void {
		this.runSamples += 1;
		const weight = Math.max(runTimeWeight, 1 / this.runSamples);
		this.meanRunMs += weight * (runMs - this.meanRunMs);
	}

	/** Earns a share of a retry with each start. */
	earnRetry(): void {
		this.retryTokens = Math.min(maxRetryTokens, this.retryTokens + this.row.retryBudgetShare);
	}

	/** Takes a retry from the budget; false when it is used up. */
	spendRetry(): boolean {
		if (this.retryTokens < 1) {
			return false;
		}
		this.retryTokens -= 1;
		return true;
	}
}

/** A pool that jobs refer to but that the tables don't hold yet. */
export function emptyRow(name: string): PoolRow {
	return {
		name,
		maxQueuedTasks: 0,
		retryBudgetShare: 0,
		maxEjectedShare: 0,
		spareStartsPerWorker: 0,
	};
}
