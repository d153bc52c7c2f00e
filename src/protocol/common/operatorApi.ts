/** Types of the operators' HTTP interface, which the keepers serve and the operators' commands use. */

import type { TableDelta, TableEdit, Tables } from '../../declarations/common/tables.js';
import type { EntryDirectory } from './keeperMessages.js';

/** Paths of the operators' interface. */
export const operatorPaths = {
	tables: '/v1/tables',
	changes: '/v1/changes',
	status: '/v1/status',
	members: '/v1/members',
} as const;

/** Requests a change of the tables, as a compare-and-set on their revision. */
export interface ChangeRequest {
	/** Chosen by the client. A request that is sent again with the same id gets the result of the first one. */
	readonly requestId: string;
	/** Revision of the tables on which the edits are based. */
	readonly expectedRevision: number;
	/** Author of the change, for the history. */
	readonly author: string;
	readonly edits: readonly TableEdit[];
}

/** An accepted change, as stored in the history. */
export interface AcceptedChange extends TableDelta {
	readonly requestId: string;
	readonly author: string;
	/** Wall-clock time at the keeper that received the request, in ISO 8601; for display, never for decisions. */
	readonly acceptedAt: string;
}

/** Summary of a change, without its edits. */
export interface ChangeSummary {
	readonly revision: number;
	readonly requestId: string;
	readonly author: string;
	readonly acceptedAt: string;
	/** Rows that were edited, such as `routes/summons-check`. */
	readonly rows: readonly string[];
}

/** Outcome of a change request. */
export type ChangeResult =
	| { readonly outcome: 'accepted'; readonly revision: number }
	/** The edits change nothing, so no new revision was created. */
	| { readonly outcome: 'unchanged'; readonly revision: number }
	| {
			readonly outcome: 'conflict';
			readonly presentRevision: number;
			/** Changes since the expected revision, the newest last; limited in number. */
			readonly changesSince: readonly ChangeSummary[];
	  }
	/** The edits violate a rule between tables. Each fault is a sentence that names the rows and the remedy. */
	| { readonly outcome: 'refused'; readonly presentRevision: number; readonly faults: readonly string[] }
	/** The request id was already used for other edits. */
	| { readonly outcome: 'requestIdReused'; readonly presentRevision: number };

/** Changes the group of keepers by one step. A new keeper is added first, and becomes a voter once it has caught up. */
export type MemberChangeRequest =
	| { readonly action: 'add'; readonly processId: string; readonly address: string }
	| { readonly action: 'promote'; readonly processId: string }
	| { readonly action: 'remove'; readonly processId: string };

/** Response to a request that failed: invalid input, no leader, or an unknown result. */
export interface OperatorErrorBody {
	readonly error: 'unauthorized' | 'badRequest' | 'noLeader' | 'refused' | 'unknown' | 'notFound';
	/** Explanation with the remedy, in whole sentences. */
	readonly message: string;
}

/** Accepted changes, the newest first. */
export interface HistoryBody {
	readonly changes: readonly AcceptedChange[];
	/** Oldest revision whose change is still stored. */
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
	/** Address of an entry's HTTP server; absent for other roles. */
	readonly httpAddress?: string | undefined;
	/** Keeper to which the process is subscribed. */
	readonly keeperId: string;
	readonly revisionInForce: number;
	/** Upper bound of the age of its tables when it was last heard from; absent if its server does not report it. */
	readonly ageMs?: number | undefined;
	/** Time since the process was last heard from, as known to the answering keeper. */
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

/** Status of the system, as known to one keeper. */
export interface SystemStatus {
	readonly keeperId: string;
	readonly role: string;
	readonly term: number;
	readonly leaderId?: string | undefined;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	/** Upper bound of the age of the answering keeper's state; absent if it can't be bounded. */
	readonly ageMs?: number | undefined;
	readonly historyId: string;
	readonly revision: number;
	readonly claims: number;
	readonly directory: EntryDirectory;
	readonly members: readonly KeeperMemberStatus[];
	readonly processes: readonly ProcessStatus[];
	/** Keepers whose reports about their subscribers are missing, so that `processes` may be incomplete. */
	readonly silentKeepers: readonly string[];
	/** False while processes may be unknown, such as those that have not subscribed again since the keeper started. */
	readonly isSettled: boolean;
}

/** The tables, with an upper bound of the age of the answering keeper's state. */
export interface TablesBody {
	readonly tables: Tables;
	readonly ageMs?: number | undefined;
}
