/** Shares of team quotas: how many tasks of a team this entry may have at workers. */

import type { EntryTables } from '../entryTables.js';

/** Tasks of a team that may be at workers, as started by this entry. */
export function teamShare(tables: EntryTables, team: string): number {
	const row = tables.teamRows.get(team);
	if (row === undefined) {
		return Infinity;
	}
	return row.maxRunningTasks;
}
