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
	/**
	 * Tasks that are queued, running, or ended with an outcome that was not acknowledged; sent only in the first
	 * message of a connection. Identities that are merely remembered are left out; `fenceTasks` asks for those.
	 */
	readonly knownTasks: readonly KnownTask[];
}

/** A task to start. */
export interface TaskStart {
	readonly taskIndex: number;
	readonly payloadJson: string;
	/**
	 * Counts the placements of the task; 0 when absent. A task that an agent answered `notStarted` is fenced there up
	 * to this number: only a start with a greater one may run it there. A home derives the number from its epoch
	 * (such as `epoch * 2 ** 20 + placement`), so that an earlier home can never exceed a later one.
	 */
	readonly attempt?: number | undefined;
}

/** A run of an entry. */
export interface EntryRun {
	readonly entryId: string;
	readonly incarnation: string;
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
	/**
	 * Entry that the job's only reader waits at, when the sender got the job from it and it has one task. The agent
	 * tells it a result at the same time as the sender, who then need not pass it on.
	 */
	readonly answerTo?: EntryRun | undefined;
	readonly tasks: readonly TaskStart[];
}

/** Asks an agent to start tasks, in order, as slots fall free. */
export interface StartTasksMessage {
	readonly kind: 'startTasks';
	readonly revision: number;
	/** Epoch under which the sender is the pool's home; an agent that knows a later one refuses. */
	readonly epoch: number;
	/**
	 * Greatest possible age of the sender's tables. When both it and the agent's own exceed the agent's limit, neither
	 * would know of a drain, and the agent refuses. Absent: the sender vouches for its own freshness, as tests do;
	 * entries always send it.
	 */
	readonly ageMs?: number | undefined;
	readonly batches: readonly StartBatch[];
}

/** Asks an agent to drop queued tasks and stop running ones; one message an agent a tick. */
export interface CancelTasksMessage {
	readonly kind: 'cancelTasks';
	readonly revision: number;
	/** Tasks that the agent never heard of are fenced up to this attempt; for every attempt when absent. */
	readonly attempt?: number | undefined;
	readonly tasks: readonly TaskIdentity[];
}

/**
 * Asks an agent what became of tasks whose starts may be lost. It fences those that it never heard of and those
 * that are still queued, answers with what is known of ended ones, and answers running ones when they end.
 */
export interface FenceTasksMessage {
	readonly kind: 'fenceTasks';
	readonly revision: number;
	readonly epoch: number;
	/**
	 * Incarnation of the agent that the starts were sent to. An agent of another incarnation has no memory of them
	 * and answers `unknown` for those that it never heard of. Absent: this incarnation.
	 */
	readonly agentIncarnation?: string | undefined;
	/** Fences attempts up to this one; every attempt when absent. */
	readonly attempt?: number | undefined;
	readonly tasks: readonly TaskIdentity[];
}

/**
 * Tells an agent that the sender is the home of its pool under an epoch. The agent refuses starts under an earlier
 * epoch from then on, and answers with the submissions that it has heard of: those are all that an earlier home can
 * have started there.
 */
export interface AssumeHomeMessage {
	readonly kind: 'assumeHome';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
}

/** Answers `assumeHome`; not sent by an agent whose upstream is of another pool. */
export interface KnownSubmissionsMessage {
	readonly kind: 'knownSubmissions';
	readonly revision: number;
	/** Epoch of the question. */
	readonly epoch: number;
	readonly pool: string;
	readonly submissionIds: readonly string[];
}

/**
 * Tells an agent which outcomes have arrived, so that it may forget the results (not the identities). To be sent
 * before a greater attempt of the same task.
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
	/** The upstream itself refused, or could not be connected to, before anything was sent to it. */
	| 'upstreamRefused'
	/** The connection that the start came on was lost while the task was queued. */
	| 'connectionLost'
	/** Neither the sender's tables nor the agent's are fresh enough to rule out a drain. */
	| 'staleTables'
	/** The agent remembers as many identities as it may; forgetting one early could start a task twice. */
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
	 * The task never started and never will at this agent under attempts up to `attempt` (all of them when it is
	 * absent): only it may be placed elsewhere. A sender of attempts must ignore an answer to an earlier attempt than
	 * its latest, such as one to a doubled start.
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
	/** Present when the receiver did not send the start, but is the entry that the batch names to answer to. */
	readonly isDirectAnswer?: true | undefined;
	/** Entry that is told directly in the same tick, so that the receiver need not pass the result on. */
	readonly answeredEntry?: EntryRun | undefined;
}

/** What tasks of a route were measured to use at one worker. */
export interface RouteUsage {
	readonly route: string;
	readonly cores: number;
	readonly memoryBytes: number;
}

/**
 * Tells the entry that sent the starts how tasks ended. After a reconnect, ends that were not acknowledged are told
 * again, but for `notStarted`: an entry asks by `fenceTasks` what became of tasks whose answers may be lost.
 */
export interface TaskOutcomesMessage {
	readonly kind: 'taskOutcomes';
	readonly revision: number;
	readonly outcomes: readonly TaskOutcome[];
	/** Tasks, of all entries, that are queued or running at the agent; for policies that place by cached load. */
	readonly openTasks?: number | undefined;
	/** Estimates that were not told on this connection before; absent when there is nothing new. */
	readonly usage?: readonly RouteUsage[] | undefined;
}

/** Messages that an entry sends to an agent. */
export type EntryToAgentMessage =
	StartTasksMessage | CancelTasksMessage | FenceTasksMessage | AssumeHomeMessage | AcknowledgeOutcomesMessage;

/** Messages that an agent sends to an entry. */
export type AgentToEntryMessage = AgentStateMessage | TaskOutcomesMessage | KnownSubmissionsMessage;
