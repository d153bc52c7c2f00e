/** Formats a plan of edits for people. */

import { diffFields, getEditedRowName } from '../../declarations/common/tableEdits.js';
import type { PutEdit, TableEdit, Tables } from '../../declarations/common/tables.js';

/**
 * Describes edits compared with the tables that they are based on, one paragraph for each row.
 *
 * @example
 * describePlan(tables, edits); // '+ pools/ledger\n    maxQueuedTasks: 2000 …'
 */
export function describePlan(tables: Tables, edits: readonly TableEdit[]): string {
	return edits.map((edit) => describeEdit(tables, edit)).join('\n');
}

function describeEdit(tables: Tables, edit: TableEdit): string {
	const name = `${edit.table}/${getEditedRowName(edit)}`;
	if (edit.action === 'delete') {
		return `- ${name}`;
	}
	const before = findRow(tables, edit);
	const fields = diffFields(before, edit.row)
		.filter(({ field }) => field !== 'name')
		.map((change) => {
			const after = JSON.stringify(change.after);
			return before === undefined
				? `    ${change.field}: ${after}`
				: `    ${change.field}: ${JSON.stringify(change.before)} -> ${after}`;
		});
	return [`${before === undefined ? '+' : '~'} ${name}`, ...fields].join('\n');
}

function findRow(tables: Tables, edit: PutEdit): object | undefined {
	const rows: readonly { readonly name: string }[] = tables[edit.table];
	return rows.find((row) => row.name === edit.row.name);
}
