/** Gathers, for a broken promise, what was going on around the task: attempts, starts, faults and log events. */

import type { AuditReport, ReaderRecord, StartRecord } from '../common/auditRecords.js';
import { startsOfJournals } from '../common/journalStarts.js';
import type { LogLine } from './localProcess.js';
import type { ProofRun } from './proofRun.js';

/** A fault of a soak, as it happened. Times are of the wall clock. */
export interface InjectedFault {
	readonly kind: string;
	/** Entry, agent and keeper that the fault's number stands for; the kind tells which of them it hit. */
	readonly targets: string;
	readonly fromMs: number;
	readonly untilMs: number;
}

/** What is known of one task of a broken promise. */
export interface BreachTrace {
	readonly token: string;
	readonly starts: readonly StartRecord[];
	readonly attempts: readonly ReaderRecord[];
	readonly faults: readonly InjectedFault[];
	/** Log events of all processes around the task, the oldest first. */
	readonly events: readonly (LogLine & { readonly process: string })[];
}

/** Time before a task's first attempt and after its last start that is shown. */
const marginMs = 6000;

/** Traces that a report holds at most; the first ones tell most. */
const maxTraces = 5;

/**
 * Traces the tasks of an audit's breaches. Call it before the system is closed.
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
	const starts = startsOfJournals(run.system.readJournals());
	return [...tokens].slice(0, maxTraces).map((token) => {
		const own = starts.filter((start) => start.token === token);
		const attempts = run.readers.records.filter((record) => record.tokens.includes(token));
		const timesMs = [...own.map(({ atMs }) => atMs), ...attempts.map(({ sentAtMs }) => sentAtMs)];
		const fromMs = Math.min(...timesMs) - marginMs;
		const untilMs = Math.max(...timesMs) + marginMs;
		return {
			token,
			starts: own,
			attempts,
			faults: faults.filter((fault) => fault.fromMs <= untilMs && fault.untilMs >= fromMs),
			events: eventsBetween(run, fromMs, untilMs),
		};
	});
}

function eventsBetween(run: ProofRun, fromMs: number, untilMs: number): BreachTrace['events'] {
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
