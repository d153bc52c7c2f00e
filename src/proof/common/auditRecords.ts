/**
 * Input and output of the auditor: starts that upstreams journalled, and what readers, operators and tests recorded.
 *
 * Every task's payload carries a unique token; a resubmission of a job carries the same tokens. The upstream
 * journals the token at each start and echoes it in the result. All times are in the machine's wall-clock time,
 * which every process of a local system shares.
 */

import type { CommittedChange, OperatorRecord } from './operatorRecords.js';

/** A task start that an upstream journalled. */
export interface StartRecord {
	readonly upstream: string;
	readonly token: string;
	readonly atMs: number;
}

/** Outcome of one attempt, as its reader saw it. */
export type ReaderOutcome =
	/** Tokens echoed by the results, in order; undefined for a result without a token. */
	| { readonly kind: 'complete'; readonly echoedTokens: readonly (string | undefined)[] }
	/** The job failed, and the answer says that tasks ran or may have run. */
	| { readonly kind: 'failed'; readonly reason: string }
	/** The answer says that no task of the job was started by this attempt. */
	| { readonly kind: 'notRun'; readonly reason: string }
	/** The request was rejected as invalid. */
	| { readonly kind: 'badRequest'; readonly httpStatus: number }
	/** The connection ended before the reader received a complete answer. */
	| { readonly kind: 'noAnswer'; readonly message: string }
	/** The reader disconnected before it had an answer. */
	| { readonly kind: 'left' };

/** One submission of a job by a reader. */
export interface ReaderRecord {
	/** Name of the entry that received the job. */
	readonly entry: string;
	/** Idempotency key; absent for a job without one. */
	readonly key?: string | undefined;
	/** Tokens of the job's tasks, in order. */
	readonly tokens: readonly string[];
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly outcome: ReaderOutcome;
}

/** Period in which a fault killed, paused or cut off an entry, so that readers may lose its answers. */
export interface EntryFault {
	readonly entry: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** Period in which an upstream was leaving, because it or its agent was drained. */
export interface UpstreamLeaving {
	readonly upstream: string;
	readonly leftAtMs: number;
	/** Time at which it was announced again; absent when it was not. */
	readonly returnedAtMs?: number;
}

/** Revision that a process reported as in force. */
export interface RevisionObservation {
	readonly processId: string;
	/** Differs in each run of the process. */
	readonly incarnation: string;
	readonly revision: number;
	readonly atMs: number;
	/** False when a fault may have kept changes from the process; true by default. */
	readonly isDue?: boolean;
}

/** A change that the keepers accepted. */
export interface AcceptedChange {
	readonly revision: number;
	readonly acceptedAtMs: number;
}

/** Input of one audit. */
export interface AuditInput {
	readonly starts: readonly StartRecord[];
	readonly readers: readonly ReaderRecord[];
	readonly entryFaults?: readonly EntryFault[];
	readonly leavings?: readonly UpstreamLeaving[];
	readonly observations?: readonly RevisionObservation[];
	readonly changes?: readonly AcceptedChange[];
	/** Results that operators received, and the keepers' change history at the end of the run. */
	readonly operators?: {
		readonly records: readonly OperatorRecord[];
		readonly history: readonly CommittedChange[];
	};
}

/** Guarantees of the system whose breaches an audit counts. */
export const guaranteeNames = [
	'doubleStarts',
	'partialAnswers',
	'untrueRefusals',
	'crossedAnswers',
	'cutRequests',
	'lateStarts',
	'revertedChanges',
	'lostChanges',
] as const;

/** Name of a guarantee, and of the counter of its breaches. */
export type PromiseName = (typeof guaranteeNames)[number];

/** One breach of a guarantee. */
export interface Breach {
	readonly promise: PromiseName;
	/** Full sentence that names the task, job or process. */
	readonly description: string;
	/** Token of the affected task; absent for changes. */
	readonly token?: string;
}

/** Amount of evidence behind the counters. */
export interface AuditCoverage {
	readonly leavings: number;
	/** Starts on upstreams that were leaving, whether within the grace time or after it. */
	readonly startsAfterLeaving: number;
	readonly observations: number;
	readonly changes: number;
	readonly operatorRequests: number;
}

/** Result of an audit. */
export interface AuditReport {
	/** Number of breaches by guarantee; all 0 when every guarantee held. */
	readonly counts: Readonly<Record<PromiseName, number>>;
	readonly breaches: readonly Breach[];
	/** Number of attempts by the kind of their outcome. */
	readonly outcomes: Readonly<Record<ReaderOutcome['kind'], number>>;
	/** Number of failed and refused attempts by reason. */
	readonly reasons: Readonly<Record<string, number>>;
	readonly starts: number;
	/** Evidence behind the counters; a counter of 0 without evidence proves nothing. */
	readonly seen: AuditCoverage;
	/**
	 * Number of attempts answered `notRun` although another attempt with the same key had already started the job.
	 * This isn't a breach, since the answer only covers its own attempt, but a reader may misread it.
	 */
	readonly refusalsBesideOtherAttempt: number;
}
