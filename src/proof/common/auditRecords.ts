/**
 * What the auditor compares: the starts that upstreams saw, and what readers, operators and tests recorded.
 *
 * Every task's payload carries a token that no other task has; a resubmission of a job carries the same tokens.
 * The upstream journals the token at each start and echoes it in the result. All times are of the machine's wall
 * clock, which every process of a local system shares.
 */

import type { KeptChange, OperatorRecord } from './operatorRecords.js';

/** One start that an upstream saw. */
export interface StartRecord {
	readonly upstream: string;
	readonly token: string;
	readonly atMs: number;
}

/** The answer that one attempt of a reader got. */
export type ReaderOutcome =
	/** Tokens that the results echoed, in order; undefined for a result that carries none. */
	| { readonly kind: 'complete'; readonly echoedTokens: readonly (string | undefined)[] }
	/** The job failed and says that tasks ran or may have run. */
	| { readonly kind: 'failed'; readonly reason: string }
	/** The answer says that no task of the job was started by this attempt. */
	| { readonly kind: 'notRun'; readonly reason: string }
	/** The request was faulty and was refused for that. */
	| { readonly kind: 'badRequest'; readonly httpStatus: number }
	/** The connection ended without a whole answer while the reader was waiting. */
	| { readonly kind: 'noAnswer'; readonly message: string }
	/** The reader went away by itself. */
	| { readonly kind: 'left' };

/** One attempt of a reader to get a job done. */
export interface ReaderRecord {
	/** Name of the entry that was asked. */
	readonly entry: string;
	/** Idempotency key; absent for a job without one. */
	readonly key?: string | undefined;
	/** Tokens of the job's tasks, in order. */
	readonly tokens: readonly string[];
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly outcome: ReaderOutcome;
}

/** A time in which an entry was killed, paused or unreachable by a fault, so that readers may lose its answers. */
export interface EntryFault {
	readonly entry: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** An upstream that was told to leave, or whose agent was. */
export interface Leaving {
	readonly upstream: string;
	readonly leftAtMs: number;
	/** When it was announced again; absent when it was not. */
	readonly returnedAtMs?: number;
}

/** The revision that a process said it has in force. */
export interface RevisionObservation {
	readonly processId: string;
	/** Differs in each run of the process. */
	readonly incarnation: string;
	readonly revision: number;
	readonly atMs: number;
	/** False when changes may have been kept from the process by a fault; true when left out. */
	readonly isDue?: boolean;
}

/** A change that the keepers accepted. */
export interface AcceptedChange {
	readonly revision: number;
	readonly acceptedAtMs: number;
}

/** Everything that one audit compares. */
export interface AuditInput {
	readonly starts: readonly StartRecord[];
	readonly readers: readonly ReaderRecord[];
	readonly entryFaults?: readonly EntryFault[];
	readonly leavings?: readonly Leaving[];
	readonly observations?: readonly RevisionObservation[];
	readonly changes?: readonly AcceptedChange[];
	/** What operators were told, and the history that the keepers had in the end. */
	readonly operators?: {
		readonly records: readonly OperatorRecord[];
		readonly history: readonly KeptChange[];
	};
}

/** Promises of the system that an audit counts breaches of. */
export const promiseNames = [
	'doubleStarts',
	'partialAnswers',
	'untrueRefusals',
	'crossedAnswers',
	'cutRequests',
	'lateStarts',
	'revertedChanges',
	'lostChanges',
] as const;

/** Name of a counter of broken promises. */
export type PromiseName = (typeof promiseNames)[number];

/** One breach of a promise. */
export interface Breach {
	readonly promise: PromiseName;
	/** A sentence that names the task, job or process. */
	readonly description: string;
	/** Task that was concerned; absent for changes. */
	readonly token?: string;
}

/** How much an audit saw of what some counters need. */
export interface AuditCoverage {
	readonly leavings: number;
	/** Starts on upstreams that were leaving, early or late. */
	readonly startsAfterLeaving: number;
	readonly observations: number;
	readonly changes: number;
	readonly operatorRequests: number;
}

/** What an audit found. */
export interface AuditReport {
	/** Breaches of each promise; all 0 when the promises were kept. */
	readonly counts: Readonly<Record<PromiseName, number>>;
	readonly breaches: readonly Breach[];
	/** Attempts by the kind of their outcome. */
	readonly outcomes: Readonly<Record<ReaderOutcome['kind'], number>>;
	/** Failed and refused attempts by their reason. */
	readonly reasons: Readonly<Record<string, number>>;
	readonly starts: number;
	/** What the counters were fed with; a counter that saw nothing proves nothing. */
	readonly seen: AuditCoverage;
	/**
	 * Attempts answered `notRun` although another attempt with the same key had started the job before. No breach,
	 * since the answer speaks of its own attempt; a figure to watch, since a reader may misread it.
	 */
	readonly refusalsBesideOtherAttempt: number;
}
