/** A job and its tasks. Tasks are columns of their job's row, indexed by the task's place in the reader's order. */

import type { Tenure } from './poolState.js';
import type { DeadlineWatch } from './deadlineQueue.js';
import type { EntryRun } from '../../protocol/common/agentMessages.js';
import type { JobAnswer, JobSubmission, RefusalReason } from '../../protocol/common/jobs.js';

/** Where a task stands, as far as this entry knows. */
export type TaskState =
	| 'queued'
	/** Sent to a worker, and not answered yet. */
	| 'sent'
	/** Sent on a connection that broke; its worker has been, or will be, asked. */
	| 'inDoubt'
	/** Perhaps started by an earlier home; every worker of the pool has been asked. */
	| 'searched'
	| 'done'
	| 'failed'
	| 'stopped'
	/** Surely not started, and never will be. */
	| 'neverStarted'
	/** Nobody can tell any more whether it ran. */
	| 'unknown';

/** Where a job stands. */
export type JobPhase =
	/** Has just come, and isn't in line anywhere. */
	| 'arriving'
	/** Waits until a new home knows its workers and what the earlier home goes on with. */
	| 'settling'
	/** Waits for a connection to the pool's home. */
	| 'waitingForHome'
	/** Waits for the keepers' answer to its claim. */
	| 'claiming'
	/** Goes on here once the pool's new home leaves it to this entry. */
	| 'handingOver'
	/** Tasks are placed by this entry. */
	| 'placing'
	/** Handed to the pool's home. */
	| 'relayed'
	| 'answered';

/** A refusal that holds if none of the job's tasks has started. */
export interface PendingRefusal {
	readonly reason: RefusalReason;
	readonly message: string;
	readonly retryAfterMs?: number | undefined;
}

/** A reader at this entry. */
export interface LocalReader {
	readonly readerId: number;
	readonly jobId: string;
}

/** The session on which a job was relayed to its home. */
export interface RelayTarget {
	readonly processId: string;
	readonly incarnation: string;
	readonly sessionId: number;
}

/** One job. */
export class JobRow {
	phase: JobPhase = 'arriving';
	readonly readers: LocalReader[] = [];
	/** Entries that relayed the job here, by process id. */
	readonly relayers = new Set<string>();
	/** Entry that an agent has answered. */
	answeredEntry: EntryRun | undefined;
	readonly states: TaskState[];
	/** Worker, by process id, that each task was last sent to. */
	readonly workerIds: (string | undefined)[];
	readonly resultsJson: string[];
	/** Tasks to place before those from {@link nextIndex} on: they came back unstarted. */
	readonly returned: number[] = [];
	nextIndex = 0;
	/** Whether the pool's workers were ever asked what an earlier home has started. */
	hasBeenSearched = false;
	/** This entry's tenure as home in which they were asked last. */
	searchedUnder: Tenure | undefined;
	/** Workers that have yet to say that they never heard of a task. */
	pendingSearches: number[] = [];
	/** Times that tasks were returned, by task; absent for 0. */
	private readonly _returns = new Map<number, number>();
	/** Tasks that wait to be placed. */
	queuedCount: number;
	/** Tasks that are sent, in doubt or searched. */
	openCount = 0;
	doneCount = 0;
	failedCount = 0;
	unknownCount = 0;
	/** Whether the job is in its team's queue. */
	isInLine = false;
	/** Whether its tasks count against the route's limit. */
	isAdmitted = false;
	/** Set once no further task may start. */
	stop: PendingRefusal | undefined;
	firstFailure: string | undefined;
	/** Owner of the job's claim, once it was asked for. */
	claimOwner: string | undefined;
	/** Whether the keepers granted the claim, or may have done so. */
	isClaimed = false;
	/** Since when the job has had no home to go to, and when to look for one again. */
	homelessSinceMs: number | undefined;
	routeAgainMs = 0;
	/** Home that the job was relayed to. */
	relayedTo: RelayTarget | undefined;
	/** Whether a relay may have reached an earlier home that has not answered. */
	mayHaveStarted: boolean;
	/** When the job was first handed to a home that may have started it, by this entry's clock. */
	relayedSinceMs: number | undefined;
	/** When the present phase began. */
	phaseSinceMs: number;
	answer: JobAnswer | undefined;
	deadlineWatch: DeadlineWatch | undefined;

	constructor(
		readonly submission: JobSubmission,
		readonly pool: string,
		readonly receivedMs: number,
	) {
		const count = submission.payloadsJson.length;
		this.states = new Array<TaskState>(count).fill('queued');
		this.workerIds = new Array<string | undefined>(count).fill(undefined);
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
		return this.states.length;
	}

	get deadlineMs(): number {
		return this.receivedMs + this.submission.remainingMs;
	}

	/** Whether a task of the job waits for a worker at this entry. */
	get isPlaceable(): boolean {
		return this.phase === 'placing' && this.queuedCount > 0;
	}

	/** Whether no task of the job is, or may have been, started by this entry. */
	get isUntouched(): boolean {
		return this.openCount + this.doneCount + this.failedCount + this.unknownCount === 0;
	}

	/** Whether another entry may hold the same submission: then only the pool's home may start its tasks. */
	get isShared(): boolean {
		return this.submission.isKeyed || this.relayers.size > 0 || this.mayHaveStarted;
	}

	/** Whether an entry that becomes the home may come to hold the same submission by itself. */
	get mayBeHeldElsewhere(): boolean {
		return this.submission.isKeyed || this.mayHaveStarted || this.hasBeenSearched;
	}

	/** Moves the job to another phase. */
	enter(phase: JobPhase, nowMs: number): void {
		this.phase = phase;
		this.phaseSinceMs = nowMs;
	}

	/** Puts a task that surely has not started by an earlier home in line. */
	releaseSearched(taskIndex: number): void {
		this.states[taskIndex] = 'queued';
		this.returned.push(taskIndex);
		this.openCount -= 1;
		this.queuedCount += 1;
	}

	/** Times that a task was sent and came back unstarted. */
	returnsOf(taskIndex: number): number {
		return this._returns.get(taskIndex) ?? 0;
	}

	/** Returns the next task to place without taking it. */
	peekTask(): number | undefined {
		const returned = this.returned.at(-1);
		if (returned !== undefined) {
			return returned;
		}
		this._skipPlaced();
		return this.nextIndex < this.taskCount ? this.nextIndex : undefined;
	}

	/** Marks a queued task as sent to a worker. */
	markSent(taskIndex: number, workerId: string): void {
		if (this.returned.at(-1) === taskIndex) {
			this.returned.pop();
		}
		this.states[taskIndex] = 'sent';
		this.workerIds[taskIndex] = workerId;
		this.queuedCount -= 1;
		this.openCount += 1;
	}

	/** Marks every task that this entry has not started as one that some workers are asked about. Returns them. */
	markSearched(askedWorkers: number): number[] {
		const searched: number[] = [];
		for (const [taskIndex, state] of this.states.entries()) {
			if (state === 'queued' || state === 'searched') {
				this.states[taskIndex] = 'searched';
				this.pendingSearches[taskIndex] = askedWorkers;
				searched.push(taskIndex);
			}
		}
		this.openCount += this.queuedCount;
		this.queuedCount = 0;
		this.returned.length = 0;
		return searched;
	}

	/** Takes account of a worker that never heard of a searched task. Returns whether it was the last one. */
	clearSearch(taskIndex: number): boolean {
		const left = (this.pendingSearches[taskIndex] ?? 0) - 1;
		this.pendingSearches[taskIndex] = left;
		return left === 0;
	}

	/** Puts an open task, which surely has not started, back in line. */
	returnToQueue(taskIndex: number): void {
		this.states[taskIndex] = 'queued';
		this.workerIds[taskIndex] = undefined;
		this.returned.push(taskIndex);
		this._returns.set(taskIndex, this.returnsOf(taskIndex) + 1);
		this.openCount -= 1;
		this.queuedCount += 1;
	}

	/** Drops every task that is still queued. Returns how many were dropped. */
	dropQueued(): number {
		const dropped = this.queuedCount;
		for (let index = 0; dropped > 0 && index < this.taskCount; index += 1) {
			if (this.states[index] === 'queued') {
				this.states[index] = 'neverStarted';
			}
		}
		this.returned.length = 0;
		this.nextIndex = this.taskCount;
		this.queuedCount = 0;
		return dropped;
	}

	private _skipPlaced(): void {
		while (this.nextIndex < this.taskCount && this.states[this.nextIndex] !== 'queued') {
			this.nextIndex += 1;
		}
	}
}
