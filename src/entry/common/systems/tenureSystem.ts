/** Begins and ends this entry's tenures as the home of pools, according to the keepers' directory. */

import type { EntryTables } from '../entryTables.js';
import type { PoolHome, PoolState, HomeTenure } from '../poolState.js';
import type { EntryOutputs } from '../tickTypes.js';
import { homeOf } from './controlSystem.js';

/** Maximum time that a new home waits for its workers to connect and for the earlier home's hand-over. */
const settleTimeoutMs = 1500;

/** Change of a pool's home, or possible change back and forth while directories were missed. */
export interface HomeChange {
	readonly pool: PoolState;
	/** Home before the change. */
	readonly before: PoolHome;
}

/**
 * Recomputes the home of every pool. Returns the pools whose home has changed, or may have changed and come back
 * while directories were missed.
 */
export function updateHomes(
	tables: EntryTables,
	outputs: EntryOutputs,
	hasMissedDirectories: boolean,
): HomeChange[] {
	const changed: HomeChange[] = [];
	for (const pool of tables.pools.values()) {
		const before = pool.home;
		const after = homeOf(pool.name, tables.control.directory.entries, tables.options.processId);
		if (isSameHome(before, after)) {
			if (hasMissedDirectories && after.kind === 'self') {
				pool.tenure = beginTenure(tables, before);
				changed.push({ pool, before });
			}
			continue;
		}
		pool.home = after;
		pool.tenure = after.kind === 'self' ? beginTenure(tables, before) : undefined;
		pool.earlierOwnerBySubmission.clear();
		changed.push({ pool, before });
		logHomeChange(tables, pool, outputs);
	}
	return changed;
}

/**
 * Settles the tenures that no longer wait for an earlier home's hand-over, and those that have reached the timeout. A
 * tenure that begins shortly after the start of the process always waits for the timeout.
 */
export function settleHomes(tables: EntryTables): void {
	for (const { tenure } of tables.pools.values()) {
		if (tenure === undefined || tenure.isSettled) {
			continue;
		}
		const hasWaited = tables.nowMs - tenure.sinceMs >= settleTimeoutMs;
		const hasJustStarted = tenure.sinceMs - (tables.firstTickMs ?? 0) < settleTimeoutMs;
		tenure.isSettled = hasWaited || (!hasJustStarted && tenure.earlierHome === undefined);
	}
}

function beginTenure(tables: EntryTables, before: PoolHome): HomeTenure {
	return { sinceMs: tables.nowMs, earlierHome: survivingEarlierHome(tables, before), isSettled: false };
}

/** Returns the earlier home's process id if the entry is still listed, since it may then continue its own jobs. */
function survivingEarlierHome(tables: EntryTables, before: PoolHome): string | undefined {
	if (before.kind !== 'other') {
		return undefined;
	}
	return tables.isInDirectory(before) ? before.processId : undefined;
}

function logHomeChange(tables: EntryTables, pool: PoolState, outputs: EntryOutputs): void {
	const { home } = pool;
	const ownName = home.kind === 'self' ? tables.options.processId : undefined;
	outputs.events.push({
		level: 'info',
		event: 'pool.home.changed',
		fields: {
			pool: pool.name,
			epoch: tables.epoch,
			home: home.kind === 'other' ? home.processId : ownName,
		},
	});
}

function isSameHome(before: PoolHome, after: PoolHome): boolean {
	if (before.kind === 'other' && after.kind === 'other') {
		return before.processId === after.processId && before.incarnation === after.incarnation;
	}
	return before.kind === after.kind;
}
