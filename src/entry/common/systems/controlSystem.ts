/** Applies what the keepers publish: rows of the operators' tables, drains, and the directory that determines homes. */

import { rendezvousOrder } from '../../../base/common/rendezvous.js';
import type { ControlState } from '../../../control/common/controlPlane.js';
import type { EntryMember } from '../../../protocol/common/keeperMessages.js';
import type { EntryTables } from '../entryTables.js';
import { stopJob } from '../jobLifecycle.js';
import type { PoolHome } from '../poolState.js';

/**
 * Applies a newer control state. An older one is ignored.
 *
 * @returns whether directories between the last one and this one were missed, and with them possibly changes of homes
 */
export function applyControlState(tables: EntryTables, state: ControlState): boolean {
	const { control } = tables;
	if (state.tables.revision < control.tables.revision || state.directory.epoch < control.directory.epoch) {
		return false;
	}
	tables.control = state;
	replaceRows(tables.routeRows, state.tables.routes);
	replaceRows(tables.teamRows, state.tables.teams);
	for (const row of state.tables.pools) {
		tables.getOrCreatePool(row.name).row = row;
	}
	const drained = new Set(state.tables.drains.map((row) => row.name));
	for (const worker of tables.workers.values()) {
		worker.setDrained(drained.has(worker.processId));
	}
	tables.isDrainedByOperator = drained.has(tables.options.processId);
	stopJobsOfRemovedPools(tables);
	return state.directory.epoch > control.directory.epoch + 1;
}

/** Returns the process ids of the entries that may be a pool's home: the home first, then its successors in order. */
export function homeOrder(pool: string, entries: readonly EntryMember[]): string[] {
	const eligible = entries.filter((entry) => !entry.isDraining);
	return rendezvousOrder(
		pool,
		eligible.map((entry) => entry.processId),
	);
}

/** Returns the home of a pool, which is the same at all entries with the same directory. */
export function homeMember(pool: string, entries: readonly EntryMember[]): EntryMember | undefined {
	const [first] = homeOrder(pool, entries);
	return entries.find((entry) => entry.processId === first);
}

/** Returns the home of a pool from the point of view of one entry. */
export function homeOf(pool: string, entries: readonly EntryMember[], selfId: string): PoolHome {
	const member = homeMember(pool, entries);
	if (member === undefined) {
		return { kind: 'none' };
	}
	if (member.processId === selfId) {
		return { kind: 'self' };
	}
	return { kind: 'other', processId: member.processId, incarnation: member.incarnation };
}

function replaceRows<Row extends { readonly name: string }>(
	target: Map<string, Row>,
	rows: readonly Row[],
): void {
	target.clear();
	for (const row of rows) {
		target.set(row.name, row);
	}
}

/** Stops jobs whose pool an operator has removed, because they can't be placed any more. */
function stopJobsOfRemovedPools(tables: EntryTables): void {
	const names = new Set(tables.control.tables.pools.map((row) => row.name));
	for (const job of tables.jobs.values()) {
		if (names.has(job.pool) || job.phase === 'relayed') {
			continue;
		}
		stopJob(tables, job, {
			reason: 'noWorkers',
			message: `The pool "${job.pool}" was removed from the operators' tables.`,
		});
	}
}
