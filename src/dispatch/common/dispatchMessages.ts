/** Messages between the entry that holds a job and the agents that run its tasks, and between entries. */

import type { Message } from '../../services/transport/common/transport.js';
import type { CancelledJob } from './cancelledJobs.js';
import type { WorkerCrash } from './workerCrash.js';

/** Resources that a task uses at a worker while it runs. */
export interface TaskNeeds {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
}

/** Identifies one task of a job. */
export interface TaskRef {
	readonly jobId: string;
	readonly taskIndex: number;
}

/** Identifies one run of a task; each new start of the task has a higher run number. */
export interface TaskRunRef extends TaskRef {
	readonly run: number;
}

/**
 * Identifies one start of a task. Run numbers begin again when a job comes again, so that a number alone can name two
 * starts.
 */
export interface TaskStartRef extends TaskRunRef {
	/** Number of the start; never repeats in the life of the entry's process. Absent in messages of an earlier version. */
	readonly startId?: number | undefined;
}

/** A time by the clock of one incarnation of a worker. */
export interface WorkerTime {
	/** Number that the agent gives to the incarnation; it increases when the worker is replaced or restarts. */
	readonly incarnation: number;
	readonly clockMs: number;
}

/** Runs of one job's tasks that are to be started. */
export interface JobStart {
	readonly jobId: string;
	readonly route: string;
	readonly pool: string;
	/** Whether the pool's workers refuse tasks that exceed their capacity; otherwise the agent has to. */
	readonly isCapacityEnforced: boolean;
	/** Payload of the tasks, as the caller sent it. */
	readonly payload: string;
	readonly needs: TaskNeeds;
	/** Caller's rough estimate of one task's duration on a worker of speed 1. */
	readonly estimateMs: number;
	readonly tasks: readonly Omit<TaskStartRef, 'jobId'>[];
}

/** Asks an agent to start tasks at once; the agent refuses those that do not fit. */
export interface StartTasksMessage extends Message {
	readonly kind: 'startTasks';
	/** Number of the message on its connection; reports name the last one that their state includes. */
	readonly sequence: number;
	/**
	 * Time at which the entry sent the message. The agent refuses starts that it receives much later, since the entry may have
	 * sent the tasks to another agent by then. Absent in messages of entries of an earlier version.
	 */
	readonly sentAt?: WorkerTime | undefined;
	readonly jobs: readonly JobStart[];
}

/** Asks an agent to stop runs. */
export interface StopTasksMessage extends Message {
	readonly kind: 'stopTasks';
	readonly tasks: readonly TaskStartRef[];
}

/** Reason for refusing a run; the run has not started. */
export type RefusalReason =
	/** The run does not fit into the free capacity, or an earlier run of the task has not ended. */
	| 'noRoom'
	/** The worker is leaving, gone, or not ready yet. */
	| 'notAccepting'
	/** The worker refused because it is unhealthy. */
	| 'unhealthy'
	/** A run with the same or a higher number is already known. */
	| 'olderRun'
	/** The start arrived too late, or for an earlier incarnation of the worker. */
	| 'expired'
	/** The worker could not read the task. */
	| 'invalid';

/** End of a run. `lost`: it no longer runs, and it is unknown how far it got. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lost' | 'refused';

/** Reports the end of a run. */
export interface TaskEndReport extends TaskStartRef {
	readonly end: RunEnd;
	/** Set for `refused`. */
	readonly reason?: RefusalReason | undefined;
	/** Set for `refused`: last run of the task that the worker has taken; 0 if the agent knows none, for any entry. */
	readonly knownRun?: number | undefined;
}

/** State of a worker, as reported by its agent. */
export interface WorkerState {
	readonly workerId: string;
	/** Identifies the incarnation of the worker; absent until it has announced itself. */
	readonly workerKey?: string | undefined;
	/** Time at which the agent sent this state; absent while it does not know the worker's clock. */
	readonly workerTime?: WorkerTime | undefined;
	readonly dataCentre: string;
	readonly pool: string;
	readonly labels: readonly string[];
	readonly capacity: TaskNeeds;
	/** Whether the capacity is assumed because the worker has not announced itself yet. */
	readonly isCapacityGuessed: boolean;
	/** Resources of all runs that are starting, running or stopping. */
	readonly used: TaskNeeds;
	readonly isAccepting: boolean;
	/** Moving average of estimated over measured duration of ended tasks; 1 before the first. */
	readonly speed: number;
	/** Recent progress of the running tasks relative to their estimates; absent when too little ran. */
	readonly pace?: number | undefined;
	/** Recent runs that failed or were done; older ones weigh less. */
	readonly failedEnds: number;
	readonly doneEnds: number;
	/** Number of failures since the last run that was done; the failures of one job count once. */
	readonly failureStreak: number;
	/** Running tasks that would end sooner if they were restarted on a healthy worker. */
	readonly laggards: readonly TaskStartRef[];
}

/** Reports a worker's state and the ends of the receiving entry's runs. */
export interface AgentReportMessage extends Message {
	readonly kind: 'agentReport';
	/** Number of the last {@link StartTasksMessage} on this connection that the state includes. */
	readonly handledSequence: number;
	/** Absent while the agent has no usable worker. */
	readonly state?: WorkerState | undefined;
	readonly ends: readonly TaskEndReport[];
	/** Crashes of the worker since the last report; in the first report on a connection, all that are remembered. */
	readonly crashes?: readonly WorkerCrash[] | undefined;
	/**
	 * All runs that the agent holds for the entry, and the starts that it refuses once an earlier run has ended; set in the first
	 * report on a connection.
	 */
	readonly heldRuns?: readonly TaskStartRef[] | undefined;
}

/** Asks another entry to end a job that its caller has cancelled. */
export interface CancelJobMessage extends Message {
	readonly kind: 'cancelJob';
	readonly jobId: string;
}

/** Tells another entry the cancellings that this one remembers, when it connects; those that follow are sent one by one. */
export interface CancelledJobsMessage extends Message {
	readonly kind: 'cancelledJobs';
	readonly jobs: readonly CancelledJob[];
}

/** Tells another entry the crashes that this one remembers, when it connects. */
export interface WorkerCrashesMessage extends Message {
	readonly kind: 'workerCrashes';
	readonly crashes: readonly WorkerCrash[];
}

/** Returns a task's key for use in maps. */
export function getTaskKey({ jobId, taskIndex }: TaskRef): string {
	return `${jobId}/${taskIndex}`;
}

/** Returns only the fields that identify a run. */
export function toRunRef({ jobId, taskIndex, run }: TaskRunRef): TaskRunRef {
	return { jobId, taskIndex, run };
}

/** Describes a run for a log line: the job, the task and the run number. */
export function describeRun({ jobId, taskIndex, run }: TaskRunRef): string {
	return `${jobId}/${taskIndex}#${run}`;
}

/** Returns only the fields that identify a start. */
export function toStartRef({ jobId, taskIndex, run, startId }: TaskStartRef): TaskStartRef {
	return { jobId, taskIndex, run, ...(startId === undefined ? {} : { startId }) };
}

/**
 * Returns whether two references to starts of the same task, by the same entry, are to the same start.
 *
 * @example
 * isSameStart({ run: 1, startId: 7 }, { run: 1, startId: 9 }); // false: the job has come again
 */
export function isSameStart(
	left: Pick<TaskStartRef, 'run' | 'startId'>,
	right: Pick<TaskStartRef, 'run' | 'startId'>,
): boolean {
	const isIdKnown = left.startId !== undefined && right.startId !== undefined;
	return left.run === right.run && (!isIdKnown || left.startId === right.startId);
}

export const noNeeds: TaskNeeds = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Adds `right`, multiplied by a factor, to `left`. */
export function addNeeds(left: TaskNeeds, right: TaskNeeds, factor = 1): TaskNeeds {
	return {
		cpuMillis: left.cpuMillis + factor * right.cpuMillis,
		memoryMb: left.memoryMb + factor * right.memoryMb,
		accelerators: left.accelerators + factor * right.accelerators,
	};
}

/** Returns how many tasks with the given needs fit into free capacity. */
export function countFittingTasks(needs: TaskNeeds, free: TaskNeeds): number {
	const byCpu = needs.cpuMillis > 0 ? free.cpuMillis / needs.cpuMillis : Infinity;
	const byMemory = needs.memoryMb > 0 ? free.memoryMb / needs.memoryMb : Infinity;
	const byAccelerators = needs.accelerators > 0 ? free.accelerators / needs.accelerators : Infinity;
	return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators)));
}
