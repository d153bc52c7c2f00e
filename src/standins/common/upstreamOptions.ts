/** How the stand-in upstream behaves, and what a task's payload may ask of it. */

import { z } from 'zod';

/** Options of a stand-in upstream. */
export interface UpstreamOptions {
	readonly upstreamId: string;
	/** Address to take tasks on; port 0 picks a free one. */
	readonly httpAddress: string;
	/** Announce address of the agent. */
	readonly announceAddress: string;
	readonly pool: string;
	readonly slots: number;
	readonly connections: number;
	readonly cores: number;
	readonly memoryBytes: number;
	readonly accelerators: number;
	readonly ttlMs: number;
	/** File that each event is appended to; absent for none. */
	readonly journalFile: string | undefined;
	readonly seed: number;
	/** Run time of a task whose payload gives none. */
	readonly defaultRunMs: number;
	/** Share of tasks, from 0 to 1, that fail. */
	readonly failShare: number;
	/** Share of tasks, from 0 to 1, that take {@link slowFactor} times as long. */
	readonly slowShare: number;
	readonly slowFactor: number;
	/** Share of starts, from 0 to 1, that are refused before they start. */
	readonly refuseShare: number;
	/** Share of stops, from 0 to 1, that are ignored. */
	readonly ignoreStopShare: number;
	/** Age of the usage that is reported. */
	readonly usageLagMs: number;
}

/** Options that a caller need not give. */
export const defaultUpstreamOptions = {
	httpAddress: '127.0.0.1:0',
	slots: 8,
	connections: 64,
	cores: 32,
	memoryBytes: 64 * 1024 ** 3,
	accelerators: 0,
	ttlMs: 1500,
	journalFile: undefined,
	seed: 1,
	defaultRunMs: 100,
	failShare: 0,
	slowShare: 0,
	slowFactor: 10,
	refuseShare: 0,
	ignoreStopShare: 0,
	usageLagMs: 500,
} as const;

/** What a payload may ask of the stand-in; anything else in it is echoed. */
export const taskRequestSchema = z.looseObject({
	runMs: z.number().nonnegative().optional(),
	/** Name of the task among all tasks of a run, written to the journal for an auditor. */
	token: z.string().max(200).optional(),
	/** Whether the task fails. */
	fail: z.boolean().optional(),
	/** Whether the upstream's `failShare` applies to the task; true when absent. */
	mayFail: z.boolean().optional(),
	/** Length of the padding in the result. */
	resultBytes: z.number().int().nonnegative().max(64_000_000).optional(),
	/** Use that is reported for the task. */
	cores: z.number().nonnegative().optional(),
	memoryBytes: z.number().nonnegative().optional(),
});

/** What a payload asks of the stand-in. */
export type TaskRequest = z.output<typeof taskRequestSchema>;

/** Result of a task: enough for an auditor to see that it belongs to the task that asked. */
export interface StandinResult {
	readonly submissionId: string;
	readonly taskIndex: number;
	readonly upstreamId: string;
	readonly echo: unknown;
	readonly padding?: string | undefined;
}
