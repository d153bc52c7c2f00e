/** Agents that an entry is, or was lately, connected to, with the runs that it has there. */

import {
	addNeeds,
	noNeeds,
	taskKeyOf,
	type AgentReportMessage,
	type JobStart,
	type TaskNeeds,
	type WorkerState,
} from './dispatchMessages.js';
import type { JobRow, TaskRow } from './jobTable.js';
import type { WorkerView } from './placement.js';
import { createHealthRecord, type HealthRecord } from './workerHealth.js';

/** A run of this entry at an agent. */
export interface AgentRun {
	readonly job: JobRow;
	readonly task: TaskRow;
}

/** One life of an agent. */
export interface AgentRow extends WorkerView {
	readonly incarnation: string;
	/** The open connection; `undefined` while it is lost. */
	linkId: number | undefined;
	state: WorkerState;
	hasState: boolean;
	readonly health: HealthRecord;
	unseen: TaskNeeds;
	/** Needs of each start message that the agent's state does not take into account yet. */
	readonly unseenBySequence: Map<number, TaskNeeds>;
	nextSequence: number;
	runCount: number;
	readonly runs: Map<string, AgentRun>;
	lostAtMs: number;
}

const unknownState: WorkerState = {
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

/** Table of agents by name and by connection. */
export class AgentTable {
	private readonly _agents = new Map<string, AgentRow>();
	private readonly _byLink = new Map<number, AgentRow>();

	/** All agents, connected or not. */
	get all(): IterableIterator<AgentRow> {
		return this._agents.values();
	}

	get(agentId: string): AgentRow | undefined {
		return this._agents.get(agentId);
	}

	byLink(linkId: number): AgentRow | undefined {
		return this._byLink.get(linkId);
	}

	/** Connected agents of a pool's workers that have reported. */
	inPool(pool: string): readonly AgentRow[] {
		return [...this._agents.values()].filter(
			({ state, linkId }) => linkId !== undefined && state.pool === pool,
		);
	}

	/** Takes a connection. Returns the agent's earlier life, when it began another one. */
	connect(linkId: number, agentId: string, incarnation: string): AgentRow | undefined {
		const known = this._agents.get(agentId);
		if (known?.linkId !== undefined) {
			this._byLink.delete(known.linkId);
		}
		if (known?.incarnation === incarnation) {
			known.linkId = linkId;
			known.unseenBySequence.clear();
			known.unseen = noNeeds;
			known.nextSequence = 1;
			this._byLink.set(linkId, known);
			return undefined;
		}
		const agent = createAgent(agentId, incarnation, linkId);
		this._agents.set(agentId, agent);
		this._byLink.set(linkId, agent);
		return known;
	}

	/** Takes the loss of a connection. Returns its agent, unless another connection has replaced it. */
	disconnect(linkId: number, nowMs: number): AgentRow | undefined {
		const agent = this._byLink.get(linkId);
		this._byLink.delete(linkId);
		if (agent?.linkId !== linkId) {
			return undefined;
		}
		agent.linkId = undefined;
		agent.lostAtMs = nowMs;
		agent.state = { ...agent.state, isAccepting: false };
		return agent;
	}

	/** Forgets an agent that was lost long ago. */
	forget(agent: AgentRow): void {
		if (agent.linkId === undefined && this._agents.get(agent.agentId) === agent) {
			this._agents.delete(agent.agentId);
		}
	}
}

/** Notes a run that is about to be sent. */
export function addRun(agent: AgentRow, job: JobRow, task: TaskRow): void {
	agent.runs.set(runKeyOf(job, task), { job, task });
	agent.runCount += 1;
	agent.unseen = addNeeds(agent.unseen, job.request.needs);
}

/** Forgets a run that has ended or is no longer followed. */
export function removeRun(agent: AgentRow, job: JobRow, task: TaskRow): void {
	if (agent.runs.delete(runKeyOf(job, task))) {
		agent.runCount -= 1;
	}
}

/** Key of a run in {@link AgentRow.runs}. */
export function runKeyOf(job: JobRow, task: TaskRow): string {
	return taskKeyOf({ jobId: job.request.jobId, taskIndex: task.taskIndex });
}

/** Numbers a message of starts, and keeps its needs until the agent's state takes them into account. */
export function numberStarts(agent: AgentRow, jobs: readonly JobStart[]): number {
	const sequence = agent.nextSequence;
	agent.nextSequence += 1;
	const needs = jobs.reduce((sum, job) => addNeeds(sum, job.needs, job.tasks.length), noNeeds);
	agent.unseenBySequence.set(sequence, needs);
	return sequence;
}

/** Takes the state of a report. */
export function takeState(agent: AgentRow, state: WorkerState, report: AgentReportMessage): void {
	agent.state = state;
	agent.hasState = true;
	for (const sequence of agent.unseenBySequence.keys()) {
		if (sequence <= report.handledSequence) {
			agent.unseenBySequence.delete(sequence);
		}
	}
	agent.unseen = [...agent.unseenBySequence.values()].reduce((sum, needs) => addNeeds(sum, needs), noNeeds);
}

function createAgent(agentId: string, incarnation: string, linkId: number): AgentRow {
	return {
		agentId,
		incarnation,
		linkId,
		state: unknownState,
		hasState: false,
		health: createHealthRecord(),
		unseen: noNeeds,
		unseenBySequence: new Map(),
		nextSequence: 1,
		runCount: 0,
		runs: new Map(),
		lostAtMs: 0,
	};
}
