/**
 * The tables that operators edit: routes, pools, teams and drains.
 *
 * A revision counts accepted changes to the tables as a whole. A process that holds revision n never goes back
 * to an older one.
 */

/** What a route promises to its readers; the burn report measures against it. */
export interface RouteObjectives {
	/** Time within which an answer counts as on time. */
	readonly answeredWithinMs: number;
	/** Share of jobs, from 0 to 1, that must be answered on time. */
	readonly answeredWithinShare: number;
	/** Share of jobs, from 0 to 1, that must be answered whole. */
	readonly answeredWholeShare: number;
}

/** A kind of request that readers send. */
export interface RouteRow {
	readonly name: string;
	/** Name of the pool whose upstreams answer the route. */
	readonly pool: string;
	/** Deadline of a job that gives none. */
	readonly defaultDeadlineMs: number;
	/** Longest deadline that a job may ask for. */
	readonly maxDeadlineMs: number;
	readonly maxTasksPerJob: number;
	/** Tasks of the route that may be queued or running at the same time. */
	readonly maxConcurrentTasks: number;
	/** Whether a job that doesn't say so may be resubmitted after its memory was lost. */
	readonly repeatable: boolean;
	readonly objectives: RouteObjectives;
}

/** A named set of upstreams. */
export interface PoolRow {
	readonly name: string;
	/** Tasks that may wait for a slot; beyond it jobs are refused. */
	readonly maxQueuedTasks: number;
	/** Starts that may be sent again after a refusal, as a share of all starts. */
	readonly retryBudgetShare: number;
	/** Share of the pool's workers, from 0 to 1, that may be ejected at the same time. */
	readonly maxEjectedShare: number;
	/** Starts that a worker may hold beyond its slots, so that a slot that falls free is filled at once. */
	readonly spareStartsPerWorker: number;
}

/** A group of readers with a quota. */
export interface TeamRow {
	readonly name: string;
	/** Tasks of the team that may run at the same time, over all pools and entries. */
	readonly maxRunningTasks: number;
	/** Share that the team gets beside others when slots are scarce. */
	readonly weight: number;
}

/** A process that an operator is draining. */
export interface DrainRow {
	/** The `processId` of an entry or agent. */
	readonly name: string;
}

/** Rows of each table by its name. */
export interface TableRows {
	readonly routes: RouteRow;
	readonly pools: PoolRow;
	readonly teams: TeamRow;
	readonly drains: DrainRow;
}

/** Name of a table. */
export type TableName = keyof TableRows;

/** All tables at one revision. Rows are sorted by name. */
export interface Tables {
	readonly revision: number;
	readonly routes: readonly RouteRow[];
	readonly pools: readonly PoolRow[];
	readonly teams: readonly TeamRow[];
	readonly drains: readonly DrainRow[];
}

/** Tables before the first change. */
export const emptyTables: Tables = { revision: 0, routes: [], pools: [], teams: [], drains: [] };

/** Puts a row in place of the one with its name. */
export type PutEdit = {
	[Name in TableName]: { readonly action: 'put'; readonly table: Name; readonly row: TableRows[Name] };
}[TableName];

/** Removes the row with a name. */
export interface DeleteEdit {
	readonly action: 'delete';
	readonly table: TableName;
	readonly name: string;
}

/** One edit of one row. */
export type TableEdit = PutEdit | DeleteEdit;

/** An accepted change: the edits that lead from revision n - 1 to revision n. */
export interface TableDelta {
	readonly revision: number;
	readonly edits: readonly TableEdit[];
}
