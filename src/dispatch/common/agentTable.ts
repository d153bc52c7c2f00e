/** Tracks the agents that an entry is or was recently connected to, and the entry's runs at each of them. */

import {
	addNeeds,
	noNeeds,
	getTaskKey,
	type AgentReportMessage,
	type JobStart,
	type TaskNeeds,
	type TaskStartRef,
	type WorkerState,
	type WorkerTime,
} from './dispatchMessages.js';
import type { JobRow, TaskRow } from './jobTable.js';
import type { WorkerView } from './placement.js';
import { createHealthRecord, type HealthRecord } from './workerHealth.js';

/** A run that this entry has sent to an agent. */
export interface AgentRun {
	readonly job: JobRow;
	readonly task: TaskRow;
}

/** State of one incarnation of an agent. */
export interface AgentRow extends WorkerView {
	readonly incarnation: string;
	/** ID of the open connection; `undefined` while the agent is disconnected. */
	connectionId: number | undefined;
	state: WorkerState;
	/** Whether a state was received from this incarnation. */
	hasReported: boolean;
	/** Time at which the state was received. */
	reportedAtMs: number;
	readonly health: HealthRecord;
	unreportedNeeds: TaskNeeds;
	/** Needs of each start message that the agent's state does not include yet, by the message's sequence number. */
	readonly unreportedNeedsBySequence: Map<number, TaskNeeds>;
	nextStartSequence: number;
	runCount: number;
	/** Runs by {@link getRunKey}. */
	readonly runs: Map<string, AgentRun>;
	/** Incarnation of the worker that the agent's earlier incarnation had last reported; absent once it is resolved. */
	earlierWorkerKey: string | undefined;
	/** Time of the last disconnection. */
	lostAtMs: number;
}

const stateBeforeFirstReport: WorkerState = {
	workerId: '',
	dataCentre: '',
	pool: '',
	labels: [],
	capacity: noNeeds,
	isCapacityGuessed: true,
	used: noNeeds,
	isAccepting: false,
	speed: 1,
	failedEnds: 0,
	doneEnds: 0,
	failureStreak: 0,
	laggards: [],
};

/** Holds agents by ID and by connection. */
export class AgentTable {
	private readonly _agents = new Map<string, AgentRow>();
	private readonly _byConnection = new Map<number, AgentRow>();

	/** All agents, connected or not. */
	get all(): IterableIterator<AgentRow> {
		return this._agents.values();
	}

	get(agentId: string): AgentRow | undefined {
		return this._agents.get(agentId);
	}

	getByConnection(connectionId: number): AgentRow | undefined {
		return this._byConnection.get(connectionId);
	}

	/** Returns the connected agents whose reported worker belongs to a pool. */
	getConnectedInPool(pool: string): readonly AgentRow[] {
		return [...this._agents.values()].filter(
			({ state, connectionId }) => connectionId !== undefined && state.pool === pool,
		);
	}

	/** Records a connection. Returns the agent's earlier incarnation when the agent has restarted. */
	connect(connectionId: number, agentId: string, incarnation: string): AgentRow | undefined {
		const known = this._agents.get(agentId);
		if (known?.connectionId !== undefined) {
			this._byConnection.delete(known.connectionId);
		}
		if (known?.incarnation === incarnation) {
			known.connectionId = connectionId;
			known.unreportedNeedsBySequence.clear();
			known.unreportedNeeds = noNeeds;
			known.nextStartSequence = 1;
			this._byConnection.set(connectionId, known);
			return undefined;
		}
		const agent = createAgent(agentId, incarnation, connectionId);
		agent.earlierWorkerKey = known?.state.workerKey;
		this._agents.set(agentId, agent);
		this._byConnection.set(connectionId, agent);
		return known;
	}

	/** Records the loss of a connection. Returns its agent, unless a newer connection has replaced it. */
	disconnect(connectionId: number, nowMs: number): AgentRow | undefined {
		const agent = this._byConnection.get(connectionId);
		this._byConnection.delete(connectionId);
		if (agent?.connectionId !== connectionId) {
			return undefined;
		}
		agent.connectionId = undefined;
		agent.lostAtMs = nowMs;
		agent.state = { ...agent.state, isAccepting: false };
		return agent;
	}

	/** Removes and returns the runs of a job at each agent. */
	takeRunsOfJob(job: JobRow): ReadonlyMap<AgentRow, readonly TaskStartRef[]> {
		const runsByAgent = new Map<AgentRow, TaskStartRef[]>();
		for (const task of job.tasks) {
			const agent = this._agents.get(task.agentId);
			if (agent?.runs.has(getRunKey(job, task)) === true) {
				removeRun(agent, job, task);
				const runs = runsByAgent.get(agent) ?? [];
				const { taskIndex, run, startId } = task;
				runs.push({ jobId: job.request.jobId, taskIndex, run, startId });
				runsByAgent.set(agent, runs);
			}
		}
		return runsByAgent;
	}

	/** Removes an agent that is not connected. */
	removeDisconnected(agent: AgentRow): void {
		if (agent.connectionId === undefined && this._agents.get(agent.agentId) === agent) {
			this._agents.delete(agent.agentId);
		}
	}
}

/** Records a run that is about to be sent. */
export function addRun(agent: AgentRow, job: JobRow, task: TaskRow): void {
	agent.runs.set(getRunKey(job, task), { job, task });
	agent.runCount += 1;
	agent.unreportedNeeds = addNeeds(agent.unreportedNeeds, job.request.needs);
}

/** Removes a run that has ended or is no longer tracked. */
export function removeRun(agent: AgentRow, job: JobRow, task: TaskRow): void {
	if (agent.runs.delete(getRunKey(job, task))) {
		agent.runCount -= 1;
	}
}

/** Marks the runs of an agent that can't be reached as possibly running until a time. */
export function markRunsInDoubt(agent: AgentRow, untilMs: number): void {
	for (const { task } of agent.runs.values()) {
		if (task.phase === 'placed' || task.phase === 'stopping') {
			task.phase = 'inDoubt';
			task.inDoubtUntilMs = untilMs;
		}
	}
}

/** Returns the key of a run in {@link AgentRow.runs}. */
export function getRunKey(job: JobRow, task: TaskRow): string {
	return getTaskKey({ jobId: job.request.jobId, taskIndex: task.taskIndex });
}

/** Assigns the sequence number of a start message, and records its needs until the agent's state includes them. */
export function assignStartSequence(agent: AgentRow, jobs: readonly JobStart[]): number {
	const sequence = agent.nextStartSequence;
	agent.nextStartSequence += 1;
	const needs = jobs.reduce((sum, job) => addNeeds(sum, job.needs, job.tasks.length), noNeeds);
	agent.unreportedNeedsBySequence.set(sequence, needs);
	return sequence;
}

/** Estimates the present time by the worker's clock from the agent's last report. */
export function estimateWorkerTime(agent: AgentRow, nowMs: number): WorkerTime | undefined {
	const { workerTime } = agent.state;
	return workerTime === undefined
		? undefined
		: { ...workerTime, clockMs: Math.floor(workerTime.clockMs + nowMs - agent.reportedAtMs) };
}

/** Applies a reported state, and drops the needs of the start messages that it includes. */
export function applyReportedState(
	agent: AgentRow,
	state: WorkerState,
	report: AgentReportMessage,
	nowMs: number,
): void {
	agent.state = state;
	agent.reportedAtMs = nowMs;
	agent.hasReported = true;
	for (const sequence of agent.unreportedNeedsBySequence.keys()) {
		if (sequence <= report.handledSequence) {
			agent.unreportedNeedsBySequence.delete(sequence);
		}
	}
	agent.unreportedNeeds = [...agent.unreportedNeedsBySequence.values()].reduce(
		(sum, needs) => addNeeds(sum, needs),
		noNeeds,
	);
}

function createAgent(agentId: string, incarnation: string, connectionId: number): AgentRow {
	return {
		agentId,
		incarnation,
		connectionId,
		state: stateBeforeFirstReport,
		hasReported: false,
		reportedAtMs: 0,
		health: createHealthRecord(),
		unreportedNeeds: noNeeds,
		unreportedNeedsBySequence: new Map(),
		nextStartSequence: 1,
		runCount: 0,
		runs: new Map(),
		earlierWorkerKey: undefined,
		lostAtMs: 0,
	};
}
