/**
 * Shares of team quotas: how many tasks of a team this entry may have at workers.
 *
 * A quota is divided evenly among the entries that place tasks: the homes of the pools, or all entries under a policy
 * without homes. Every entry works the parts out from the same directory, so they cost no message and never add up
 * to more than the quota while homes stay. A team that uses the pools of one home only gets that home's part.
 */

import type { EntryTables } from '../entryTables.js';
import { homeOf } from './controlSystem.js';

/** Works out anew among how many entries the quotas are divided. */
export function divideQuotas(tables: EntryTables, usesHome: boolean): void {
	const { entries } = tables.control.directory;
	const { processId } = tables.options;
	const placing = usesHome ? homesOf(tables) : entries.map((entry) => entry.processId);
	const names = [...new Set(placing)].sort();
	tables.quotaParts = { count: Math.max(1, names.length), index: names.indexOf(processId) };
}

/** Tasks of a team that may be at workers, as started by this entry. */
export function teamShare(tables: EntryTables, team: string): number {
	const quota = tables.teamRows.get(team)?.maxRunningTasks;
	if (quota === undefined) {
		return Infinity;
	}
	const { count, index } = tables.quotaParts;
	const whole = Math.floor(quota / count);
	if (index === -1) {
		// Not a home: it only finishes what it has begun, or stands in while no home can be reached.
		return Math.max(whole, Math.min(1, quota));
	}
	return whole + (index < quota % count ? 1 : 0);
}

function homesOf(tables: EntryTables): string[] {
	const { processId } = tables.options;
	return tables.control.tables.pools.flatMap(({ name }) => {
		const home = homeOf(name, tables.control.directory.entries, processId);
		if (home.kind === 'none') {
			return [];
		}
		return [home.kind === 'self' ? processId : home.processId];
	});
}
