/** Messages between the entry that holds a job and the agents that run its tasks. */

import type { Message } from '../../services/transport/common/transport.js';

/** What one task takes of a worker while it runs. */
export interface TaskNeeds {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
}

/** One task of one job. */
export interface TaskRef {
	readonly jobId: string;
	readonly taskIndex: number;
}

/** One start of a task; a later start of the same task has a higher run. */
export interface TaskRunRef extends TaskRef {
	readonly run: number;
}

/** Starts of one job's tasks. */
export interface JobStart {
	readonly jobId: string;
	readonly pool: string;
	/** What the caller sent for the tasks, unchanged. */
	readonly payload: string;
	readonly needs: TaskNeeds;
	/** Rough duration of one task on a worker of speed 1, by the caller. */
	readonly estimateMs: number;
	readonly tasks: readonly { readonly taskIndex: number; readonly run: number }[];
}

/** Asks an agent to start tasks now. What does not fit is refused. */
export interface StartTasksMessage extends Message {
	readonly kind: 'startTasks';
	/** Number of the message on its connection; reports name the last one that they take into account. */
	readonly sequence: number;
	readonly jobs: readonly JobStart[];
}

/** Asks an agent to stop runs. */
export interface StopTasksMessage extends Message {
	readonly kind: 'stopTasks';
	readonly tasks: readonly TaskRunRef[];
}

/** Why a run was refused; nothing of it has started. */
export type RefusalReason =
	/** It does not fit into what is free. */
	| 'noRoom'
	/** The worker leaves, is gone, or is not ready yet. */
	| 'notAccepting'
	/** The worker refused it as unhealthy. */
	| 'unhealthy'
	/** A run that is as high was known at the worker. */
	| 'olderRun'
	/** The worker can't read the task. */
	| 'invalid';

/** How a run ended. `lost`: it no longer runs, and how far it came is unknown. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lost' | 'refused';

/** The end of one run. */
export interface TaskEndReport extends TaskRunRef {
	readonly end: RunEnd;
	/** Set for `refused`. */
	readonly reason?: RefusalReason | undefined;
	/** Highest run that the agent knows of; set for `olderRun`. */
	readonly knownRun?: number | undefined;
}

/** What an agent tells of its worker. */
export interface WorkerState {
	readonly workerId: string;
	readonly dataCentre: string;
	readonly pool: string;
	readonly labels: readonly string[];
	readonly capacity: TaskNeeds;
	/** Whether the capacity is a guess, since the worker has not announced itself yet. */
	readonly isCapacityGuessed: boolean;
	/** Taken by all tasks that run, start or are being stopped there. */
	readonly used: TaskNeeds;
	readonly isAccepting: boolean;
	/** Speed over the last ended tasks, as estimated over measured duration; 1 before the first. */
	readonly speed: number;
	/** Progress of the running tasks in the last moments over what estimates promise; absent when too few run. */
	readonly pace?: number | undefined;
	/** Failed and done ends of the last seconds, older ones counting less. */
	readonly failedEnds: number;
	readonly doneEnds: number;
	/** Runs that failed one after the other, up to now. */
	readonly failureStreak: number;
	/** Running tasks that would be done sooner if they were started anew on a sound worker. */
	readonly laggards: readonly TaskRunRef[];
}

/** An agent's news: its worker's state, and ends of the receiving entry's runs. */
export interface AgentReportMessage extends Message {
	readonly kind: 'agentReport';
	/** Last {@link StartTasksMessage} of this connection that the state takes into account. */
	readonly handledSequence: number;
	/** Absent while the agent knows of no worker. */
	readonly state?: WorkerState | undefined;
	readonly ends: readonly TaskEndReport[];
	/** All runs of the entry that the agent holds; set in the first report of a connection. */
	readonly heldRuns?: readonly TaskRunRef[] | undefined;
}

/** Asks the other entries to end a job that its caller has cancelled. */
export interface CancelJobMessage extends Message {
	readonly kind: 'cancelJob';
	readonly jobId: string;
}

/** Key of a task in maps. */
export function taskKeyOf({ jobId, taskIndex }: TaskRef): string {
	return `${jobId}/${taskIndex}`;
}

/** What identifies a run, without the rest of its row. */
export function runRefOf({ jobId, taskIndex, run }: TaskRunRef): TaskRunRef {
	return { jobId, taskIndex, run };
}

/** No needs at all. */
export const noNeeds: TaskNeeds = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Adds needs, each times a factor. */
export function addNeeds(left: TaskNeeds, right: TaskNeeds, factor = 1): TaskNeeds {
	return {
		cpuMillis: left.cpuMillis + factor * right.cpuMillis,
		memoryMb: left.memoryMb + factor * right.memoryMb,
		accelerators: left.accelerators + factor * right.accelerators,
	};
}

/** How many tasks of some needs fit into what is free. */
export function countFitting(needs: TaskNeeds, free: TaskNeeds): number {
	const byCpu = needs.cpuMillis > 0 ? free.cpuMillis / needs.cpuMillis : Infinity;
	const byMemory = needs.memoryMb > 0 ? free.memoryMb / needs.memoryMb : Infinity;
	const byAccelerators = needs.accelerators > 0 ? free.accelerators / needs.accelerators : Infinity;
	return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byAccelerators)));
}
