/** Inputs and outputs of a tick of the agent's core, as plain data. */

import type { Tables } from '../../declarations/common/tables.js';
import type { TableScope } from '../../protocol/common/keeperMessages.js';
import type { AgentToEntryMessage, EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { TaskIdentity, TaskNeeds } from '../../protocol/common/jobs.js';
import type { LogFields } from '../../services/log/common/log.js';
import type { Announcement } from './announcement.js';
import type { TaskUsage } from './taskRecord.js';

/** End of a run, as reported by the platform. */
export type RunEnd =
	| { readonly state: 'done'; readonly resultJson: string; readonly usage?: TaskUsage | undefined }
	| { readonly state: 'failed'; readonly message: string; readonly usage?: TaskUsage | undefined }
	/** The upstream confirmed that it stopped the task. */
	| { readonly state: 'stopped' }
	/** The task has certainly not started. `unreachable`: nothing listens at the upstream's address. */
	| { readonly state: 'notStarted'; readonly cause: 'refused' | 'unreachable' }
	/** The connection was lost after the request may have been sent. */
	| { readonly state: 'lost'; readonly message: string };

/** Measured resource use of one task. */
export interface UsageSample extends TaskIdentity {
	readonly cores: number;
	readonly memoryBytes: number;
	/** Time between the measurement and the sample's arrival. */
	readonly ageMs: number;
}

/** Report of the platform to the core. */
export type PlatformReport =
	| { readonly kind: 'runEnded'; readonly runId: number; readonly end: RunEnd }
	| { readonly kind: 'usageSampled'; readonly samples: readonly UsageSample[] };

/** Input of a tick. */
export type AgentInput =
	| {
			readonly kind: 'entryConnected';
			readonly connectionId: number;
			readonly entryId: string;
			readonly incarnation: string;
	  }
	| { readonly kind: 'entryClosed'; readonly connectionId: number }
	| {
			readonly kind: 'entryMessage';
			readonly connectionId: number;
			readonly message: EntryToAgentMessage;
			/** Upper bound of the age of the agent's tables when the message arrived. */
			readonly tablesAgeMs: number;
	  }
	| { readonly kind: 'announced'; readonly announcement: Announcement }
	| { readonly kind: 'withdrawn' }
	| {
			readonly kind: 'tablesChanged';
			readonly tables: Tables;
			/** Subset of the rows that the tables hold; absent when they hold all rows. */
			readonly scope?: TableScope | undefined;
	  }
	/** The agent received its first directory of entries since it started. */
	| { readonly kind: 'directorySeen'; readonly epoch: number }
	| { readonly kind: 'drainAsked' }
	| PlatformReport;

/** Run of a task that the platform has to start. */
export interface TaskRun extends TaskIdentity {
	readonly runId: number;
	readonly route: string;
	readonly team: string;
	readonly needs: TaskNeeds;
	readonly payloadJson: string;
	/** Remaining time of the task's lease. */
	readonly leaseMs: number;
}

/** Command from the core to the platform. */
export type PlatformCommand =
	/** Sends all later starts to the upstream at this address. */
	| { readonly kind: 'useUpstream'; readonly address: string; readonly connections: number }
	| { readonly kind: 'startRun'; readonly run: TaskRun }
	| { readonly kind: 'stopRun'; readonly runId: number }
	/** Stops waiting for a run whose end is already recorded. */
	| { readonly kind: 'abandonRun'; readonly runId: number }
	| { readonly kind: 'throttleRun'; readonly runId: number; readonly share: number }
	| { readonly kind: 'checkpointRun'; readonly runId: number }
	| { readonly kind: 'sampleUsage' };

/** Output of a tick. */
export type AgentOutput =
	| { readonly kind: 'send'; readonly connectionId: number; readonly message: AgentToEntryMessage }
	| {
			readonly kind: 'log';
			readonly level: 'info' | 'warn';
			readonly event: string;
			readonly fields: LogFields;
	  }
	| PlatformCommand;
