/** Messages between entries. Whole jobs are relayed to the home entry of their pool, and whole answers are returned. */

import type { JobAnswer, JobSubmission } from './jobs.js';

/** Relays whole jobs to the home of their pool. */
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

/** Cancels relayed jobs whose readers have disconnected. */
export interface RelayCancelMessage {
	readonly kind: 'relayCancel';
	readonly revision: number;
	readonly submissionIds: readonly string[];
}

/** Forwards cancellations of jobs that the sender doesn't know, because the balancer sent the jobs to another entry. */
export interface CancelJobsMessage {
	readonly kind: 'cancelJobs';
	readonly revision: number;
	/** Unguessable ids by which readers cancel their jobs. */
	readonly jobIds: readonly string[];
}

/** Lists the submissions that the sender continues, to the pool's new home, which may receive them too. */
export interface HandOverMessage {
	readonly kind: 'handOver';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
	readonly submissionIds: readonly string[];
	/** Answers to the most recent finished submissions with an idempotency key; limited in number. */
	readonly remembered: readonly RememberedAnswer[];
}

/** The answer to a finished submission with an idempotency key. */
export interface RememberedAnswer extends RelayAnswer {
	readonly fingerprint?: string | undefined;
}

/** Answers {@link HandOverMessage}: the earlier home keeps the listed submissions, except the declined ones. */
export interface HandOverTakenMessage {
	readonly kind: 'handOverTaken';
	readonly revision: number;
	readonly epoch: number;
	readonly pool: string;
	/** Submissions that the new home has begun itself; the earlier home must not continue them. */
	readonly declinedIds: readonly string[];
}

/** Requests parts of team quotas from the granter, in one message for all teams. The lists have one item per team. */
export interface QuotaDemandMessage {
	readonly kind: 'quotaDemand';
	readonly revision: number;
	readonly epoch: number;
	/** Number of the request; greater in each later request of the sender. */
	readonly seq: number;
	readonly teams: readonly string[];
	/** Numbers of tasks that the sender may have at workers under its current leases; 0 without a lease. */
	readonly leased: readonly number[];
	/** Numbers of these tasks that are leased for the longer, assured duration. */
	readonly assured: readonly number[];
	/** Numbers of tasks that the sender has at workers. */
	readonly running: readonly number[];
	/** Numbers of tasks that wait for a worker at the sender. */
	readonly queued: readonly number[];
}

/** Answers {@link QuotaDemandMessage}: the parts that the requester may use. The leases start at its request. */
export interface QuotaGrantMessage {
	readonly kind: 'quotaGrant';
	readonly revision: number;
	readonly epoch: number;
	/** Number of the request. */
	readonly seq: number;
	/** Numbers of tasks per team, in the order of the request; null leaves the earlier lease unchanged. */
	readonly tasks: readonly (number | null)[];
	/** Numbers of these tasks that are leased for the assured duration; null leaves the earlier number unchanged. */
	readonly assured: readonly (number | null)[];
}

/** Hands all leases of team quotas over to the next granter. The sender grants nothing afterwards. */
export interface QuotaHandOverMessage {
	readonly kind: 'quotaHandOver';
	readonly revision: number;
	/** Epoch of the directory that makes the receiver the granter. */
	readonly epoch: number;
	/** Time for which leases of earlier granters may be missing from this message, so that nothing may be granted. */
	readonly closedForMs: number;
	/** Time for which parts that earlier granters have assured may be missing from this message. */
	readonly unknownForMs: number;
	readonly teams: readonly {
		readonly team: string;
		readonly parts: readonly {
			/** Key of the entry run that has leased the part. */
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
