/** Messages between entries and agents. Each agent connects to every entry in the keepers' directory. */

import type { TaskIdentity, TaskNeeds } from './jobs.js';

/** Capacity that an upstream announced to its agent. */
export interface UpstreamOffer {
	readonly pool: string;
	/** Number of tasks that may run at the same time. */
	readonly slots: number;
	/** Number of HTTP connections that the upstream accepts at the same time. */
	readonly connections: number;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
}

/** State of a task at an agent. */
export type KnownTaskState = 'queued' | 'running' | 'done' | 'failed' | 'stopped' | 'fenced' | 'unknown';

/** A task that an agent knows, reported to an entry that may have to take it over. */
export interface KnownTask extends TaskIdentity {
	readonly state: KnownTaskState;
}

/** Describes an agent. Sent first on each connection, and again when its revision, offer or `isLeaving` changes. */
export interface AgentStateMessage {
	readonly kind: 'agentState';
	/** Revision of the tables that are in force at the agent. */
	readonly revision: number;
	readonly dataCentre: string;
	readonly rack: string;
	/** Absent if no upstream is announced; then no task may be started. */
	readonly offer?: UpstreamOffer | undefined;
	/** Whether the upstream or the agent is leaving, so that the agent accepts no new starts. */
	readonly isLeaving: boolean;
	/** Highest epoch under which the agent has accepted an entry as the home of its pool. */
	readonly epoch: number;
	/**
	 * Tasks that are queued, running, or ended with an unacknowledged outcome; sent only in the first message of a
	 * connection. Tasks of which only the identity is kept are left out; `fenceTasks` queries those.
	 */
	readonly knownTasks: readonly KnownTask[];
}

/** A task to start. */
export interface TaskStart {
	readonly taskIndex: number;
	readonly payloadJson: string;
	/**
	 * Number of the task's placement; 0 if absent. A task for which an agent has answered `notStarted` is fenced there
	 * up to this number: the agent starts it only under a greater one. A home derives the number from its epoch (such
	 * as `epoch * 2 ** 20 + placement`), so that the numbers of an earlier home never exceed those of a later one.
	 */
	readonly attempt?: number | undefined;
}

/** One run of an entry's process. */
export interface EntryRun {
	readonly entryId: string;
	readonly incarnation: string;
}

/** The tasks to start from one submission. */
export interface StartBatch {
	readonly submissionId: string;
	readonly route: string;
	readonly team: string;
	readonly needs: TaskNeeds;
	/** Time after receipt within which the tasks must start; those that have not are answered `notStarted`. */
	readonly startWithinMs: number;
	/** Time after receipt at which the lease of a running task ends and the task is stopped. */
	readonly leaseMs: number;
	/**
	 * Entry at which the job's only reader waits; present if that entry relayed the job to the sender and the job has
	 * one task. The agent sends a result to both entries at the same time, so that the sender need not pass it on.
	 */
	readonly answerTo?: EntryRun | undefined;
	readonly tasks: readonly TaskStart[];
}

/** Asks an agent to start tasks, in order, as slots become free. */
export interface StartTasksMessage {
	readonly kind: 'startTasks';
	readonly revision: number;
	/** Epoch under which the sender is the pool's home. An agent that knows a later epoch refuses the starts. */
	readonly epoch: number;
	/**
	 * Upper bound of the age of the sender's tables. If both this and the age of the agent's tables exceed the agent's
	 * limit, neither process would know of a drain, and the agent refuses the starts. If absent, the sender's tables
	 * count as fresh; entries always send it, and only tests leave it out.
	 */
	readonly ageMs?: number | undefined;
	readonly batches: readonly StartBatch[];
}

/** Asks an agent to drop queued tasks and stop running ones. An entry sends one message per agent and tick. */
export interface CancelTasksMessage {
	readonly kind: 'cancelTasks';
	readonly revision: number;
	/** Tasks that the agent doesn't know are fenced up to this attempt, or for every attempt if absent. */
	readonly attempt?: number | undefined;
	readonly tasks: readonly TaskIdentity[];
}

/**
 * Asks an agent for the outcome of tasks whose starts may be lost. The agent fences the tasks that it doesn't know and
 * those that are still queued. It answers with what it knows about ended tasks, and answers running ones when they end.
 */
export interface FenceTasksMessage {
	readonly kind: 'fenceTasks';
	readonly revision: number;
	readonly epoch: number;
	/**
	 * Incarnation of the agent to which the starts were sent; the current one if absent. An agent of another incarnation
	 * has no record of them, and answers `unknown` for those that it doesn't know.
	 */
	readonly agentIncarnation?: string | undefined;
	/** Attempt up to which the tasks are fenced; every attempt if absent. */
	readonly attempt?: number | undefined;
	readonly tasks: readonly TaskIdentity[];
}

/**
 * Tells an agent that the sender is the home of its pool under an epoch. From then on the agent refuses starts under
 * earlier epochs. It answers with the submissions that it knows, which include all that an earlier home can have
 * started there.
 */
export interface AssumeHomeMessage {
	readonly kind: 'assumeHome';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
}

/** Answers `assumeHome`. Not sent by an agent whose upstream belongs to another pool. */
export interface KnownSubmissionsMessage {
	readonly kind: 'knownSubmissions';
	readonly revision: number;
	/** Epoch of the `assumeHome` message. */
	readonly epoch: number;
	readonly pool: string;
	readonly submissionIds: readonly string[];
}

/**
 * Tells an agent which outcomes have arrived, so that it may discard the results but not the identities. Must be sent
 * before a start of the same task with a greater attempt.
 */
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
	| 'doesNotFit'
	/** The upstream refused the task, or a connection to it failed, before anything was sent to it. */
	| 'upstreamRefused'
	/** The connection on which the start arrived was lost while the task was queued. */
	| 'connectionLost'
	/** Neither the sender's tables nor the agent's are fresh enough to rule out a drain. */
	| 'staleTables'
	/** The agent has reached its limit of remembered identities. Forgetting one early could start a task twice. */
	| 'identitiesFull';

/** How a task ended. */
export type TaskEnd =
	/** The upstream answered with a result. */
	| { readonly state: 'done'; readonly resultJson: string; readonly runMs: number }
	/** The upstream ran the task and answered that it failed. */
	| { readonly state: 'failed'; readonly message: string; readonly runMs: number }
	/** The task was running and was stopped. */
	| { readonly state: 'stopped'; readonly message: string; readonly runMs: number }
	/**
	 * The task has not started and never will at this agent under attempts up to `attempt` (all attempts if absent).
	 * Only a task that ended in this state may be placed elsewhere. A sender of attempts must ignore an answer to an
	 * earlier attempt than its latest, such as the answer to a duplicated start.
	 */
	| {
			readonly state: 'notStarted';
			readonly reason: NotStartedReason;
			readonly attempt?: number | undefined;
	  }
	/** The task may or may not have run. */
	| { readonly state: 'unknown'; readonly message: string };

/** How one task ended. */
export interface TaskOutcome extends TaskIdentity {
	readonly end: TaskEnd;
	/** Present if the receiver did not send the start, but is the entry in {@link StartBatch.answerTo}. */
	readonly isDirectAnswer?: true | undefined;
	/** Entry that receives the result directly in the same tick, so that the receiver need not pass it on. */
	readonly answeredEntry?: EntryRun | undefined;
}

/** Measured resource usage of a route's tasks at one worker. */
export interface RouteUsage {
	readonly route: string;
	readonly cores: number;
	readonly memoryBytes: number;
}

/**
 * Tells the entry that sent the starts, and the one in {@link StartBatch.answerTo}, how tasks ended. After a reconnect,
 * unacknowledged ends are sent again, except `notStarted`: an entry sends `fenceTasks` for tasks whose answers may be
 * lost.
 */
export interface TaskOutcomesMessage {
	readonly kind: 'taskOutcomes';
	readonly revision: number;
	readonly outcomes: readonly TaskOutcome[];
	/** Number of tasks of all entries that are queued or running at the agent; for policies that place by cached load. */
	readonly openTasks?: number | undefined;
	/** Estimates that were not yet sent on this connection; absent if there are none. */
	readonly usage?: readonly RouteUsage[] | undefined;
}

/** Messages that an entry sends to an agent. */
export type EntryToAgentMessage =
	StartTasksMessage | CancelTasksMessage | FenceTasksMessage | AssumeHomeMessage | AcknowledgeOutcomesMessage;

/** Messages that an agent sends to an entry. */
export type AgentToEntryMessage = AgentStateMessage | TaskOutcomesMessage | KnownSubmissionsMessage;
