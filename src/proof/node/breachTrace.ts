/** Collects the attempts, starts, faults and log events around a task of a broken guarantee. */

import type { AuditReport, ReaderRecord, StartRecord } from '../common/auditRecords.js';
import { parseJournalStarts } from '../common/journalStarts.js';
import type { LogLine } from './localProcess.js';
import type { ProofRun } from './proofRun.js';

/** A fault that a soak injected. Times are wall-clock times. */
export interface InjectedFault {
	readonly kind: string;
	/** Names of the entry, agent and keeper that the target index selects; the kind determines which was affected. */
	readonly targets: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** Everything recorded around one task of a broken guarantee. */
export interface BreachTrace {
	readonly token: string;
	readonly starts: readonly StartRecord[];
	readonly attempts: readonly ReaderRecord[];
	readonly faults: readonly InjectedFault[];
	/** Log events of all processes in the same period, the oldest first. */
	readonly events: readonly (LogLine & { readonly process: string })[];
}

/** Time included before the first and after the last attempt or start of a task. */
const traceMarginMs = 6000;

/** Maximum number of traces in a report; the first ones are the most informative. */
const maxTraces = 5;

/**
 * Returns traces of the tasks of an audit's breaches. Must be called before the system is closed.
 *
 * @example
 * const traces = traceBreaches(run, run.audit(), faults);
 */
export function traceBreaches(
	run: ProofRun,
	report: AuditReport,
	faults: readonly InjectedFault[],
): BreachTrace[] {
	const tokens = new Set(report.breaches.flatMap(({ token }) => token ?? []));
	const starts = parseJournalStarts(run.system.readJournals());
	return [...tokens].slice(0, maxTraces).map((token) => {
		const taskStarts = starts.filter((start) => start.token === token);
		const attempts = run.readers.records.filter((record) => record.tokens.includes(token));
		const timesMs = [...taskStarts.map(({ atMs }) => atMs), ...attempts.map(({ sentAtMs }) => sentAtMs)];
		const fromMs = Math.min(...timesMs) - traceMarginMs;
		const untilMs = Math.max(...timesMs) + traceMarginMs;
		return {
			token,
			starts: taskStarts,
			attempts,
			faults: faults.filter((fault) => fault.fromMs <= untilMs && fault.untilMs >= fromMs),
			events: getEventsBetween(run, fromMs, untilMs),
		};
	});
}

function getEventsBetween(run: ProofRun, fromMs: number, untilMs: number): BreachTrace['events'] {
	const { entries, agents, keepers } = run.system;
	return [...entries, ...agents, ...keepers]
		.flatMap(({ name, runs }) =>
			runs.flatMap(({ events }) => events.map((line) => ({ ...line, process: name }))),
		)
		.filter(({ event, time }) => {
			const atMs = Date.parse(time);
			return event !== 'tables.inForce' && atMs >= fromMs && atMs <= untilMs;
		})
		.sort((a, b) => (a.time < b.time ? -1 : 1));
}
