/** State of a worker as known to this entry: its agent's session, its offer and the tasks sent to it. */

import type { KnownTask, UpstreamOffer } from '../../protocol/common/agentMessages.js';
import type { TaskIdentity, TaskNeeds } from '../../protocol/common/jobs.js';
import type { JobRow } from './jobRow.js';
import type { HomeTenure } from './poolState.js';
import { WorkerHealth } from './workerHealth.js';

/** A task that this entry sent to a worker and whose outcome has not been reported. */
export interface AssignedTask extends TaskIdentity {
	readonly job: JobRow;
	readonly sentMs: number;
	readonly epoch: number;
	/** Number of the placement. An agent accepts a fenced task again only with a greater number. */
	readonly attempt: number;
}

/** A task, possibly started by an earlier home, about which a worker was asked. */
export interface SearchedTask extends AssignedTask {
	/** Number of unanswered queries on the current session; only the answer to the last one counts. */
	unansweredQueries: number;
}

/** Tasks that other entries sent to a worker. Their outcomes are not reported to this entry, so they expire. */
interface ForeignTasks {
	readonly count: number;
	readonly untilMs: number;
}

/** An agent's description of itself and its upstream. */
export interface WorkerDescription {
	readonly offer?: UpstreamOffer | undefined;
	readonly dataCentre: string;
	readonly rack: string;
	readonly isLeaving: boolean;
}

/**
 * One incarnation of an agent, with its upstream. All state that determines whether, and how many, tasks the worker can
 * accept is changed by methods, which report the change to the worker table.
 */
export class WorkerRow {
	private _sessionId: number | undefined;
	private _description: WorkerDescription = { dataCentre: '', rack: '', isLeaving: false };
	private _isDrained = false;
	private _disconnectedAtMs: number | undefined;
	private _pausedUntilMs = 0;
	private _isChangeReported = false;
	private readonly _assignedTasks = new Map<string, AssignedTask>();
	/** Tasks about which the worker was asked and has not answered, by task key. */
	readonly searchedTasks = new Map<string, SearchedTask>();
	/** Tenure and epoch of the last message that announced this entry as the home and asked for the known submissions. */
	lastSubmissionsQuery: { readonly tenure: HomeTenure; readonly epoch: number } | undefined;
	/** Tenure for which the agent reported the submissions it knows; from then on it refuses starts of earlier homes. */
	answeredTenure: HomeTenure | undefined;
	/** Ids of the submissions that the agent reported at that time. */
	knownSubmissions: ReadonlySet<string> = new Set();
	/** Outcomes that are not acknowledged yet, and the time at which the oldest arrived. */
	unacknowledgedOutcomes: TaskIdentity[] = [];
	unacknowledgedSinceMs = 0;
	/** Number of open tasks of all entries together, as reported by the agent. */
	reportedLoad = 0;
	readonly health = new WorkerHealth(() => {
		this._reportChange();
	});
	private _foreignTasks: ForeignTasks = { count: 0, untilMs: 0 };
	private _usedCores = 0;
	private _usedMemoryBytes = 0;
	private _usedAccelerators = 0;

	/** @param _onDidChange called at the first change after each acknowledgement */
	constructor(
		readonly processId: string,
		readonly incarnation: string,
		private readonly _onDidChange: () => void,
	) {}

	/** Session id of the agent's newest connection; absent while the agent is disconnected. */
	get sessionId(): number | undefined {
		return this._sessionId;
	}

	/** Time at which the agent's connection was lost; absent while the agent is connected. */
	get disconnectedAtMs(): number | undefined {
		return this._disconnectedAtMs;
	}

	get offer(): UpstreamOffer | undefined {
		return this._description.offer;
	}

	get dataCentre(): string {
		return this._description.dataCentre;
	}

	/** Name of the pool that the worker currently serves. */
	get pool(): string | undefined {
		return this.offer?.pool;
	}

	/** Tasks that this entry sent and whose outcomes have not been reported, by task key. */
	get assignedTasks(): ReadonlyMap<string, AssignedTask> {
		return this._assignedTasks;
	}

	/** Records a new connection of the agent. */
	connect(sessionId: number): void {
		this._sessionId = sessionId;
		this._disconnectedAtMs = undefined;
		this._reportChange();
	}

	/** Records the loss of the agent's connection. */
	disconnect(nowMs: number): void {
		this._sessionId = undefined;
		this._disconnectedAtMs = nowMs;
		this._reportChange();
	}

	/** Replaces the agent's description. */
	updateDescription(description: WorkerDescription): void {
		const { offer, dataCentre, rack, isLeaving } = description;
		this._description = { offer, dataCentre, rack, isLeaving };
		this._reportChange();
	}

	/** Marks the worker as leaving, so that it is sent no starts until the agent sends a new description. */
	markLeaving(): void {
		this._description = { ...this._description, isLeaving: true };
		this._reportChange();
	}

	/** Sets whether the operators' table drains the agent. */
	setDrained(isDrained: boolean): void {
		this._isDrained = isDrained;
		this._reportChange();
	}

	/** Prevents starts until a time, after the worker could not accept a task. */
	pauseUntil(atMs: number): void {
		this._pausedUntilMs = atMs;
		this._reportChange();
	}

	/** Marks the reported change as handled, so that the next change is reported again. */
	acknowledgeChange(): void {
		this._isChangeReported = false;
	}

	/**
	 * Returns the next time at which the worker's state changes without an event: a pause ends, other entries' tasks
	 * expire or a probe becomes due. Infinite if there is none.
	 */
	nextChangeMs(nowMs: number): number {
		const probeAtMs = this.health.probeAtMs;
		return Math.min(
			this._pausedUntilMs > nowMs ? this._pausedUntilMs : Infinity,
			this._foreignTasks.untilMs > nowMs ? this._foreignTasks.untilMs : Infinity,
			probeAtMs > nowMs ? probeAtMs : Infinity,
		);
	}

	/** Whether starts may be sent to the worker, regardless of its free capacity. */
	canStart(nowMs: number): boolean {
		return (
			this._sessionId !== undefined &&
			this._description.offer !== undefined &&
			!this._description.isLeaving &&
			!this._isDrained &&
			nowMs >= this._pausedUntilMs
		);
	}

	/** Returns the number of free slots as far as this entry knows; negative when starts wait at the worker. */
	freeSlots(nowMs: number): number {
		const foreign = nowMs < this._foreignTasks.untilMs ? this._foreignTasks.count : 0;
		return (this.offer?.slots ?? 0) - this._assignedTasks.size - foreign;
	}

	/** Whether the worker could hold a task if it were idle. */
	couldEverFit(needs: TaskNeeds): boolean {
		const { offer } = this;
		return (
			offer !== undefined &&
			offer.cores >= needs.cores &&
			offer.memoryBytes >= needs.memoryBytes &&
			offer.accelerators >= needs.accelerators
		);
	}

	/** Number of cores that the assigned tasks don't use. */
	get unusedCores(): number {
		return (this.offer?.cores ?? 0) - this._usedCores;
	}

	/** Memory that the assigned tasks don't use, in bytes. */
	get unusedMemoryBytes(): number {
		return (this.offer?.memoryBytes ?? 0) - this._usedMemoryBytes;
	}

	/** Number of accelerators that the assigned tasks don't use. */
	get unusedAccelerators(): number {
		return (this.offer?.accelerators ?? 0) - this._usedAccelerators;
	}

	/** Whether a task fits in addition to the assigned tasks. */
	fitsNow(needs: TaskNeeds): boolean {
		return (
			this.offer !== undefined &&
			this.unusedCores >= needs.cores &&
			this.unusedMemoryBytes >= needs.memoryBytes &&
			this.unusedAccelerators >= needs.accelerators
		);
	}

	/** Adds a task that is sent to the worker. */
	assign(key: string, task: AssignedTask): void {
		const { needs } = task.job.submission;
		this._assignedTasks.set(key, task);
		this._usedCores += needs.cores;
		this._usedMemoryBytes += needs.memoryBytes;
		this._usedAccelerators += needs.accelerators;
		this._reportChange();
	}

	/** Removes and returns an assigned task; undefined if this entry never sent it or its outcome was already reported. */
	release(key: string): AssignedTask | undefined {
		const task = this._assignedTasks.get(key);
		if (task === undefined) {
			return undefined;
		}
		const { needs } = task.job.submission;
		this._assignedTasks.delete(key);
		this._usedCores -= needs.cores;
		this._usedMemoryBytes -= needs.memoryBytes;
		this._usedAccelerators -= needs.accelerators;
		this._reportChange();
		return task;
	}

	/** Counts the tasks that other entries started against the worker's free slots until a time. */
	setForeignTasks(known: readonly KnownTask[], isOwn: (task: KnownTask) => boolean, untilMs: number): void {
		const count = known.filter(
			(task) => (task.state === 'running' || task.state === 'queued') && !isOwn(task),
		).length;
		this._foreignTasks = { count, untilMs };
		this._reportChange();
	}

	private _reportChange(): void {
		if (!this._isChangeReported) {
			this._isChangeReported = true;
			this._onDidChange();
		}
	}
}
