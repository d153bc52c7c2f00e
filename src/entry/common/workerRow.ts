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

/** What an agent says about itself and its upstream. */
export interface WorkerDescription {
	readonly offer?: UpstreamOffer | undefined;
	readonly dataCentre: string;
	readonly rack: string;
	readonly isLeaving: boolean;
}

/**
 * One run of an agent, with the upstream beside it. Everything that decides whether and how much the worker can take
 * is changed by methods, which report the change to the table of workers.
 */
export class WorkerRow {
	private _sessionId: number | undefined;
	private _described: WorkerDescription = { dataCentre: '', rack: '', isLeaving: false };
	private _isDrained = false;
	private _lostAtMs: number | undefined;
	private _pausedUntilMs = 0;
	private _isChangeReported = false;
	private readonly _assigned = new Map<string, AssignedTask>();
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
	readonly health = new WorkerHealth(() => {
		this._reportChange();
	});
	private _foreign: ForeignTasks = { count: 0, untilMs: 0 };
	private _usedCores = 0;
	private _usedMemoryBytes = 0;
	private _usedAccelerators = 0;

	/** @param _onDidChange told once until the change is acknowledged */
	constructor(
		readonly processId: string,
		readonly incarnation: string,
		private readonly _onDidChange: () => void,
	) {}

	/** The agent's newest connection; absent while it is lost. */
	get sessionId(): number | undefined {
		return this._sessionId;
	}

	/** When the agent's connection was lost; absent while there is one. */
	get lostAtMs(): number | undefined {
		return this._lostAtMs;
	}

	get offer(): UpstreamOffer | undefined {
		return this._described.offer;
	}

	get dataCentre(): string {
		return this._described.dataCentre;
	}

	/** Name of the pool that the worker serves now. */
	get pool(): string | undefined {
		return this.offer?.pool;
	}

	/** Tasks that this entry sent and has not heard the end of, by key. */
	get assigned(): ReadonlyMap<string, AssignedTask> {
		return this._assigned;
	}

	/** Takes account of a new connection of the agent. */
	open(sessionId: number): void {
		this._sessionId = sessionId;
		this._lostAtMs = undefined;
		this._reportChange();
	}

	/** Takes account of the loss of the connection. */
	lose(nowMs: number): void {
		this._sessionId = undefined;
		this._lostAtMs = nowMs;
		this._reportChange();
	}

	/** Takes over what the agent says about itself. */
	describe(description: WorkerDescription): void {
		const { offer, dataCentre, rack, isLeaving } = description;
		this._described = { offer, dataCentre, rack, isLeaving };
		this._reportChange();
	}

	/** Sends nothing more until the agent describes itself anew. */
	stopOffering(): void {
		this._described = { ...this._described, isLeaving: true };
		this._reportChange();
	}

	/** Takes account of whether the operators' table drains the agent. */
	setDrained(isDrained: boolean): void {
		this._isDrained = isDrained;
		this._reportChange();
	}

	/** Sends nothing for a time, after the worker could not take a task. */
	pauseUntil(atMs: number): void {
		this._pausedUntilMs = atMs;
		this._reportChange();
	}

	/** Lets the next change be reported again. */
	acknowledgeChange(): void {
		this._isChangeReported = false;
	}

	/**
	 * When something changes by time alone: the end of a pause, of other entries' tasks, of the wait for a probe.
	 * Infinite when nothing does.
	 */
	nextChangeMs(nowMs: number): number {
		const probeAtMs = this.health.probeAtMs;
		return Math.min(
			this._pausedUntilMs > nowMs ? this._pausedUntilMs : Infinity,
			this._foreign.untilMs > nowMs ? this._foreign.untilMs : Infinity,
			probeAtMs > nowMs ? probeAtMs : Infinity,
		);
	}

	/** Whether new starts may be sent at all. */
	canStart(nowMs: number): boolean {
		return (
			this._sessionId !== undefined &&
			this._described.offer !== undefined &&
			!this._described.isLeaving &&
			!this._isDrained &&
			nowMs >= this._pausedUntilMs
		);
	}

	/** Slots that are free as far as this entry knows; negative when starts wait at the worker. */
	freeSlots(nowMs: number): number {
		const foreign = nowMs < this._foreign.untilMs ? this._foreign.count : 0;
		return (this.offer?.slots ?? 0) - this._assigned.size - foreign;
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

	/** Cores that the assigned tasks leave. */
	get unusedCores(): number {
		return (this.offer?.cores ?? 0) - this._usedCores;
	}

	/** Memory that the assigned tasks leave. */
	get unusedMemoryBytes(): number {
		return (this.offer?.memoryBytes ?? 0) - this._usedMemoryBytes;
	}

	/** Accelerators that the assigned tasks leave. */
	get unusedAccelerators(): number {
		return (this.offer?.accelerators ?? 0) - this._usedAccelerators;
	}

	/** Whether a task fits beside those that are assigned. */
	fitsNow(needs: TaskNeeds): boolean {
		return (
			this.offer !== undefined &&
			this.unusedCores >= needs.cores &&
			this.unusedMemoryBytes >= needs.memoryBytes &&
			this.unusedAccelerators >= needs.accelerators
		);
	}

	/** Takes account of a task that is sent. */
	assign(key: string, task: AssignedTask): void {
		const { needs } = task.job.submission;
		this._assigned.set(key, task);
		this._usedCores += needs.cores;
		this._usedMemoryBytes += needs.memoryBytes;
		this._usedAccelerators += needs.accelerators;
		this._reportChange();
	}

	/** Takes a task off the account. Returns undefined when this entry never sent it, or has heard its end. */
	release(key: string): AssignedTask | undefined {
		const task = this._assigned.get(key);
		if (task === undefined) {
			return undefined;
		}
		const { needs } = task.job.submission;
		this._assigned.delete(key);
		this._usedCores -= needs.cores;
		this._usedMemoryBytes -= needs.memoryBytes;
		this._usedAccelerators -= needs.accelerators;
		this._reportChange();
		return task;
	}

	/** Takes account, for a time, of tasks that other entries started. */
	noteForeign(known: readonly KnownTask[], isOwn: (task: KnownTask) => boolean, untilMs: number): void {
		const count = known.filter(
			(task) => (task.state === 'running' || task.state === 'queued') && !isOwn(task),
		).length;
		this._foreign = { count, untilMs };
		this._reportChange();
	}

	private _reportChange(): void {
		if (!this._isChangeReported) {
			this._isChangeReported = true;
			this._onDidChange();
		}
	}
}
