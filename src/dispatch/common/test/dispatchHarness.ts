/** Dispatch core with a recording host for tests. */

import type { ExecutionContext } from 'ava';
import { DispatchCore } from '../dispatchCore.js';
import type {
	AgentReportMessage,
	StartTasksMessage,
	StopTasksMessage,
	TaskEndReport,
	TaskStartRef,
	WorkerState,
} from '../dispatchMessages.js';
import type { JobOutcome, JobRequest } from '../jobs.js';

/** Longest time that an agent's runs may continue after its connection is lost. */
export const orphanLifetimeMs = 1500;

/** Entry's core; messages to agents and outcomes are recorded. */
export class Harness {
	nowMs = 0;
	readonly sent: { readonly connectionId: number; readonly message: StartTasksMessage | StopTasksMessage }[] =
		[];
	readonly outcomes: JobOutcome[] = [];
	readonly core: DispatchCore;

	/** Creates a core that was started at a time; by default long ago. */
	constructor(startedAtMs = -10_000) {
		this.core = new DispatchCore(
			{
				send: (connectionId, message) => {
					this.sent.push({ connectionId, message });
				},
				log: () => undefined,
				entryCount: () => 1,
				random: () => 0.5,
			},
			{ orphanLifetimeMs },
			startedAtMs,
		);
	}

	connect(connectionId: number, agentId: string, incarnation = 'life-1'): void {
		this.core.handleAgentConnected(connectionId, agentId, incarnation, this.nowMs);
	}

	report(
		connectionId: number,
		change: Partial<AgentReportMessage> = {},
		state: Partial<WorkerState> = {},
	): void {
		this.core.handleReport(
			connectionId,
			{ kind: 'agentReport', handledSequence: 1e9, ends: [], state: createState(state), ...change },
			this.nowMs,
		);
		this.core.schedule(this.nowMs);
	}

	reportEnd(connectionId: number, end: TaskEndReport): void {
		this.report(connectionId, { ends: [end] });
	}

	submit(change: Partial<JobRequest> = {}): () => void {
		const disconnectCaller = this.core.submit(
			createRequest(change),
			(outcome) => {
				this.outcomes.push(outcome);
			},
			this.nowMs,
		);
		this.core.schedule(this.nowMs);
		return disconnectCaller;
	}

	advance(byMs: number): void {
		this.nowMs += byMs;
		this.core.schedule(this.nowMs);
	}

	/** Returns the runs whose start was sent on a connection, in order. */
	getStartedRuns(connectionId: number): TaskStartRef[] {
		return this.sent.flatMap(({ connectionId: to, message }) =>
			to === connectionId && message.kind === 'startTasks'
				? message.jobs.flatMap(({ jobId, tasks }) => tasks.map((task) => ({ jobId, ...task })))
				: [],
		);
	}

	/** Returns the runs whose stop was sent on a connection, in order. */
	getStoppedRuns(connectionId: number): TaskStartRef[] {
		return this.sent.flatMap(({ connectionId: to, message }) =>
			to === connectionId && message.kind === 'stopTasks' ? [...message.tasks] : [],
		);
	}
}

function createState(change: Partial<WorkerState>): WorkerState {
	return {
		workerId: 'w',
		dataCentre: 'a',
		pool: 'pool',
		labels: ['a', 'r1'],
		capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
		isCapacityGuessed: false,
		used: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
		isAccepting: true,
		speed: 1,
		pace: undefined,
		failedEnds: 0,
		doneEnds: 0,
		failureStreak: 0,
		laggards: [],
		...change,
	};
}

/** Creates a request of one task that needs half of a worker. */
export function createRequest(change: Partial<JobRequest>): JobRequest {
	return {
		jobId: 'job-1',
		route: 'route',
		pool: 'pool',
		payload: 'x',
		isCapacityEnforced: true,
		taskCount: 1,
		needs: { cpuMillis: 4000, memoryMb: 100, accelerators: 0 },
		awayFactor: 1.5,
		estimateMs: 300,
		priority: 0,
		maxAttempts: 2,
		stretch: 1.6,
		objectiveMs: 60,
		waitMs: 5000,
		...change,
	};
}

/** Creates a harness with the agents 1 and 2 on the connections 1 and 2. */
export function createHarnessWithTwoAgents(): Harness {
	const harness = new Harness();
	for (const connectionId of [1, 2]) {
		harness.connect(connectionId, `agent-${connectionId}`);
		harness.report(connectionId);
	}
	return harness;
}

/** Returns the connection on which the only start was sent, and the other one. */
export function findStartedConnections(t: ExecutionContext, harness: Harness): readonly [number, number] {
	const first = harness.getStartedRuns(1).length > 0 ? 1 : 2;
	t.is(harness.getStartedRuns(first).length, 1);
	return [first, 3 - first];
}
