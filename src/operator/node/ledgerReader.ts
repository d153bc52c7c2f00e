/** Reads the outcome ledgers of entries. */

import { request } from 'undici';
import { z } from 'zod';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';

const count = z.number().int().nonnegative();

const ledgerSchema: z.ZodType<OutcomeLedger> = z.object({
	processId: z.string(),
	incarnation: z.string(),
	readAtMs: z.number(),
	seenSpans: z.array(z.object({ fromMs: z.number(), untilMs: z.number() })),
	otherRuns: z.array(
		z.object({ processId: z.string(), incarnation: z.string(), fromMs: z.number(), untilMs: z.number() }),
	),
	routes: z.array(
		z.object({
			route: z.string(),
			objectives: z.object({
				answeredWithinMs: z.number(),
				answeredWithinShare: z.number(),
				answeredWholeShare: z.number(),
			}),
			buckets: z.array(
				z.object({
					minute: count,
					counts: z.object({
						onTime: count,
						late: count,
						ranAndFailed: count,
						mayHaveRun: count,
						refused: count,
						cancelled: count,
					}),
				}),
			),
		}),
	),
});

/** An entry that may have a ledger. */
export interface LedgerSource {
	readonly processId: string;
	readonly httpAddress: string;
}

/** Ledgers that could be read, and the entries whose could not. */
export interface ReadLedgers {
	readonly ledgers: readonly OutcomeLedger[];
	readonly silentEntries: readonly string[];
}

/** Time that one entry has for its answer. */
const readTimeoutMs = 3000;

/**
 * Reads the ledgers of all entries at the same time. An entry that gives none is named, not guessed.
 *
 * @example
 * const { ledgers, silentEntries } = await readLedgers(entries, token);
 */
export async function readLedgers(sources: readonly LedgerSource[], token: string): Promise<ReadLedgers> {
	const read = await Promise.all(sources.map((source) => readLedger(source, token)));
	return {
		ledgers: read.filter((ledger) => ledger !== undefined),
		silentEntries: sources.filter((_, index) => read[index] === undefined).map((source) => source.processId),
	};
}

async function readLedger(source: LedgerSource, token: string): Promise<OutcomeLedger | undefined> {
	try {
		const response = await request(`http://${source.httpAddress}/v1/burn`, {
			headers: { authorization: `Bearer ${token}` },
			signal: AbortSignal.timeout(readTimeoutMs),
		});
		const ledger = ledgerSchema.safeParse(await response.body.json());
		return ledger.data;
	} catch {
		// An entry that can't be reached is reported by name.
		return undefined;
	}
}
