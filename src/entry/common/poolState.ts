/** State that this entry keeps for a pool: the operators' row, the queue, the home and learned values. */

import type { PoolRow } from '../../declarations/common/tables.js';
import type { HandOverMessage } from '../../protocol/common/entryMessages.js';
import type { JobRow } from './jobRow.js';
import { TeamQueue } from './teamQueue.js';

/** The entry that places the pool's tasks. */
export type PoolHome =
	| { readonly kind: 'self' }
	| { readonly kind: 'other'; readonly processId: string; readonly incarnation: string }
	/** No live entry is eligible as the home. */
	| { readonly kind: 'none' };

/** Period during which this entry is the home of a pool. */
export interface HomeTenure {
	readonly sinceMs: number;
	/** Process id of the earlier home, until it has reported which submissions it continues. */
	earlierHome: string | undefined;
	/** Whether shared jobs may be searched for at the workers and placed. */
	isSettled: boolean;
}

/** A hand-over and the entry that sent it. */
export interface EarlyHandOver {
	readonly from: string;
	readonly message: HandOverMessage;
}

/** Weight of the newest run time in the moving average. */
const runTimeWeight = 0.05;
/** Maximum number of retries that can accumulate in the budget. */
const maxRetryTokens = 100;

/** Assumed run time of a task before any is measured. Most tasks take 50 ms to 1 s. */
const defaultRunMs = 500;

/** This entry's state of one pool: its home, its queues by team, its mean run time and its retry budget. */
export class PoolState {
	row: PoolRow;
	home: PoolHome = { kind: 'none' };
	queuedTasks = 0;
	readonly teams = new Map<string, TeamQueue>();
	/** Virtual time of the fair queue, which advances with each started task. */
	virtualTime = 0;
	/** Virtual time of the group of all conforming teams; see teamOrder.ts. */
	conformingVirtualTime = 0;
	/** Whether a conforming team had queued tasks in the last tick. */
	hadConformingTeamsWaiting = false;
	/** Number of slots of the workers that could accept starts in the last tick. */
	slots = 1;
	meanRunMs = 0;
	runTimeSamples = 0;
	retryTokens = 10;
	/** Highest epoch sent by this entry that an agent refused as too old. */
	highestRefusedEpoch = -1;
	/** Time at which the task records of an agent were last lost, because it restarted or didn't reconnect. */
	lastStateLossMs = -Infinity;
	/** Set while this entry is the home. */
	tenure: HomeTenure | undefined;
	/** A hand-over that arrived before the directory that makes this entry the home. */
	earlyHandOver: EarlyHandOver | undefined;
	/** Process id of the earlier home that continues a submission, by submission id. */
	readonly earlierOwnerBySubmission = new Map<string, string>();

	constructor(
		readonly name: string,
		readonly firstSeenMs: number,
	) {
		this.row = createEmptyPoolRow(name);
	}

	/** Mean run time of a task, or a default before any run time was measured. */
	get expectedRunMs(): number {
		return this.runTimeSamples === 0 ? defaultRunMs : this.meanRunMs;
	}

	/** Adds a job's queued tasks to its team's queue and to the team's demand. */
	enqueueJob(job: JobRow, weight: number, nowMs: number): void {
		const { team } = job.submission;
		let queue = this.teams.get(team);
		if (queue === undefined) {
			queue = new TeamQueue(team);
			this.teams.set(team, queue);
		}
		queue.weight = weight;
		queue.demand.addWork(job.queuedCount * this.expectedRunMs, this.slots, nowMs);
		queue.push(job);
		this.queuedTasks += job.queuedCount;
	}

	/**
	 * Queues a job again after one of its tasks has come back unstarted. Does nothing unless the job is in phase
	 * `placing`; otherwise {@link enqueueJob} counts the task later.
	 */
	requeueTask(job: JobRow): void {
		if (job.phase !== 'placing') {
			return;
		}
		this.queuedTasks += 1;
		this.teams.get(job.submission.team)?.push(job);
	}

	/** Adds a measured run time to the mean. */
	recordRunTime(runMs: number): void {
		this.runTimeSamples += 1;
		const weight = Math.max(runTimeWeight, 1 / this.runTimeSamples);
		this.meanRunMs += weight * (runMs - this.meanRunMs);
	}

	/** Adds the pool's share of a retry to the budget. Call it once per start. */
	addRetryCredit(): void {
		this.retryTokens = Math.min(maxRetryTokens, this.retryTokens + this.row.retryBudgetShare);
	}

	/** Takes one retry from the budget. Returns false when the budget is used up. */
	trySpendRetry(): boolean {
		if (this.retryTokens < 1) {
			return false;
		}
		this.retryTokens -= 1;
		return true;
	}
}

/** Creates the row of a pool that jobs refer to but that the tables don't contain yet. */
export function createEmptyPoolRow(name: string): PoolRow {
	return {
		name,
		maxQueuedTasks: 0,
		retryBudgetShare: 0,
		maxEjectedShare: 0,
		spareStartsPerWorker: 0,
	};
}
