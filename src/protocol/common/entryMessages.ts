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

/** Messages between entries. */
export type EntryToEntryMessage =
	| RelayJobsMessage
	| RelayAnswersMessage
	| RelayCancelMessage
	| CancelJobsMessage
	| HandOverMessage
	| HandOverTakenMessage;
