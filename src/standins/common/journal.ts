/** Journal of a stand-in upstream: the events of each task, for an auditor. */

import type { TaskIdentity } from '../../protocol/common/jobs.js';

/** Kind of a task event. */
export type JournalEventName =
	'start' | 'payload' | 'end' | 'fail' | 'refuse' | 'stop' | 'abort' | 'throttle' | 'checkpoint';

/** One line of a journal. */
export interface JournalEvent extends TaskIdentity {
	/** Wall-clock time, so that journals of processes on the same machine can be compared. */
	readonly timeMs: number;
	readonly event: JournalEventName;
	readonly upstreamId: string;
	readonly route: string;
	readonly team: string;
	/** On `payload`: the token in the task's payload, if any. */
	readonly token?: string | undefined;
	/** On `throttle`: share of a processor that the task gets. */
	readonly share?: number | undefined;
}

/** Records events. An implementation with a file passes each line to the operating system before `record` returns. */
export interface IJournal {
	record(event: JournalEvent): void;
}

/** Discards all events. */
export const nullJournal: IJournal = { record: () => undefined };

/**
 * Parses the text of a journal file. Omits the last line when it is incomplete, as after a kill.
 *
 * @example
 * const starts = parseJournal(readFileSync(file, 'utf8')).filter(({ event }) => event === 'start');
 */
export function parseJournal(text: string): readonly JournalEvent[] {
	const lines = text.split('\n');
	lines.pop();
	return lines.map((line) => JSON.parse(line) as JournalEvent);
}
