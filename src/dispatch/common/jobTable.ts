/** Jobs that an entry holds, with their tasks. */

import type { JobOutcome, JobRequest, JobState } from './jobs.js';

/**
 * Where a task stands. `waiting`: for room. `placed`: sent to an agent. `stopping`: to be started elsewhere once its
 * end is known. `inDoubt`: its agent can't be reached, and it may run there until `doubtUntilMs`.
 */
export type TaskPhase = 'waiting' | 'placed' | 'stopping' | 'inDoubt' | 'done';

/** One task. */
export interface TaskRow {
	readonly taskIndex: number;
	phase: TaskPhase;
	/** Number of the last start; 0 before the first. */
	run: number;
	agentId: string;
	failures: number;
	/** Agents at which the task has failed or was refused. */
	readonly excluded: Set<string>;
	doubtUntilMs: number;
}

/** One job. */
export interface JobRow {
	readonly request: JobRequest;
	readonly arrivedMs: number;
	/** When its last task must start for the job to end within its objective. */
	readonly latestStartMs: number;
	/** When the caller stops waiting. */
	readonly deadlineMs: number;
	readonly tasks: readonly TaskRow[];
	/** Tasks that wait for room. */
	waitingCount: number;
	doneCount: number;
	/** Whether any task was ever sent to an agent. */
	hasStarted: boolean;
	state: JobState;
	/** Called with the outcome; several when the same request came more than once. */
	readonly listeners: Set<(outcome: JobOutcome) => void>;
	/** What was decided about the job, for the log when it ends badly. */
	readonly trace: string[];
}

/** Steps that are kept of one job. */
const maxTraceSteps = 60;

/** Time kept free for the answer's way back. */
const answerMs = 8;

/** Makes the row of a job that has just arrived. */
export function createJobRow(request: JobRequest, nowMs: number): JobRow {
	const objectiveMs = request.stretch * request.estimateMs + request.objectiveMs;
	const arrivedMs = nowMs - (request.waitedMs ?? 0);
	const latestStartMs = arrivedMs + objectiveMs - request.estimateMs - answerMs;
	return {
		request,
		arrivedMs,
		latestStartMs,
		deadlineMs: nowMs + request.waitMs,
		tasks: Array.from({ length: request.taskCount }, (_, taskIndex) => createTaskRow(taskIndex)),
		waitingCount: request.taskCount,
		doneCount: 0,
		hasStarted: false,
		state: 'queued',
		listeners: new Set(),
		trace: [],
	};
}

/**
 * Notes a decision about a job: the time since its arrival, what happened, the task and its run, and the agent.
 *
 * @example
 * noteStep(job, task, 'placed', 'agent-1', nowMs); // '+3 placed 0#1@agent-1'
 */
export function noteStep(job: JobRow, task: TaskRow, what: string, agentId: string, nowMs: number): void {
	if (job.trace.length < maxTraceSteps) {
		job.trace.push(`+${Math.round(nowMs - job.arrivedMs)} ${what} ${task.taskIndex}#${task.run}@${agentId}`);
	}
}

function createTaskRow(taskIndex: number): TaskRow {
	return {
		taskIndex,
		phase: 'waiting',
		run: 0,
		agentId: '',
		failures: 0,
		excluded: new Set(),
		doubtUntilMs: 0,
	};
}
