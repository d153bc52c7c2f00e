/** Pure functions that apply edits to tables, compare tables and check the constraints on them. */

import type { DeleteEdit, PutEdit, TableEdit, TableName, TableRows, Tables } from './tables.js';

/** Names of all tables, in the order of a plan: a referenced table precedes the one that refers to it. */
export const tableNames = ['pools', 'routes', 'teams', 'drains'] as const satisfies readonly TableName[];

/** A violated constraint on the tables. */
export interface TableViolation {
	readonly table: TableName;
	readonly row: string;
	readonly field: string;
	/** Whole sentences that name the value and the remedy. */
	readonly message: string;
}

/** Returns the name of the row that an edit puts or deletes. */
export function getEditedRowName(edit: TableEdit): string {
	return edit.action === 'put' ? edit.row.name : edit.name;
}

/**
 * Returns the tables with edits applied and the revision increased by one. Of several edits of a row, the last one wins.
 *
 * @example
 * applyEdits(emptyTables, [{ action: 'put', table: 'pools', row: ledgerPool }]).revision; // 1
 */
export function applyEdits(tables: Tables, edits: readonly TableEdit[]): Tables {
	return {
		revision: tables.revision + 1,
		routes: applyRowEdits('routes', tables.routes, edits),
		pools: applyRowEdits('pools', tables.pools, edits),
		teams: applyRowEdits('teams', tables.teams, edits),
		drains: applyRowEdits('drains', tables.drains, edits),
	};
}

function applyRowEdits<Name extends TableName>(
	table: Name,
	rows: readonly TableRows[Name][],
	edits: readonly TableEdit[],
): readonly TableRows[Name][] {
	const editsOfTable = edits.filter((edit) => edit.table === table);
	if (editsOfTable.length === 0) {
		return rows;
	}
	const byName = new Map(rows.map((row) => [row.name, row]));
	for (const edit of editsOfTable) {
		if (edit.action === 'put') {
			byName.set(edit.row.name, edit.row as TableRows[Name]);
		} else {
			byName.delete(edit.name);
		}
	}
	return [...byName.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/**
 * Returns the constraints that the tables violate: the pool of a route must exist, and the default deadline of a route
 * must not exceed its longest one.
 *
 * @example
 * findTableViolations(applyEdits(tables, edits)).map((violation) => violation.message);
 */
export function findTableViolations(tables: Tables): TableViolation[] {
	const pools = new Set(tables.pools.map((pool) => pool.name));
	const violations: TableViolation[] = [];
	for (const route of tables.routes) {
		if (!pools.has(route.pool)) {
			violations.push({
				table: 'routes',
				row: route.name,
				field: 'pool',
				message:
					`The route "${route.name}" names the pool "${route.pool}", which does not exist. ` +
					`Declare the pool "${route.pool}", or join the route to another pool.`,
			});
		}
		if (route.defaultDeadlineMs > route.maxDeadlineMs) {
			violations.push({
				table: 'routes',
				row: route.name,
				field: 'defaultDeadlineMs',
				message:
					`The route "${route.name}" has a default deadline of ${route.defaultDeadlineMs} ms, which is ` +
					`beyond its longest deadline of ${route.maxDeadlineMs} ms. Lower the one or raise the other.`,
			});
		}
	}
	return violations;
}

/** The tables that a declaration defines completely; drains are set by a command instead. */
export type DeclaredTables = Pick<Tables, 'routes' | 'pools' | 'teams'>;

/**
 * Returns the edits that turn the current tables into the declared ones; none when they are equal.
 *
 * @example
 * const edits = diffTables(current, declared);
 */
export function diffTables(current: Tables, declared: DeclaredTables): TableEdit[] {
	return [
		...diffRows('pools', current.pools, declared.pools),
		...diffRows('routes', current.routes, declared.routes),
		...diffRows('teams', current.teams, declared.teams),
	];
}

function diffRows<Name extends 'routes' | 'pools' | 'teams'>(
	table: Name,
	current: readonly TableRows[Name][],
	declared: readonly TableRows[Name][],
): TableEdit[] {
	const currentByName = new Map(current.map((row) => [row.name, row]));
	const declaredNames = new Set(declared.map((row) => row.name));
	const puts = declared
		.filter((row) => diffFields(currentByName.get(row.name), row).length > 0)
		.map((row) => ({ action: 'put', table, row }) as PutEdit);
	const deletes = current
		.filter((row) => !declaredNames.has(row.name))
		.map((row): DeleteEdit => ({ action: 'delete', table, name: row.name }));
	return [...puts, ...deletes];
}

/** A field that differs between two versions of a row. */
export interface FieldChange {
	/** Path of the field, such as `objectives.answeredWithinMs`. */
	readonly field: string;
	readonly before: unknown;
	readonly after: unknown;
}

/**
 * Returns the fields that differ between two versions of a row; all fields when `before` is `undefined`.
 *
 * @example
 * diffFields({ name: 'a', weight: 1 }, { name: 'a', weight: 2 }); // [{ field: 'weight', before: 1, after: 2 }]
 */
export function diffFields(before: object | undefined, after: object): FieldChange[] {
	const beforeFields = flattenFields(before ?? {});
	const afterFields = flattenFields(after);
	const fields = new Set([...beforeFields.keys(), ...afterFields.keys()]);
	return [...fields]
		.map((field) => ({ field, before: beforeFields.get(field), after: afterFields.get(field) }))
		.filter((change) => change.before !== change.after);
}

function flattenFields(value: object, prefix = ''): Map<string, unknown> {
	const fields = new Map<string, unknown>();
	for (const [key, member] of Object.entries(value) as [string, unknown][]) {
		if (typeof member === 'object' && member !== null) {
			for (const [field, leaf] of flattenFields(member, `${prefix}${key}.`)) {
				fields.set(field, leaf);
			}
		} else {
			fields.set(`${prefix}${key}`, member);
		}
	}
	return fields;
}
