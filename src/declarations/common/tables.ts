/**
 * The tables that operators edit: routes, pools, teams and drains.
 *
 * The revision is the number of accepted changes to all tables together. A process that holds a revision never returns
 * to an older one.
 */

/** Service level objectives of a route, which the burn report compares with the outcomes of jobs. */
export interface RouteObjectives {
	/** Time within which an answer counts as on time. */
	readonly answeredWithinMs: number;
	/** Share of jobs, from 0 to 1, that must be answered on time. */
	readonly answeredWithinShare: number;
	/** Share of jobs, from 0 to 1, that must be answered completely. */
	readonly answeredWholeShare: number;
}

/** A kind of request that readers send. */
export interface RouteRow {
	readonly name: string;
	/** Name of the pool whose upstreams answer the route. */
	readonly pool: string;
	/** Deadline of a job that doesn't set one. */
	readonly defaultDeadlineMs: number;
	/** Longest deadline that a job may set. */
	readonly maxDeadlineMs: number;
	readonly maxTasksPerJob: number;
	/** Tasks of the route that may be queued or running at the same time. */
	readonly maxConcurrentTasks: number;
	/** Whether a job that doesn't specify it may run again after all state of it was lost. */
	readonly repeatable: boolean;
	readonly objectives: RouteObjectives;
}

/** A named set of upstreams. */
export interface PoolRow {
	readonly name: string;
	/** Tasks that may wait for a slot; when there are more, jobs are refused. */
	readonly maxQueuedTasks: number;
	/** Share of starts, from 0 to 1, that may be sent again after a refusal. */
	readonly retryBudgetShare: number;
	/** Share of the pool's workers, from 0 to 1, that may be ejected at the same time. */
	readonly maxEjectedShare: number;
	/** Starts that a worker may hold beyond its slots, so that a slot that becomes free is filled at once. */
	readonly spareStartsPerWorker: number;
}

/** A group of readers with a quota. */
export interface TeamRow {
	readonly name: string;
	/** Tasks of the team that may run at the same time, over all pools and entries. */
	readonly maxRunningTasks: number;
	/** Weight of the team in the division of slots when these are scarce. */
	readonly weight: number;
}

/** A process that an operator is draining. */
export interface DrainRow {
	/** The `processId` of an entry or agent. */
	readonly name: string;
}

/** Type of the rows of each table. */
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

/** The empty tables, before the first change. */
export const emptyTables: Tables = { revision: 0, routes: [], pools: [], teams: [], drains: [] };

/** Adds a row, or replaces the row with the same name. */
export type PutEdit = {
	[Name in TableName]: { readonly action: 'put'; readonly table: Name; readonly row: TableRows[Name] };
}[TableName];

/** Deletes the row with the given name. */
export interface DeleteEdit {
	readonly action: 'delete';
	readonly table: TableName;
	readonly name: string;
}

/** An edit of one row. */
export type TableEdit = PutEdit | DeleteEdit;

/** An accepted change: the edits that turn the tables at revision n - 1 into those at revision n. */
export interface TableDelta {
	readonly revision: number;
	readonly edits: readonly TableEdit[];
}
