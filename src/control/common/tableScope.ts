/** Filters the tables to the rows that one agent needs: those of its pool and its own drain. */

import type { TableDelta, TableEdit, Tables } from '../../declarations/common/tables.js';
import { getEditedRowName } from '../../declarations/common/tableEdits.js';
import type { TableScope } from '../../protocol/common/keeperMessages.js';

/** Returns whether two scopes cover the same rows. An undefined scope covers all rows. */
export function isSameScope(a: TableScope | undefined, b: TableScope | undefined): boolean {
	return a === b || (a !== undefined && b !== undefined && a.pool === b.pool && a.processId === b.processId);
}

/** Returns the rows of a scope, with the revision of the full tables. */
export function filterTables(tables: Tables, scope: TableScope | undefined): Tables {
	if (scope === undefined) {
		return tables;
	}
	return {
		revision: tables.revision,
		routes: tables.routes.filter((row) => row.pool === scope.pool),
		pools: tables.pools.filter((row) => row.name === scope.pool),
		teams: [],
		drains: tables.drains.filter((row) => row.name === scope.processId),
	};
}

/**
 * Filters deltas to the edits within a scope. Each delta keeps its revision, even when no edit is left.
 *
 * @param before tables before the deltas; without them, the receiver is assumed to hold any route
 * @example
 * filterDeltas([{ revision: 8, edits: [editOfAnotherPool] }], scope, tables); // [{ revision: 8, edits: [] }]
 */
export function filterDeltas(
	deltas: readonly TableDelta[],
	scope: TableScope | undefined,
	before: Tables | undefined,
): readonly TableDelta[] {
	if (scope === undefined) {
		return deltas;
	}
	const heldRoutes = before === undefined ? undefined : getRouteNames(before, scope);
	return deltas.map(({ revision, edits }) => ({
		revision,
		edits: edits.flatMap((edit) => filterEdit(edit, scope, heldRoutes)),
	}));
}

function filterEdit(edit: TableEdit, scope: TableScope, held: Set<string> | undefined): TableEdit[] {
	switch (edit.table) {
		case 'teams':
			return [];
		case 'pools':
			return getEditedRowName(edit) === scope.pool ? [edit] : [];
		case 'drains':
			return getEditedRowName(edit) === scope.processId ? [edit] : [];
		case 'routes':
			return filterRouteEdit(edit, scope, held);
	}
}

/** Turns an edit that moves a route out of the pool into a deletion, if the receiver may hold the route. */
function filterRouteEdit(edit: TableEdit, scope: TableScope, held: Set<string> | undefined): TableEdit[] {
	const name = getEditedRowName(edit);
	if (edit.action === 'put' && edit.table === 'routes' && edit.row.pool === scope.pool) {
		held?.add(name);
		return [edit];
	}
	const mayHoldRoute = held === undefined || held.delete(name);
	return mayHoldRoute ? [{ action: 'delete', table: 'routes', name }] : [];
}

function getRouteNames(tables: Tables, scope: TableScope): Set<string> {
	return new Set(tables.routes.filter((row) => row.pool === scope.pool).map((row) => row.name));
}
