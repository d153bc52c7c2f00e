/** Journal of a stand-in upstream: what it saw of each task, for an auditor. */

import type { TaskIdentity } from '../../protocol/common/jobs.js';

/** What happened to a task. */
export type JournalEventName =
	'start' | 'payload' | 'end' | 'fail' | 'refuse' | 'stop' | 'abort' | 'throttle' | 'checkpoint';

/** One line of a journal. */
export interface JournalEvent extends TaskIdentity {
	/** Wall-clock time, so that journals of processes on one machine can be compared. */
	readonly timeMs: number;
	readonly event: JournalEventName;
	readonly upstreamId: string;
	readonly route: string;
	readonly team: string;
	/** On `payload`: the token that the reader put into the task, where there is one. */
	readonly token?: string | undefined;
	/** Share that a throttled task gets. */
	readonly share?: number | undefined;
}

/** Records events; a line is handed to the operating system before `record` returns. */
export interface IJournal {
	record(event: JournalEvent): void;
}

/** Records nothing. */
export const nullJournal: IJournal = { record: () => undefined };

/**
 * Parses a journal file's text. The last line may be torn by a kill and is then left out.
 *
 * @example
 * const starts = parseJournal(readFileSync(file, 'utf8')).filter(({ event }) => event === 'start');
 */
export function parseJournal(text: string): readonly JournalEvent[] {
	const lines = text.split('\n');
	lines.pop();
	return lines.map((line) => JSON.parse(line) as JournalEvent);
}
