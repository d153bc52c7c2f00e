/** Reads the counters of the entries under test and adds them up. */

import { request } from 'undici';
import { z } from 'zod';
import type { LocalEntry } from '../../proof/node/localDaemon.js';
import { localOperatorToken } from '../../proof/node/localSystem.js';
import type { MessageCounts } from '../common/benchSummary.js';

const framesSchema = z.object({ frames: z.number(), items: z.number() });

/** The part of `GET /v1/stats` that the bench needs. */
const statsSchema = z.object({
	startFrames: z.number(),
	outcomeFrames: z.number(),
	startsSent: z.number(),
	outcomesReceived: z.number(),
	relayedJobs: z.number(),
	relayedAnswers: z.number(),
	directAnswers: z.number(),
	wastedMessages: z.record(z.string(), framesSchema),
});

const poolSchema = z.object({ home: z.string(), meanRunMs: z.number() });

const bodySchema = z.object({ counters: statsSchema, pools: z.array(poolSchema) });

/** Counters of one entry. */
export type EntryCounters = z.output<typeof statsSchema>;

/** Reads the counters of one entry. */
export async function readEntryCounters(entry: LocalEntry): Promise<EntryCounters> {
	return (await readStats(entry)).counters;
}

/** Mean run time that the home of the only pool in use has learned; 0 when no entry is a home. */
export async function readLearnedRunMs(entries: readonly LocalEntry[]): Promise<number> {
	const stats = await Promise.all(entries.map((entry) => readStats(entry)));
	const homes = stats.flatMap(({ pools }) => pools).filter(({ home }) => home === 'self');
	return Math.max(0, ...homes.map(({ meanRunMs }) => meanRunMs));
}

async function readStats(entry: LocalEntry): Promise<z.output<typeof bodySchema>> {
	const response = await request(`${entry.url}/v1/stats`, {
		headers: { authorization: `Bearer ${localOperatorToken}` },
	});
	return bodySchema.parse(await response.body.json());
}

/**
 * Adds up the messages of all entries. A start and an answer count once for each task, however many share a frame;
 * everything else counts by frames, since tasks that share a frame cost one message.
 *
 * @example
 * const before = await readMessageCounts(system.entries);
 */
export async function readMessageCounts(entries: readonly LocalEntry[]): Promise<MessageCounts> {
	const counters = await Promise.all(entries.map((entry) => readEntryCounters(entry)));
	const sum = (valueOf: (entry: EntryCounters) => number): number =>
		counters.reduce((total, entry) => total + valueOf(entry), 0);
	return {
		startsAndAnswers: sum((entry) => entry.startsSent + entry.outcomesReceived),
		relays: sum((entry) => entry.relayedJobs + entry.relayedAnswers + entry.directAnswers),
		wastedByKind: Object.fromEntries(
			wastedKindsOf(counters).map((kind) => [kind, sum((entry) => entry.wastedMessages[kind]?.frames ?? 0)]),
		),
		cancels: {
			frames: sum((entry) => entry.wastedMessages.cancels?.frames ?? 0),
			items: sum((entry) => entry.wastedMessages.cancels?.items ?? 0),
		},
	};
}

function wastedKindsOf(counters: readonly EntryCounters[]): string[] {
	return [...new Set(counters.flatMap((entry) => Object.keys(entry.wastedMessages)))];
}

/** What was counted between two readings. */
export function subtractCounts(after: MessageCounts, before: MessageCounts): MessageCounts {
	return {
		startsAndAnswers: after.startsAndAnswers - before.startsAndAnswers,
		relays: after.relays - before.relays,
		wastedByKind: Object.fromEntries(
			Object.entries(after.wastedByKind).map(([kind, count]) => [
				kind,
				count - (before.wastedByKind[kind] ?? 0),
			]),
		),
		cancels: {
			frames: after.cancels.frames - before.cancels.frames,
			items: after.cancels.items - before.cancels.items,
		},
	};
}
