/**
 * Checks received dispatch messages before anything of them is kept. Written by hand, since reports are the most frequent
 * messages of the system.
 */

import type { Message } from '../../services/transport/common/transport.js';
import type { CancelledJob } from './cancelledJobs.js';
import type {
	AgentReportMessage,
	CancelJobMessage,
	CancelledJobsMessage,
	JobStart,
	StartTasksMessage,
	StopTasksMessage,
	TaskEndReport,
	TaskNeeds,
	TaskRunRef,
	TaskStartRef,
	WorkerCrashesMessage,
	WorkerState,
	WorkerTime,
} from './dispatchMessages.js';
import type { CrashedRun, WorkerCrash } from './workerCrash.js';

/** Error of a message that can't be read. */
export class DispatchMessageError extends Error {}

/**
 * Returns a message as the type that a check proves.
 *
 * @throws DispatchMessageError when the message can't be read
 * @example
 * const report = readMessage(message, isAgentReport);
 */
export function readMessage<T extends Message>(
	message: Message,
	isReadable: (message: Message) => message is T,
): T {
	if (!isReadable(message)) {
		throw new DispatchMessageError(`The message "${message.kind}" can't be read; check the peer's version.`);
	}
	return message;
}

type Unchecked<T> = { readonly [Field in keyof T]?: unknown };

const runEnds: ReadonlySet<unknown> = new Set<TaskEndReport['end']>([
	'done',
	'failed',
	'stopped',
	'lost',
	'refused',
]);

/** Returns whether a message is a readable report of an agent. */
export function isAgentReport(message: Message): message is AgentReportMessage {
	const { kind, handledSequence, state, ends, crashes, heldRuns } = message as Unchecked<AgentReportMessage>;
	return (
		kind === 'agentReport' &&
		isNumber(handledSequence) &&
		(state === undefined || isWorkerState(state)) &&
		isArrayOf(ends, isTaskEndReport) &&
		(crashes === undefined || isArrayOf(crashes, isWorkerCrash)) &&
		(heldRuns === undefined || isArrayOf(heldRuns, isStartRef))
	);
}

/** Returns whether a message is a readable order to start tasks. */
export function isStartTasks(message: Message): message is StartTasksMessage {
	const { kind, sequence, sentAt, jobs } = message as Unchecked<StartTasksMessage>;
	return (
		kind === 'startTasks' &&
		isNumber(sequence) &&
		(sentAt === undefined || isWorkerTime(sentAt)) &&
		isArrayOf(jobs, isJobStart)
	);
}

/** Returns whether a message is a readable order to stop tasks. */
export function isStopTasks(message: Message): message is StopTasksMessage {
	const { kind, tasks } = message as Unchecked<StopTasksMessage>;
	return kind === 'stopTasks' && isArrayOf(tasks, isStartRef);
}

/** Returns whether a message is a readable cancellation. */
export function isCancelJob(message: Message): message is CancelJobMessage {
	const { kind, jobId } = message as Unchecked<CancelJobMessage>;
	return kind === 'cancelJob' && typeof jobId === 'string';
}

/** Returns whether a message is a readable list of cancellings. */
export function isCancelledJobs(message: Message): message is CancelledJobsMessage {
	const { kind, jobs } = message as Unchecked<CancelledJobsMessage>;
	return kind === 'cancelledJobs' && isArrayOf(jobs, isCancelledJob);
}

/** Returns whether a message is a readable list of crashes. */
export function isWorkerCrashes(message: Message): message is WorkerCrashesMessage {
	const { kind, crashes } = message as Unchecked<WorkerCrashesMessage>;
	return kind === 'workerCrashes' && isArrayOf(crashes, isWorkerCrash);
}

function isCancelledJob(value: unknown): value is CancelledJob {
	if (!isObject(value)) {
		return false;
	}
	const { jobId, agoMs } = value as Unchecked<CancelledJob>;
	return typeof jobId === 'string' && isNumber(agoMs) && agoMs >= 0;
}

function isWorkerCrash(value: unknown): value is WorkerCrash {
	if (!isObject(value)) {
		return false;
	}
	const { workerKey, agentId, pool, agoMs, runs } = value as Unchecked<WorkerCrash>;
	return (
		typeof workerKey === 'string' &&
		(agentId === undefined || typeof agentId === 'string') &&
		typeof pool === 'string' &&
		isNumber(agoMs) &&
		isArrayOf(runs, isCrashedRun)
	);
}

function isCrashedRun(value: unknown): value is CrashedRun {
	if (!isRunRef(value)) {
		return false;
	}
	const { route, ageMs, wasRunning } = value as Unchecked<CrashedRun>;
	return typeof route === 'string' && isNumber(ageMs) && typeof wasRunning === 'boolean';
}

function isWorkerState(value: unknown): value is WorkerState {
	if (!isObject(value)) {
		return false;
	}
	const state = value as Unchecked<WorkerState>;
	return (
		typeof state.workerId === 'string' &&
		(state.workerKey === undefined || typeof state.workerKey === 'string') &&
		(state.workerTime === undefined || isWorkerTime(state.workerTime)) &&
		typeof state.dataCentre === 'string' &&
		typeof state.pool === 'string' &&
		isArrayOf(state.labels, isString) &&
		isTaskNeeds(state.capacity) &&
		isTaskNeeds(state.used) &&
		typeof state.isCapacityGuessed === 'boolean' &&
		typeof state.isAccepting === 'boolean' &&
		isNumber(state.speed) &&
		state.speed > 0 &&
		(state.pace === undefined || isNumber(state.pace)) &&
		isNumber(state.failedEnds) &&
		isNumber(state.doneEnds) &&
		isNumber(state.failureStreak) &&
		isArrayOf(state.laggards, isStartRef)
	);
}

function isWorkerTime(value: unknown): value is WorkerTime {
	if (!isObject(value)) {
		return false;
	}
	const { incarnation, clockMs } = value as Unchecked<WorkerTime>;
	return isNumber(incarnation) && isNumber(clockMs);
}

function isTaskEndReport(value: unknown): value is TaskEndReport {
	return isStartRef(value) && runEnds.has((value as Unchecked<TaskEndReport>).end);
}

function isJobStart(value: unknown): value is JobStart {
	if (!isObject(value)) {
		return false;
	}
	const { jobId, route, pool, isCapacityEnforced, payload, needs, estimateMs, tasks } =
		value as Unchecked<JobStart>;
	return (
		typeof jobId === 'string' &&
		typeof route === 'string' &&
		typeof pool === 'string' &&
		typeof isCapacityEnforced === 'boolean' &&
		typeof payload === 'string' &&
		isTaskNeeds(needs) &&
		isNumber(estimateMs) &&
		isArrayOf(tasks, isTaskStart)
	);
}

function isRunRef(value: unknown): value is TaskRunRef {
	return isTaskRun(value) && typeof (value as Unchecked<TaskRunRef>).jobId === 'string';
}

function isStartRef(value: unknown): value is TaskStartRef {
	return isTaskStart(value) && isRunRef(value);
}

function isTaskStart(value: unknown): value is Omit<TaskStartRef, 'jobId'> {
	if (!isTaskRun(value)) {
		return false;
	}
	const { startId } = value as Unchecked<TaskStartRef>;
	return startId === undefined || Number.isSafeInteger(startId);
}

function isTaskRun(value: unknown): value is { readonly taskIndex: number; readonly run: number } {
	if (!isObject(value)) {
		return false;
	}
	const { taskIndex, run } = value as Unchecked<TaskRunRef>;
	return Number.isSafeInteger(taskIndex) && Number.isSafeInteger(run);
}

function isTaskNeeds(value: unknown): value is TaskNeeds {
	if (!isObject(value)) {
		return false;
	}
	const { cpuMillis, memoryMb, accelerators } = value as Unchecked<TaskNeeds>;
	return isNumber(cpuMillis) && isNumber(memoryMb) && isNumber(accelerators);
}

function isObject(value: unknown): value is object {
	return typeof value === 'object' && value !== null;
}

function isArrayOf<T>(value: unknown, isElement: (element: unknown) => element is T): value is readonly T[] {
	return Array.isArray(value) && value.every(isElement);
}

function isString(value: unknown): value is string {
	return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
	return Number.isFinite(value);
}
