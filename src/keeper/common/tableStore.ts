/** The tables, their history, and the results of operators' requests. Part of the replicated state. */

import { hash64Hex } from '../../base/common/rendezvous.js';
import {
	applyEdits,
	changedFields,
	editedName,
	findTableFaults,
} from '../../declarations/common/tableEdits.js';
import { findShortDrains, type DrainSettings, type ShortDrain } from '../../declarations/common/drainRule.js';
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

/** Accepted changes that are kept with their edits, for operators and for processes that are behind. */
export const maxHistoryChanges = 1000;

/** Results of requests that are kept for resends: more than a day's changes at the two-year size. */
export const maxRequestResults = 20_000;

/** Changes since an expected revision that a conflict names. */
const maxConflictChanges = 20;

/** Result of a request, and a digest of what was asked. */
interface RequestRecord {
	readonly requestId: string;
	readonly digest: string;
	readonly result: ChangeResult;
}

/** Snapshot of the tables. */
export interface TablesSnapshot {
	readonly tables: Tables;
	readonly history: readonly AcceptedChange[];
	readonly requests: readonly RequestRecord[];
}

/** Limits of a {@link TableStore}; tests lower them. */
export interface TableStoreLimits {
	readonly maxHistoryChanges: number;
	readonly maxRequestResults: number;
}

/** Decides operators' changes: compare-and-set on the revision, with one result for each request id. */
export class TableStore {
	private _tables: Tables = emptyTables;
	/** The oldest first; revisions are consecutive. */
	private _history: AcceptedChange[] = [];
	/** The oldest first. */
	private readonly _requests = new Map<string, RequestRecord>();

	constructor(private readonly _limits: TableStoreLimits = { maxHistoryChanges, maxRequestResults }) {}

	get tables(): Tables {
		return this._tables;
	}

	/** Accepted changes that are kept, the oldest first. */
	get history(): readonly AcceptedChange[] {
		return this._history;
	}

	/**
	 * Decides a change. A request id that was decided before gets its first result.
	 *
	 * @param shortestDrain of the processes that are known; a changed route whose jobs may outlast it is refused
	 */
	change(request: ChangeRequest, acceptedAt: string, shortestDrain?: DrainSettings): ChangeResult {
		const digest = hash64Hex(JSON.stringify([request.expectedRevision, request.author, request.edits]));
		const first = this._requests.get(request.requestId);
		if (first !== undefined) {
			return first.digest === digest
				? first.result
				: { outcome: 'requestIdReused', presentRevision: this._tables.revision };
		}
		const result = this._decide(request, acceptedAt, shortestDrain);
		this._remember({ requestId: request.requestId, digest, result });
		return result;
	}

	/**
	 * The changes that lead from a revision to the present one, or undefined when some are no longer kept.
	 *
	 * @param maxDeltas beyond so many a snapshot is shorter
	 */
	deltasSince(revision: number, maxDeltas: number): readonly TableDelta[] | undefined {
		const missing = this._tables.revision - revision;
		if (missing < 0 || missing > Math.min(maxDeltas, this._history.length)) {
			return undefined;
		}
		return this._history
			.slice(this._history.length - missing)
			.map((change) => ({ revision: change.revision, edits: change.edits }));
	}

	snapshot(): TablesSnapshot {
		return { tables: this._tables, history: this._history, requests: [...this._requests.values()] };
	}

	restore(snapshot: TablesSnapshot): void {
		this._tables = snapshot.tables;
		this._history = [...snapshot.history];
		this._requests.clear();
		for (const record of snapshot.requests) {
			this._requests.set(record.requestId, record);
		}
	}

	private _decide(
		request: ChangeRequest,
		acceptedAt: string,
		shortestDrain: DrainSettings | undefined,
	): ChangeResult {
		const presentRevision = this._tables.revision;
		if (request.expectedRevision !== presentRevision) {
			return {
				outcome: 'conflict',
				presentRevision,
				changesSince: this._summariesSince(request.expectedRevision),
			};
		}
		const next = applyEdits(this._tables, request.edits);
		const faults = [...findTableFaults(next), ...findDrainFaults(request.edits, shortestDrain)];
		if (faults.length > 0) {
			return { outcome: 'refused', presentRevision, faults: faults.map((fault) => fault.message) };
		}
		if (changedFields(this._tables, { ...next, revision: presentRevision }).length === 0) {
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

	private _summariesSince(revision: number): ChangeSummary[] {
		return this._history
			.filter((change) => change.revision > revision)
			.slice(-maxConflictChanges)
			.map(({ edits, ...change }) => ({
				...change,
				rows: edits.map((edit) => `${edit.table}/${editedName(edit)}`),
			}));
	}

	private _remember(record: RequestRecord): void {
		this._requests.set(record.requestId, record);
		if (this._requests.size <= this._limits.maxRequestResults) {
			return;
		}
		const [oldest] = this._requests.keys();
		if (oldest !== undefined) {
			this._requests.delete(oldest);
		}
	}
}

/** Only rows that the change puts count: a drain of a process must not fail for an older contradiction. */
function findDrainFaults(
	edits: readonly TableEdit[],
	shortestDrain: DrainSettings | undefined,
): readonly ShortDrain[] {
	if (shortestDrain === undefined) {
		return [];
	}
	const routes = edits.flatMap((edit) =>
		edit.action === 'put' && edit.table === 'routes' ? [edit.row] : [],
	);
	return findShortDrains([shortestDrain], routes);
}
