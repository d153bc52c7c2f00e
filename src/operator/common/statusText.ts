/** Shows status, history and tables to people. */

import { editedName, tableNames } from '../../declarations/common/tableEdits.js';
import type { Tables } from '../../declarations/common/tables.js';
import type { AcceptedChange, SystemStatus } from '../../protocol/common/operatorApi.js';

/** Lays rows of cells out in columns. */
export function layOut(rows: readonly (readonly string[])[]): string {
	const widths: number[] = [];
	for (const row of rows) {
		row.forEach((cell, column) => {
			widths[column] = Math.max(widths[column] ?? 0, cell.length);
		});
	}
	return rows
		.map((row) =>
			row
				.map((cell, column) => cell.padEnd(widths[column] ?? 0))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}

/** Describes a keeper's status. */
export function describeStatus(status: SystemStatus): string {
	const age =
		status.ageMs === undefined
			? 'Its state can be of any age: no quorum confirms it.'
			: `Its state is at most ${Math.ceil(status.ageMs)} ms old.`;
	const lead = status.leaderId === undefined ? 'No leader is known.' : `The leader is ${status.leaderId}.`;
	const members = status.members.map((member) => [
		member.processId,
		member.address,
		member.isVoter ? 'voter' : 'learner',
		status.silentKeepers.includes(member.processId) ? 'silent' : '',
	]);
	const processes = status.processes.map((process) => [
		process.processId,
		process.role,
		process.dataCentre,
		process.rack,
		process.pool ?? '-',
		String(process.revisionInForce),
		process.ageMs === undefined ? '-' : `${Math.ceil(process.ageMs)} ms`,
		process.isLive ? (process.isDraining ? 'draining' : 'live') : 'lease ended',
		`heard ${process.heardAgoMs} ms ago by ${process.keeperId}`,
	]);
	return [
		`Keeper ${status.keeperId} answers as ${status.role} in term ${status.term}. ${lead} ${age}`,
		`Revision ${status.revision}, epoch ${status.directory.epoch}, ${status.claims} claims.`,
		'',
		layOut([['KEEPER', 'ADDRESS', 'VOTE', ''], ...members]),
		'',
		layOut([
			['PROCESS', 'ROLE', 'DATA CENTRE', 'RACK', 'POOL', 'REVISION', 'AGE', 'STATE', 'HEARD'],
			...processes,
		]),
	].join('\n');
}

/**
 * Fills in the ages of processes that are subscribed to other keepers: each keeper knows those of its own subscribers.
 *
 * @param others what the other keepers say
 */
export function withAges(status: SystemStatus, others: readonly SystemStatus[]): SystemStatus {
	const told = others.flatMap(({ keeperId, processes }) =>
		processes.filter((process) => process.keeperId === keeperId),
	);
	const processes = status.processes.map((process) => {
		const own = told.find(
			({ processId, incarnation }) => processId === process.processId && incarnation === process.incarnation,
		);
		return { ...process, ageMs: process.ageMs ?? own?.ageMs };
	});
	return { ...status, processes };
}

/** Describes accepted changes, the newest first. */
export function describeHistory(changes: readonly AcceptedChange[]): string {
	if (changes.length === 0) {
		return 'No change has been accepted yet.';
	}
	const rows = changes.map((change) => [
		String(change.revision),
		change.acceptedAt,
		change.author,
		change.requestId,
		change.edits
			.map((edit) => `${edit.action === 'put' ? '' : '-'}${edit.table}/${editedName(edit)}`)
			.join(' '),
	]);
	return layOut([['REVISION', 'ACCEPTED AT', 'AUTHOR', 'REQUEST', 'ROWS'], ...rows]);
}

/** Describes tables, one row a line. */
export function describeTables(tables: Tables): string {
	const lines = tableNames.flatMap((table) => {
		const rows: readonly { readonly name: string }[] = tables[table];
		return rows.map(({ name, ...fields }) => [`${table}/${name}`, describeFields(fields)]);
	});
	return [`Revision ${tables.revision}`, layOut(lines)].join('\n');
}

function describeFields(fields: object, prefix = ''): string {
	return (Object.entries(fields) as [string, unknown][])
		.map(([field, value]) =>
			typeof value === 'object' && value !== null
				? describeFields(value, `${prefix}${field}.`)
				: `${prefix}${field}=${String(value)}`,
		)
		.join(' ');
}
