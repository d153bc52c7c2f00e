/** Reads the outcome ledgers of entries over HTTP. */

import { request } from 'undici';
import { z } from 'zod';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';

const countSchema = z.number().int().nonnegative();

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
					minute: countSchema,
					counts: z.object({
						onTime: countSchema,
						late: countSchema,
						ranAndFailed: countSchema,
						mayHaveRun: countSchema,
						refused: countSchema,
						cancelled: countSchema,
					}),
				}),
			),
		}),
	),
});

/** An entry whose ledger is to be read. */
export interface LedgerSource {
	readonly processId: string;
	readonly httpAddress: string;
}

/** Ledgers that were read, and the entries whose ledger could not be read. */
export interface LedgerReadResult {
	readonly ledgers: readonly OutcomeLedger[];
	/** Process ids of the entries whose ledger could not be read. */
	readonly silentEntries: readonly string[];
}

/** Timeout of the request to one entry. */
const readTimeoutMs = 3000;

/**
 * Reads the ledgers of all entries in parallel. An entry that can't be read is listed, and nothing is estimated for it.
 *
 * @example
 * const { ledgers, silentEntries } = await readLedgers(entries, token);
 */
export async function readLedgers(
	sources: readonly LedgerSource[],
	token: string,
): Promise<LedgerReadResult> {
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
		// The caller lists an entry without a ledger as silent.
		return undefined;
	}
}
