/** Takes over what the keepers publish: rows of the operators' tables, drains, and the home of each pool. */

import { rendezvousOrder } from '../../../base/common/rendezvous.js';
import type { ControlState } from '../../../control/common/controlPlane.js';
import type { EntryMember } from '../../../protocol/common/keeperMessages.js';
import type { EntryTables } from '../entryTables.js';
import { stopJob } from '../jobLife.js';
import type { PoolHome } from '../poolState.js';

/**
 * Puts a newer control state in force. An older one is ignored.
 *
 * @returns whether directories between this one and the last were missed, and with them perhaps other homes
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
		tables.poolOf(row.name).row = row;
	}
	const drained = new Set(state.tables.drains.map((row) => row.name));
	for (const worker of tables.workers.values()) {
		worker.setDrained(drained.has(worker.processId));
	}
	tables.isDrainedByOperator = drained.has(tables.options.processId);
	stopJobsOfLostPools(tables);
	return state.directory.epoch > control.directory.epoch + 1;
}

/** Entries that may be a pool's home, by process id: the home first, then the one that would follow it, and so on. */
export function homeOrder(pool: string, entries: readonly EntryMember[]): string[] {
	const eligible = entries.filter((entry) => !entry.isDraining);
	return rendezvousOrder(
		pool,
		eligible.map((entry) => entry.processId),
	);
}

/** The entry that every entry with the same directory takes for a pool's home. */
export function homeMember(pool: string, entries: readonly EntryMember[]): EntryMember | undefined {
	const [first] = homeOrder(pool, entries);
	return entries.find((entry) => entry.processId === first);
}

/** A pool's home, as seen by one entry. */
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

/** A job whose pool an operator has removed can't be placed any more. */
function stopJobsOfLostPools(tables: EntryTables): void {
	const names = new Set(tables.control.tables.pools.map((row) => row.name));
	for (const job of tables.jobs.values()) {
		if (names.has(job.pool) || job.phase === 'relayed') {
			continue;
		}
		stopJob(tables, job, {
			reason: 'noWorkers',
			message: `The pool "${job.pool}" was removed from the tables.`,
		});
	}
}
