/** Messages between entries: whole jobs travel to the home entry of their pool, and whole answers travel back. */

import type { JobAnswer, JobSubmission } from './jobs.js';

/** Hands whole jobs to the pool's home. */
export interface RelayJobsMessage {
	readonly kind: 'relayJobs';
	readonly revision: number;
	readonly epoch: number;
	readonly jobs: readonly JobSubmission[];
}

/** The whole answer to a relayed job. */
export interface RelayAnswer {
	readonly submissionId: string;
	readonly answer: JobAnswer;
}

/** Answers to relayed jobs. */
export interface RelayAnswersMessage {
	readonly kind: 'relayAnswers';
	readonly revision: number;
	readonly answers: readonly RelayAnswer[];
}

/** Cancels relayed jobs whose reader has gone. */
export interface RelayCancelMessage {
	readonly kind: 'relayCancel';
	readonly revision: number;
	readonly submissionIds: readonly string[];
}

/** Passes on cancellations of jobs that the sender doesn't know: the balancer sent them to another entry. */
export interface CancelJobsMessage {
	readonly kind: 'cancelJobs';
	readonly revision: number;
	/** Names that readers gave their jobs; unguessable. */
	readonly jobIds: readonly string[];
}

/** Tells the new home of a pool which shared submissions the sender goes on with. */
export interface HandOverMessage {
	readonly kind: 'handOver';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
	readonly submissionIds: readonly string[];
	/** Answers to finished submissions with a key; the newest ones, within a bound. */
	readonly remembered: readonly RememberedAnswer[];
}

/** The answer to a finished submission with a key. */
export interface RememberedAnswer extends RelayAnswer {
	readonly fingerprint?: string | undefined;
}

/** Says that the new home leaves the submissions that were named to the earlier one. */
export interface HandOverTakenMessage {
	readonly kind: 'handOverTaken';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
	/** Submissions that the new home has begun itself; the earlier one must not go on with them. */
	readonly declinedIds: readonly string[];
}

/** Asks the granter for parts of team quotas; one message for all teams. The lists have one item a team. */
export interface QuotaDemandMessage {
	readonly kind: 'quotaDemand';
	readonly revision: number;
	readonly epoch: number;
	/** Number of the question; greater in each later one of the sender. */
	readonly seq: number;
	readonly teams: readonly string[];
	/** Tasks that the sender may have at workers by its present lease; 0 without one. */
	readonly leased: readonly number[];
	/** Tasks of these that are leased for longer. */
	readonly assured: readonly number[];
	/** Tasks that it has at workers. */
	readonly running: readonly number[];
	/** Tasks that wait for a worker. */
	readonly queued: readonly number[];
}

/** Answers {@link QuotaDemandMessage}: the parts that the asker may use, counted from its question. */
export interface QuotaGrantMessage {
	readonly kind: 'quotaGrant';
	readonly revision: number;
	readonly epoch: number;
	/** Number of the question. */
	readonly seq: number;
	/** Tasks a team, in the order of the question; null leaves the earlier lease as it is. */
	readonly tasks: readonly (number | null)[];
	/** Tasks of these that are leased for longer; null leaves those that are as they are. */
	readonly assured: readonly (number | null)[];
}

/** Gives all leases of team quotas to the next granter. The sender grants nothing after it. */
export interface QuotaHandOverMessage {
	readonly kind: 'quotaHandOver';
	readonly revision: number;
	/** Epoch of the directory that makes the receiver the granter. */
	readonly epoch: number;
	/** Time for which leases of an earlier granter may be missing here, and nothing may be granted. */
	readonly closedForMs: number;
	/** Time for which parts that an earlier granter has assured may be missing here. */
	readonly unknownForMs: number;
	readonly teams: readonly {
		readonly team: string;
		readonly parts: readonly {
			/** Run of the entry that has leased the part. */
			readonly holder: string;
			readonly tasks: number;
			readonly remainingMs: number;
			readonly assured: number;
			readonly assuredRemainingMs: number;
		}[];
	}[];
}

/** Messages between entries. */
export type EntryToEntryMessage =
	| RelayJobsMessage
	| RelayAnswersMessage
	| RelayCancelMessage
	| CancelJobsMessage
	| HandOverMessage
	| HandOverTakenMessage
	| QuotaDemandMessage
	| QuotaGrantMessage
	| QuotaHandOverMessage;
