/** A job and its tasks. Each property of the tasks is an array, indexed by the task's position in the request. */

import type { HomeTenure } from './poolState.js';
import type { ScheduledDeadline } from './deadlineQueue.js';
import type { EntryRun } from '../../protocol/common/agentMessages.js';
import type { JobAnswer, JobSubmission, RefusalReason } from '../../protocol/common/jobs.js';

/** State of a task, as far as this entry knows. */
export type TaskState =
	| 'queued'
	/** Sent to a worker, which has not reported the outcome yet. */
	| 'sent'
	/** Sent on a connection that has been lost; the worker has been, or will be, asked about the task. */
	| 'inDoubt'
	/** Possibly started by an earlier home; every worker of the pool that may know of the task has been asked. */
	| 'searched'
	| 'done'
	| 'failed'
	| 'stopped'
	/** Certainly not started, and never will be. */
	| 'neverStarted'
	/** It can no longer be determined whether the task ran. */
	| 'unknown';

/** Phase of a job. */
export type JobPhase =
	/** Has just arrived and is in no queue. */
	| 'arriving'
	/** Waits until this entry, as the new home, knows its workers and the jobs that the earlier home continues. */
	| 'settling'
	/** Waits for a connection to the pool's home. */
	| 'waitingForHome'
	/** Waits for the keepers' answer to the job's claim. */
	| 'claiming'
	/** Continues at this entry once the pool's new home has agreed. */
	| 'handingOver'
	/** Its tasks are placed by this entry. */
	| 'placing'
	/** Relayed to the pool's home. */
	| 'relayed'
	| 'answered';

/** The refusal that a job is answered with if none of its tasks has started. */
export interface PendingRefusal {
	readonly reason: RefusalReason;
	readonly message: string;
	readonly retryAfterMs?: number | undefined;
}

/** A reader connected to this entry that waits for a job. */
export interface LocalReader {
	readonly readerId: number;
	readonly jobId: string;
}

/** The session on which a job was relayed, and the entry at its other end. */
export interface RelayTarget {
	readonly processId: string;
	readonly incarnation: string;
	readonly sessionId: number;
}

/** State of one open job. */
export class JobRow {
	phase: JobPhase = 'arriving';
	readonly readers: LocalReader[] = [];
	/** Process ids of the entries that relayed the job here. */
	readonly relayingEntries = new Set<string>();
	/** Run of the entry to which an agent has sent the answer directly. */
	answeredEntry: EntryRun | undefined;
	readonly taskStates: TaskState[];
	/** Process id of the worker that each task was last sent to. */
	readonly taskWorkerIds: (string | undefined)[];
	readonly resultsJson: string[];
	/** Tasks that came back without having started; they are placed before those from {@link nextTaskIndex} on. */
	readonly returnedTasks: number[] = [];
	nextTaskIndex = 0;
	/** Whether the pool's workers were ever asked which tasks of the job an earlier home has started. */
	hasBeenSearched = false;
	/** This entry's tenure as home in which the workers were last asked. */
	searchTenure: HomeTenure | undefined;
	/** Number of workers that have not yet answered that they don't know the task, by task. */
	pendingSearchAnswers: number[] = [];
	/** How often each task came back without having started; absent for 0. */
	private readonly _returnCounts = new Map<number, number>();
	/** Number of tasks that wait to be placed. */
	queuedCount: number;
	/** Number of tasks that are sent, in doubt or searched. */
	openCount = 0;
	doneCount = 0;
	failedCount = 0;
	unknownCount = 0;
	/** Whether the job is in its team's queue. */
	isInTeamQueue = false;
	/** Whether its tasks count against the route's limit. */
	isAdmitted = false;
	/** Refusal to answer with if no task has started; set once no further task may start. */
	stopRefusal: PendingRefusal | undefined;
	firstFailureMessage: string | undefined;
	/** Owner incarnation under which the job's claim was requested; absent before the request. */
	claimOwnerIncarnation: string | undefined;
	/** Whether the keepers granted the claim, or may have done so. */
	mayHoldClaim = false;
	/** Time since which the job has had no reachable home, and the earliest time of the next routing attempt. */
	withoutHomeSinceMs: number | undefined;
	nextRoutingMs = 0;
	/** Session of the home or owner to which the job was relayed. */
	relayedTo: RelayTarget | undefined;
	/** Whether another entry may have started tasks of the job. */
	mayHaveStarted: boolean;
	/** Earliest time, by this entry's clock, at which another entry may have started tasks of the job. */
	relayedSinceMs: number | undefined;
	/** Time at which the current phase began. */
	phaseSinceMs: number;
	answer: JobAnswer | undefined;
	scheduledDeadline: ScheduledDeadline | undefined;

	constructor(
		readonly submission: JobSubmission,
		readonly pool: string,
		readonly receivedMs: number,
	) {
		const count = submission.payloadsJson.length;
		this.taskStates = new Array<TaskState>(count).fill('queued');
		this.taskWorkerIds = new Array<string | undefined>(count).fill(undefined);
		this.resultsJson = new Array<string>(count).fill('');
		this.queuedCount = count;
		this.mayHaveStarted = submission.mayHaveStarted === true;
		this.phaseSinceMs = receivedMs;
		if (this.mayHaveStarted) {
			this.relayedSinceMs = receivedMs - (submission.ageMs ?? Infinity);
		}
	}

	get submissionId(): string {
		return this.submission.submissionId;
	}

	get taskCount(): number {
		return this.taskStates.length;
	}

	get deadlineMs(): number {
		return this.receivedMs + this.submission.remainingMs;
	}

	/** Whether the job has tasks that wait for a worker at this entry. */
	get isPlaceable(): boolean {
		return this.phase === 'placing' && this.queuedCount > 0;
	}

	/** Whether every task of the job is either queued or never started. */
	get isUnstartedHere(): boolean {
		return this.openCount + this.doneCount + this.failedCount + this.unknownCount === 0;
	}

	/** Whether another entry may hold the same submission. If so, only the pool's home may start its tasks. */
	get isShared(): boolean {
		return this.submission.isKeyed || this.relayingEntries.size > 0 || this.mayHaveStarted;
	}

	/** Whether an entry that becomes the home may get the same submission without a hand-over from this entry. */
	get mayBeHeldElsewhere(): boolean {
		return this.submission.isKeyed || this.mayHaveStarted || this.hasBeenSearched;
	}

	/** Moves the job to another phase and records the time. */
	enterPhase(phase: JobPhase, nowMs: number): void {
		this.phase = phase;
		this.phaseSinceMs = nowMs;
	}

	/** Returns a searched task to the queue after it has become certain that no earlier home started it. */
	requeueSearchedTask(taskIndex: number): void {
		this.taskStates[taskIndex] = 'queued';
		this.returnedTasks.push(taskIndex);
		this.openCount -= 1;
		this.queuedCount += 1;
	}

	/** Returns how often a task was sent and came back without having started. */
	returnCountOf(taskIndex: number): number {
		return this._returnCounts.get(taskIndex) ?? 0;
	}

	/** Returns the index of the next task to place, without removing it from the queue. */
	peekTask(): number | undefined {
		const lastReturned = this.returnedTasks.at(-1);
		if (lastReturned !== undefined) {
			return lastReturned;
		}
		this._skipPlacedTasks();
		return this.nextTaskIndex < this.taskCount ? this.nextTaskIndex : undefined;
	}

	/** Marks a queued task as sent to a worker. */
	markSent(taskIndex: number, workerId: string): void {
		if (this.returnedTasks.at(-1) === taskIndex) {
			this.returnedTasks.pop();
		}
		this.taskStates[taskIndex] = 'sent';
		this.taskWorkerIds[taskIndex] = workerId;
		this.queuedCount -= 1;
		this.openCount += 1;
	}

	/** Sets every task that this entry has not started to `searched`. Returns the indexes of those tasks. */
	markUnstartedAsSearched(askedWorkers: number): number[] {
		const searched: number[] = [];
		for (const [taskIndex, state] of this.taskStates.entries()) {
			if (state === 'queued' || state === 'searched') {
				this.taskStates[taskIndex] = 'searched';
				this.pendingSearchAnswers[taskIndex] = askedWorkers;
				searched.push(taskIndex);
			}
		}
		this.openCount += this.queuedCount;
		this.queuedCount = 0;
		this.returnedTasks.length = 0;
		return searched;
	}

	/** Records that a worker doesn't know a searched task. Returns whether it was the last worker to answer. */
	recordSearchMiss(taskIndex: number): boolean {
		const left = (this.pendingSearchAnswers[taskIndex] ?? 0) - 1;
		this.pendingSearchAnswers[taskIndex] = left;
		return left === 0;
	}

	/** Returns an open task that has certainly not started to the queue. */
	returnToQueue(taskIndex: number): void {
		this.taskStates[taskIndex] = 'queued';
		this.taskWorkerIds[taskIndex] = undefined;
		this.returnedTasks.push(taskIndex);
		this._returnCounts.set(taskIndex, this.returnCountOf(taskIndex) + 1);
		this.openCount -= 1;
		this.queuedCount += 1;
	}

	/** Marks every task that is still queued as never started. Returns the number of those tasks. */
	dropQueuedTasks(): number {
		const dropped = this.queuedCount;
		for (let index = 0; dropped > 0 && index < this.taskCount; index += 1) {
			if (this.taskStates[index] === 'queued') {
				this.taskStates[index] = 'neverStarted';
			}
		}
		this.returnedTasks.length = 0;
		this.nextTaskIndex = this.taskCount;
		this.queuedCount = 0;
		return dropped;
	}

	private _skipPlacedTasks(): void {
		while (this.nextTaskIndex < this.taskCount && this.taskStates[this.nextTaskIndex] !== 'queued') {
			this.nextTaskIndex += 1;
		}
	}
}
