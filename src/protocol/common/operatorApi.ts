/** Types of the operators' HTTP interface, shared by the keepers that serve it and the commands that use it. */

import type { TableDelta, TableEdit, Tables } from '../../declarations/common/tables.js';
import type { EntryDirectory } from './keeperMessages.js';

/** Paths of the operators' interface. */
export const operatorPaths = {
	tables: '/v1/tables',
	changes: '/v1/changes',
	status: '/v1/status',
	members: '/v1/members',
} as const;

/** A change that an operator asks for: a compare-and-set on the tables' revision. */
export interface ChangeRequest {
	/** Chosen by the operator's program; a resend with the same id gets the first one's result. */
	readonly requestId: string;
	/** Revision that the edits were planned on. */
	readonly expectedRevision: number;
	/** Who asks, for the history. */
	readonly author: string;
	readonly edits: readonly TableEdit[];
}

/** A change that was accepted, as the history keeps it. */
export interface AcceptedChange extends TableDelta {
	readonly requestId: string;
	readonly author: string;
	/** Wall-clock time of the keeper that took the request, in ISO 8601; for people, never for decisions. */
	readonly acceptedAt: string;
}

/** Who made a change, without its edits. */
export interface ChangeSummary {
	readonly revision: number;
	readonly requestId: string;
	readonly author: string;
	readonly acceptedAt: string;
	/** Rows that were edited, such as `routes/summons-check`. */
	readonly rows: readonly string[];
}

/** What became of a change. */
export type ChangeResult =
	| { readonly outcome: 'accepted'; readonly revision: number }
	/** The edits leave the tables as they are; no revision was made. */
	| { readonly outcome: 'unchanged'; readonly revision: number }
	| {
			readonly outcome: 'conflict';
			readonly presentRevision: number;
			/** Changes since the expected revision, the newest last; bounded. */
			readonly changesSince: readonly ChangeSummary[];
	  }
	/** A rule between tables is broken; each sentence names the rows and the remedy. */
	| { readonly outcome: 'refused'; readonly presentRevision: number; readonly faults: readonly string[] }
	/** The request id was used before for other edits. */
	| { readonly outcome: 'requestIdReused'; readonly presentRevision: number };

/** A single-step change of the group of keepers. A new keeper is added first, and made a voter once it has caught up. */
export type MemberRequest =
	| { readonly action: 'add'; readonly processId: string; readonly address: string }
	| { readonly action: 'promote'; readonly processId: string }
	| { readonly action: 'remove'; readonly processId: string };

/** An answer without a result of the tables: bad input, no leader, or a result that can't be known. */
export interface OperatorErrorBody {
	readonly error: 'unauthorized' | 'badRequest' | 'noLeader' | 'refused' | 'unknown' | 'notFound';
	/** Whole sentences with the remedy. */
	readonly message: string;
}

/** Accepted changes, the newest first. */
export interface HistoryBody {
	readonly changes: readonly AcceptedChange[];
	/** Oldest revision whose change is still kept. */
	readonly oldestRevision: number;
}

/** A process that subscribes to the keepers, or a keeper. */
export interface ProcessStatus {
	readonly processId: string;
	readonly role: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly rack: string;
	readonly isDraining: boolean;
	readonly pool?: string | undefined;
	/** Where an entry takes HTTP requests; absent for other roles. */
	readonly httpAddress?: string | undefined;
	/** Keeper that the process is subscribed to. */
	readonly keeperId: string;
	readonly revisionInForce: number;
	/** Greatest possible age of its tables when it was heard last; absent where its server does not tell. */
	readonly ageMs?: number | undefined;
	/** Time since the process was heard, as known to the answering keeper. */
	readonly heardAgoMs: number;
	/** Whether the process has renewed its lease in time. */
	readonly isLive: boolean;
}

/** A member of the group of keepers. */
export interface KeeperMemberStatus {
	readonly processId: string;
	readonly address: string;
	readonly isVoter: boolean;
	readonly diskId: string;
}

/** What a keeper knows about the system. */
export interface SystemStatus {
	readonly keeperId: string;
	readonly role: string;
	readonly term: number;
	readonly leaderId?: string | undefined;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	/** Greatest possible age of the answering keeper's state; absent when it can't be bounded. */
	readonly ageMs?: number | undefined;
	readonly historyId: string;
	readonly revision: number;
	readonly claims: number;
	readonly directory: EntryDirectory;
	readonly members: readonly KeeperMemberStatus[];
	readonly processes: readonly ProcessStatus[];
	/** Keepers whose reports about their subscribers are missing, so that processes may be missing above. */
	readonly silentKeepers: readonly string[];
	/** False while the keeper has not run long enough for every process to have subscribed again. */
	readonly isSettled: boolean;
}

/** The tables as they are served, with the age of the answering keeper's state. */
export interface TablesBody {
	readonly tables: Tables;
	readonly ageMs?: number | undefined;
}
