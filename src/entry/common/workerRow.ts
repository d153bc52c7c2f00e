/** A worker as this entry sees it: its agent's session, its offer, and the tasks that this entry sent it. */

import type { KnownTask, UpstreamOffer } from '../../protocol/common/agentMessages.js';
import type { TaskIdentity, TaskNeeds } from '../../protocol/common/jobs.js';
import type { JobRow } from './jobRow.js';
import type { Tenure } from './poolState.js';
import { WorkerHealth } from './workerHealth.js';

/** A task that this entry sent to a worker and whose end it has not heard. */
export interface AssignedTask extends TaskIdentity {
	readonly job: JobRow;
	readonly sentMs: number;
	readonly epoch: number;
	/** Number of the placement; an agent takes a task again that it fenced only under a greater one. */
	readonly attempt: number;
}

/** A task of an earlier home that a worker was asked about. */
export interface SearchedTask extends AssignedTask {
	/** Questions on the present session that were not answered; the answer to the last one counts. */
	unanswered: number;
}

/** Tasks that other entries sent to a worker; this entry doesn't hear of their end. */
interface ForeignTasks {
	readonly count: number;
	readonly untilMs: number;
}

/** One run of an agent, with the upstream beside it. */
export class WorkerRow {
	/** The agent's newest connection; absent while it is lost. */
	sessionId: number | undefined;
	offer: UpstreamOffer | undefined;
	dataCentre = '';
	rack = '';
	isLeaving = false;
	/** Whether the operators' table drains the agent. */
	isDrained = false;
	lostAtMs: number | undefined;
	/** Until when nothing is sent, after the worker's queue was full. */
	pausedUntilMs = 0;
	readonly assigned = new Map<string, AssignedTask>();
	/** Tasks of earlier homes that the worker was asked about and has not answered. */
	readonly searched = new Map<string, SearchedTask>();
	/** Tenure and epoch of the last question of that kind. */
	askedUnder: { readonly tenure: Tenure; readonly epoch: number } | undefined;
	/** Tenure under which the agent said what it knows, and refuses the starts of earlier homes. */
	clearedUnder: Tenure | undefined;
	/** Submissions that the agent knew of then. */
	knownSubmissions: ReadonlySet<string> = new Set();
	/** Outcomes to acknowledge, and when the oldest arrived. */
	unacknowledged: TaskIdentity[] = [];
	unacknowledgedSinceMs = 0;
	/** Load that the agent told, of all entries together. */
	reportedLoad = 0;
	readonly health = new WorkerHealth();
	private _foreign: ForeignTasks = { count: 0, untilMs: 0 };
	private _usedCores = 0;
	private _usedMemoryBytes = 0;
	private _usedAccelerators = 0;

	constructor(
		readonly processId: string,
		readonly incarnation: string,
	) {}

	/** Name of the pool that the worker serves now. */
	get pool(): string | undefined {
		return this.offer?.pool;
	}

	/** Whether new starts may be sent at all. */
	canStart(nowMs: number): boolean {
		return (
			this.sessionId !== undefined &&
			this.offer !== undefined &&
			!this.isLeaving &&
			!this.isDrained &&
			nowMs >= this.pausedUntilMs
		);
	}

	/** Slots that are free as far as this entry knows; negative when starts wait at the worker. */
	freeSlots(nowMs: number): number {
		const foreign = nowMs < this._foreign.untilMs ? this._foreign.count : 0;
		return (this.offer?.slots ?? 0) - this.assigned.size - foreign;
	}

	/** Whether an idle worker of this kind could hold a task. */
	couldEverFit(needs: TaskNeeds): boolean {
		const { offer } = this;
		return (
			offer !== undefined &&
			offer.cores >= needs.cores &&
			offer.memoryBytes >= needs.memoryBytes &&
			offer.accelerators >= needs.accelerators
		);
	}

	/** Whether a task fits beside those that are assigned. */
	fitsNow(needs: TaskNeeds): boolean {
		const { offer } = this;
		return (
			offer !== undefined &&
			offer.cores - this._usedCores >= needs.cores &&
			offer.memoryBytes - this._usedMemoryBytes >= needs.memoryBytes &&
			offer.accelerators - this._usedAccelerators >= needs.accelerators
		);
	}

	/** Takes account of a task that is sent. */
	assign(key: string, task: AssignedTask): void {
		const { needs } = task.job.submission;
		this.assigned.set(key, task);
		this._usedCores += needs.cores;
		this._usedMemoryBytes += needs.memoryBytes;
		this._usedAccelerators += needs.accelerators;
	}

	/** Takes a task off the account. Returns undefined when this entry never sent it, or has heard its end. */
	release(key: string): AssignedTask | undefined {
		const task = this.assigned.get(key);
		if (task === undefined) {
			return undefined;
		}
		const { needs } = task.job.submission;
		this.assigned.delete(key);
		this._usedCores -= needs.cores;
		this._usedMemoryBytes -= needs.memoryBytes;
		this._usedAccelerators -= needs.accelerators;
		return task;
	}

	/** Takes account, for a time, of tasks that other entries started. */
	noteForeign(known: readonly KnownTask[], isOwn: (task: KnownTask) => boolean, untilMs: number): void {
		const count = known.filter(
			(task) => (task.state === 'running' || task.state === 'queued') && !isOwn(task),
		).length;
		this._foreign = { count, untilMs };
	}
}
