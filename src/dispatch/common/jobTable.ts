/** Tracks the jobs of an entry and their tasks. */

import type { JobOutcome, JobRequest, JobState } from './jobs.js';

/**
 * Phase of a task. `waiting`: queued until a worker has room. `placed`: sent to an agent. `stopping`: asked to stop, and
 * restarted elsewhere once its end is reported. `inDoubt`: its agent is unreachable, and it may still be running there
 * until {@link TaskRow.inDoubtUntilMs}. `done`: ended for good.
 */
export type TaskPhase = 'waiting' | 'placed' | 'stopping' | 'inDoubt' | 'done';

/** State of one task. */
export interface TaskRow {
	readonly taskIndex: number;
	phase: TaskPhase;
	/** Number of the last start; 0 before the first. */
	run: number;
	/** Identifies the last start; see {@link TaskStartRef}. 0 before the first. */
	startId: number;
	agentId: string;
	failures: number;
	/** Number of runs that were lost with their worker, or whose agent could not be reached until they had ended. */
	losses: number;
	lastLostAtMs: number;
	/** Agents at which the task has failed, or was refused as unhealthy, not accepting or invalid. */
	readonly excludedAgentIds: Set<string>;
	inDoubtUntilMs: number;
}

/** State of one job. */
export interface JobRow {
	readonly request: JobRequest;
	readonly arrivedMs: number;
	/** Latest start of the job's last task with which the job still ends within its objective. */
	readonly latestStartMs: number;
	/** Time at which the caller stops waiting. */
	readonly deadlineMs: number;
	readonly tasks: readonly TaskRow[];
	/** Whether a task may have run for an earlier request of the same job, which has ended. */
	readonly mayHaveRunBefore: boolean;
	/** Number of tasks that wait for a worker with room. */
	waitingTaskCount: number;
	doneTaskCount: number;
	/** Whether any task may have run: it was sent to an agent, and the agent has not refused it. */
	hasStarted: boolean;
	/** Number of starts that were sent to agents and not refused. */
	unrefusedStartCount: number;
	state: JobState;
	/** Callbacks for the outcome; one for each waiting caller of the same request. */
	readonly listeners: Set<(outcome: JobOutcome) => void>;
	/** Steps of the job's tasks, logged when the job ends late, fails, or is cancelled or abandoned. */
	readonly trace: string[];
}

/** Maximum number of steps in a job's trace. */
const maxTraceLength = 60;

/** Time reserved for sending the answer back to the caller. */
const responseReserveMs = 8;

/** Returns the time after its arrival within which a job should end. */
export function computeObjectiveMs({ stretch, estimateMs, objectiveMs }: JobRequest): number {
	return stretch * estimateMs + objectiveMs;
}

/** Creates the state of a job that has just arrived. */
export function createJobRow(request: JobRequest, nowMs: number, mayHaveRunBefore = false): JobRow {
	const arrivedMs = nowMs - (request.waitedMs ?? 0);
	const latestStartMs = arrivedMs + computeObjectiveMs(request) - request.estimateMs - responseReserveMs;
	return {
		request,
		arrivedMs,
		latestStartMs,
		deadlineMs: nowMs + request.waitMs,
		tasks: Array.from({ length: request.taskCount }, (_, taskIndex) => createTaskRow(taskIndex)),
		mayHaveRunBefore,
		waitingTaskCount: request.taskCount,
		doneTaskCount: 0,
		hasStarted: false,
		unrefusedStartCount: 0,
		state: 'queued',
		listeners: new Set(),
		trace: [],
	};
}

/** Updates a job when one of its waiting tasks is sent to an agent. */
export function recordStart(job: JobRow): void {
	job.waitingTaskCount -= 1;
	job.unrefusedStartCount += 1;
	job.hasStarted = true;
	job.state = 'running';
}

/**
 * Updates a job when an agent has refused one of its starts and knows no other run of that task. If all starts were refused
 * like that, no task of the job has run.
 */
export function recordRefusedStart(job: JobRow): void {
	job.unrefusedStartCount -= 1;
	if (job.unrefusedStartCount === 0) {
		job.hasStarted = false;
		job.state = 'queued';
	}
}

/**
 * Appends a step to a job's trace: the milliseconds since its arrival, the step, the task and its run, and the agent.
 *
 * @example
 * traceStep(job, task, 'placed', 'agent-1', nowMs); // '+3 placed 0#1@agent-1'
 */
export function traceStep(job: JobRow, task: TaskRow, step: string, agentId: string, nowMs: number): void {
	if (job.trace.length < maxTraceLength) {
		job.trace.push(`+${Math.round(nowMs - job.arrivedMs)} ${step} ${task.taskIndex}#${task.run}@${agentId}`);
	}
}

function createTaskRow(taskIndex: number): TaskRow {
	return {
		taskIndex,
		phase: 'waiting',
		run: 0,
		startId: 0,
		agentId: '',
		failures: 0,
		losses: 0,
		lastLostAtMs: 0,
		excludedAgentIds: new Set(),
		inDoubtUntilMs: 0,
	};
}
