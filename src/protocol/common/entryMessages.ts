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

/** Messages between entries. Further kinds, for quota shares and takeover, are added by the entry's own design. */
export type EntryToEntryMessage = RelayJobsMessage | RelayAnswersMessage | RelayCancelMessage;
