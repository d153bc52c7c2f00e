/** Formats status, history and tables for people. */

import { getEditedRowName, tableNames } from '../../declarations/common/tableEdits.js';
import type { Tables } from '../../declarations/common/tables.js';
import type { AcceptedChange, SystemStatus } from '../../protocol/common/operatorApi.js';

/** Aligns the cells of rows in columns. */
export function formatColumns(rows: readonly (readonly string[])[]): string {
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

/** Formats a keeper's status, with its members and processes. */
export function describeStatus(status: SystemStatus): string {
	const ageText =
		status.ageMs === undefined
			? 'The age of its state is unknown: no quorum confirms it.'
			: `Its state is at most ${Math.ceil(status.ageMs)} ms old.`;
	const leaderText =
		status.leaderId === undefined ? 'No leader is known.' : `The leader is ${status.leaderId}.`;
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
		`Keeper ${status.keeperId} answers as ${status.role} in term ${status.term}. ${leaderText} ${ageText}`,
		`Revision ${status.revision}, epoch ${status.directory.epoch}, ${status.claims} claims.`,
		'',
		formatColumns([['KEEPER', 'ADDRESS', 'VOTE', ''], ...members]),
		'',
		formatColumns([
			['PROCESS', 'ROLE', 'DATA CENTRE', 'RACK', 'POOL', 'REVISION', 'AGE', 'STATE', 'HEARD'],
			...processes,
		]),
	].join('\n');
}

/**
 * Adds the ages of processes that are subscribed to other keepers. Each keeper knows only its own subscribers' ages.
 *
 * @param others statuses of the other keepers
 */
export function fillInProcessAges(status: SystemStatus, others: readonly SystemStatus[]): SystemStatus {
	const ownSubscribers = others.flatMap(({ keeperId, processes }) =>
		processes.filter((process) => process.keeperId === keeperId),
	);
	const processes = status.processes.map((process) => {
		const ownStatus = ownSubscribers.find(
			({ processId, incarnation }) => processId === process.processId && incarnation === process.incarnation,
		);
		return { ...process, ageMs: process.ageMs ?? ownStatus?.ageMs };
	});
	return { ...status, processes };
}

/** Formats accepted changes, in the given order, one line for each. */
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
			.map((edit) => `${edit.action === 'put' ? '' : '-'}${edit.table}/${getEditedRowName(edit)}`)
			.join(' '),
	]);
	return formatColumns([['REVISION', 'ACCEPTED AT', 'AUTHOR', 'REQUEST', 'ROWS'], ...rows]);
}

/** Formats tables, one line for each row. */
export function describeTables(tables: Tables): string {
	const lines = tableNames.flatMap((table) => {
		const rows: readonly { readonly name: string }[] = tables[table];
		return rows.map(({ name, ...fields }) => [`${table}/${name}`, describeFields(fields)]);
	});
	return [`Revision ${tables.revision}`, formatColumns(lines)].join('\n');
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
