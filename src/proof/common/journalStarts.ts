/** Turns journals of stand-in upstreams into the auditor's records. */

import { taskKey } from '../../protocol/common/jobs.js';
import { parseJournal } from '../../standins/common/journal.js';
import type { StartRecord } from './auditRecords.js';

/** A journal file's text and the upstream that wrote it. */
export interface JournalText {
	readonly upstream: string;
	readonly text: string;
}

/**
 * Lists the starts in the journals of a system.
 *
 * The stand-in journals a start before it reads the task, and the reader's token after that. A start whose token
 * was never written, because the stand-in was killed in between, gets the task's identity in the system in its
 * place, so that two starts of one identity are seen all the same.
 *
 * @example
 * audit({ starts: startsOfJournals(system.readJournals()), readers: readers.records });
 */
export function startsOfJournals(journals: readonly JournalText[]): StartRecord[] {
	const events = journals.flatMap(({ upstream, text }) =>
		parseJournal(text).map((event) => ({ ...event, upstream })),
	);
	const tokens = new Map<string, string>();
	for (const event of events) {
		if (event.event === 'payload' && event.token !== undefined) {
			tokens.set(taskKey(event), event.token);
		}
	}
	return events
		.filter(({ event }) => event === 'start')
		.map((event) => {
			const identity = taskKey(event);
			return { upstream: event.upstream, token: tokens.get(identity) ?? identity, atMs: event.timeMs };
		});
}
