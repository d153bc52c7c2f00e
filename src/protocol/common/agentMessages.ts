/** Messages between entries and agents. The agent connects to every live entry that the keepers name. */

import type { TaskIdentity, TaskNeeds } from './jobs.js';

/** What an upstream announced to its agent. */
export interface UpstreamOffer {
	readonly pool: string;
	/** Tasks that may run at the same time. */
	readonly slots: number;
	/** HTTP connections that the upstream takes at the same time. */
	readonly connections: number;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
}

/** What an agent knows about a task. */
export type KnownTaskState = 'queued' | 'running' | 'done' | 'failed' | 'stopped' | 'fenced' | 'unknown';

/** A task that an agent has heard of, told to an entry that may have to take it over. */
export interface KnownTask extends TaskIdentity {
	readonly state: KnownTaskState;
}

/** First message of an agent on each connection, and again when what it offers has changed. */
export interface AgentStateMessage {
	readonly kind: 'agentState';
	/** Revision of the tables that the agent has in force. */
	readonly revision: number;
	readonly dataCentre: string;
	readonly rack: string;
	/** Absent when no upstream is announced: nothing may be started. */
	readonly offer?: UpstreamOffer | undefined;
	/** Whether the upstream or the agent is leaving; no new start is taken. */
	readonly isLeaving: boolean;
	/** Highest epoch of a home entry that the agent has obeyed. */
	readonly epoch: number;
	/** Tasks that are queued, running or remembered; sent only in the first message of a connection. */
	readonly knownTasks: readonly KnownTask[];
}

/** A task to start. */
export interface TaskStart {
	readonly taskIndex: number;
	readonly payloadJson: string;
}

/** Tasks of one submission to start. */
export interface StartBatch {
	readonly submissionId: string;
	readonly route: string;
	readonly team: string;
	readonly needs: TaskNeeds;
	/** Time from receipt within which the tasks must have been started; later they are answered `notStarted`. */
	readonly startWithinMs: number;
	/** Time from receipt after which a running task loses its lease and is stopped. */
	readonly leaseMs: number;
	readonly tasks: readonly TaskStart[];
}

/** Asks an agent to start tasks, in order, as slots fall free. */
export interface StartTasksMessage {
	readonly kind: 'startTasks';
	readonly revision: number;
	/** Epoch under which the sender is the pool's home; an agent that knows a later one refuses. */
	readonly epoch: number;
	readonly batches: readonly StartBatch[];
}

/** Asks an agent to drop queued tasks and stop running ones; one message an agent a tick. */
export interface CancelTasksMessage {
	readonly kind: 'cancelTasks';
	readonly revision: number;
	readonly tasks: readonly TaskIdentity[];
}

/** Asks an agent what became of tasks whose starts may be lost; it fences those that it never heard of. */
export interface FenceTasksMessage {
	readonly kind: 'fenceTasks';
	readonly revision: number;
	readonly epoch: number;
	readonly tasks: readonly TaskIdentity[];
}

/** Tells an agent which outcomes have arrived, so that it may forget the results (not the identities). */
export interface AcknowledgeOutcomesMessage {
	readonly kind: 'acknowledgeOutcomes';
	readonly revision: number;
	readonly tasks: readonly TaskIdentity[];
}

/** Why a task was not started. */
export type NotStartedReason =
	| 'leaving'
	| 'noUpstream'
	| 'olderEpoch'
	| 'queueFull'
	| 'startTimePassed'
	| 'cancelled'
	| 'fenced'
	| 'otherPool'
	| 'doesNotFit';

/** How a task ended. */
export type TaskEnd =
	/** The upstream answered with a result. */
	| { readonly state: 'done'; readonly resultJson: string; readonly runMs: number }
	/** The upstream ran the task and answered that it failed. */
	| { readonly state: 'failed'; readonly message: string; readonly runMs: number }
	/** The task was running and was stopped. */
	| { readonly state: 'stopped'; readonly message: string; readonly runMs: number }
	/** The task never started and never will at this agent: only it may be placed elsewhere. */
	| { readonly state: 'notStarted'; readonly reason: NotStartedReason }
	/** The task may or may not have run. */
	| { readonly state: 'unknown'; readonly message: string };

/** How one task ended. */
export interface TaskOutcome extends TaskIdentity {
	readonly end: TaskEnd;
}

/** Tells the entry that sent the starts how tasks ended. */
export interface TaskOutcomesMessage {
	readonly kind: 'taskOutcomes';
	readonly revision: number;
	readonly outcomes: readonly TaskOutcome[];
}

/** Messages that an entry sends to an agent. */
export type EntryToAgentMessage =
	StartTasksMessage | CancelTasksMessage | FenceTasksMessage | AcknowledgeOutcomesMessage;

/** Messages that an agent sends to an entry. */
export type AgentToEntryMessage = AgentStateMessage | TaskOutcomesMessage;
