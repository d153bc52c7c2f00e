/** Converts the journals of stand-in upstreams to the auditor's start records. */

import { taskKey } from '../../protocol/common/jobs.js';
import { parseJournal } from '../../standins/common/journal.js';
import type { StartRecord } from './auditRecords.js';

/** Text of a journal file and the upstream that wrote it. */
export interface JournalText {
	readonly upstream: string;
	readonly text: string;
}

/**
 * Returns the starts in the journals of a system.
 *
 * The stand-in journals a start before it reads the payload, and the reader's token afterwards. When it was killed in
 * between, the token is taken from another start of the same task; without one, the task key replaces it, so that
 * duplicate starts of that task are still detected.
 *
 * @example
 * audit({ starts: parseJournalStarts(system.readJournals()), readers: readers.records });
 */
export function parseJournalStarts(journals: readonly JournalText[]): StartRecord[] {
	const events = journals.flatMap(({ upstream, text }) =>
		parseJournal(text).map((event) => ({ ...event, upstream })),
	);
	const tokensByTask = new Map<string, string>();
	for (const event of events) {
		if (event.event === 'payload' && event.token !== undefined) {
			tokensByTask.set(taskKey(event), event.token);
		}
	}
	return events
		.filter(({ event }) => event === 'start')
		.map((event) => {
			const key = taskKey(event);
			return { upstream: event.upstream, token: tokensByTask.get(key) ?? key, atMs: event.timeMs };
		});
}
