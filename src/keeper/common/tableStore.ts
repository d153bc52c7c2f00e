/** Tables, the history of their changes, and the results of operators' requests. Part of the replicated state. */

import { hash64Hex } from '../../base/common/rendezvous.js';
import {
	applyEdits,
	diffFields,
	getEditedRowName,
	findTableViolations,
} from '../../declarations/common/tableEdits.js';
import {
	findDrainTimeoutViolations,
	type DrainSettings,
	type DrainTimeoutViolation,
} from '../../declarations/common/drainRule.js';
import {
	emptyTables,
	type TableDelta,
	type TableEdit,
	type Tables,
} from '../../declarations/common/tables.js';
import type {
	AcceptedChange,
	ChangeRequest,
	ChangeResult,
	ChangeSummary,
} from '../../protocol/common/operatorApi.js';

/** Maximum number of accepted changes kept with their edits, for operators and for processes that are behind. */
export const maxHistoryChanges = 1000;

/** Maximum number of request results kept for resends: more than a day's changes at the size expected in two years. */
export const maxRequestResults = 20_000;

/** Maximum number of newer changes that a conflict result lists. */
const maxConflictChanges = 20;

/** Result of a request and a digest of its content, by which a resend is told from another request of the same id. */
interface RequestRecord {
	readonly requestId: string;
	readonly digest: string;
	readonly result: ChangeResult;
}

/** Snapshot of the tables, the history and the request results. */
export interface TablesSnapshot {
	readonly tables: Tables;
	readonly history: readonly AcceptedChange[];
	readonly requests: readonly RequestRecord[];
}

/** Limits of a {@link TableStore}. Tests use lower ones. */
export interface TableStoreLimits {
	readonly maxHistoryChanges: number;
	readonly maxRequestResults: number;
}

/** Applies operators' changes by compare-and-set on the revision. Each request id has one result, also when resent. */
export class TableStore {
	private _tables: Tables = emptyTables;
	/** Accepted changes, oldest first, with consecutive revisions. */
	private _history: AcceptedChange[] = [];
	/** Request records by request id, oldest first. */
	private readonly _requestRecords = new Map<string, RequestRecord>();

	constructor(private readonly _limits: TableStoreLimits = { maxHistoryChanges, maxRequestResults }) {}

	/** Current tables with their revision. */
	get tables(): Tables {
		return this._tables;
	}

	/** Accepted changes that are still kept, oldest first. */
	get history(): readonly AcceptedChange[] {
		return this._history;
	}

	/**
	 * Validates a change and applies it if it is valid. A resent request returns its first result; another request with
	 * the same id gets `requestIdReused`.
	 *
	 * @param shortestDrain shortest drain of the known processes; changed routes whose jobs may outlast it are refused
	 */
	applyChange(request: ChangeRequest, acceptedAt: string, shortestDrain?: DrainSettings): ChangeResult {
		const digest = hash64Hex(JSON.stringify([request.expectedRevision, request.author, request.edits]));
		const earlierRecord = this._requestRecords.get(request.requestId);
		if (earlierRecord !== undefined) {
			return earlierRecord.digest === digest
				? earlierRecord.result
				: { outcome: 'requestIdReused', presentRevision: this._tables.revision };
		}
		const result = this._validateAndApply(request, acceptedAt, shortestDrain);
		this._storeRequestRecord({ requestId: request.requestId, digest, result });
		return result;
	}

	/**
	 * Returns the changes from a revision to the current one, or undefined if the revision is newer than the current
	 * one, if some changes are no longer kept, or if there are more than `maxDeltas`.
	 *
	 * @param maxDeltas number of changes above which a snapshot is shorter
	 */
	deltasSince(revision: number, maxDeltas: number): readonly TableDelta[] | undefined {
		const revisionsBehind = this._tables.revision - revision;
		if (revisionsBehind < 0 || revisionsBehind > Math.min(maxDeltas, this._history.length)) {
			return undefined;
		}
		return this._history
			.slice(this._history.length - revisionsBehind)
			.map((change) => ({ revision: change.revision, edits: change.edits }));
	}

	/** Returns the state as a snapshot. */
	snapshot(): TablesSnapshot {
		return { tables: this._tables, history: this._history, requests: [...this._requestRecords.values()] };
	}

	/** Replaces the state with that of a snapshot. */
	restore(snapshot: TablesSnapshot): void {
		this._tables = snapshot.tables;
		this._history = [...snapshot.history];
		this._requestRecords.clear();
		for (const record of snapshot.requests) {
			this._requestRecords.set(record.requestId, record);
		}
	}

	private _validateAndApply(
		request: ChangeRequest,
		acceptedAt: string,
		shortestDrain: DrainSettings | undefined,
	): ChangeResult {
		const presentRevision = this._tables.revision;
		if (request.expectedRevision !== presentRevision) {
			return {
				outcome: 'conflict',
				presentRevision,
				changesSince: this._summarizeChangesSince(request.expectedRevision),
			};
		}
		const next = applyEdits(this._tables, request.edits);
		const faults = [...findTableViolations(next), ...findRouteDrainFaults(request.edits, shortestDrain)];
		if (faults.length > 0) {
			return { outcome: 'refused', presentRevision, faults: faults.map((fault) => fault.message) };
		}
		if (diffFields(this._tables, { ...next, revision: presentRevision }).length === 0) {
			return { outcome: 'unchanged', revision: presentRevision };
		}
		this._tables = next;
		const { requestId, author, edits } = request;
		this._history.push({ revision: next.revision, requestId, author, acceptedAt, edits });
		if (this._history.length > this._limits.maxHistoryChanges) {
			this._history.shift();
		}
		return { outcome: 'accepted', revision: next.revision };
	}

	/** Returns summaries of the changes after a revision, limited to the most recent {@link maxConflictChanges}. */
	private _summarizeChangesSince(revision: number): ChangeSummary[] {
		return this._history
			.filter((change) => change.revision > revision)
			.slice(-maxConflictChanges)
			.map(({ edits, ...change }) => ({
				...change,
				rows: edits.map((edit) => `${edit.table}/${getEditedRowName(edit)}`),
			}));
	}

	/** Stores a request record, and deletes the oldest one if there are too many. */
	private _storeRequestRecord(record: RequestRecord): void {
		this._requestRecords.set(record.requestId, record);
		if (this._requestRecords.size <= this._limits.maxRequestResults) {
			return;
		}
		const [oldest] = this._requestRecords.keys();
		if (oldest !== undefined) {
			this._requestRecords.delete(oldest);
		}
	}
}

/**
 * Returns a fault for each route put by the change whose jobs may outlast the shortest drain. Other routes are not
 * checked: draining a process must not fail because an existing route is already in conflict.
 */
function findRouteDrainFaults(
	edits: readonly TableEdit[],
	shortestDrain: DrainSettings | undefined,
): readonly DrainTimeoutViolation[] {
	if (shortestDrain === undefined) {
		return [];
	}
	const routes = edits.flatMap((edit) =>
		edit.action === 'put' && edit.table === 'routes' ? [edit.row] : [],
	);
	return findDrainTimeoutViolations([shortestDrain], routes);
}
