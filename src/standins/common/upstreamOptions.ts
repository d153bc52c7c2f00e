/** Options of the stand-in upstream, and the schema of task payloads. */

import { z } from 'zod';

/** Options of a stand-in upstream. */
export interface UpstreamOptions {
	readonly upstreamId: string;
	/** Address for task requests; port 0 selects a free port. */
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
	/** Journal file that events are appended to; undefined for none. */
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
	/** Age of the reported usage. */
	readonly usageLagMs: number;
}

/** Defaults of optional options. */
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

/** Payload fields that control the stand-in; the whole payload is echoed. */
export const taskRequestSchema = z.looseObject({
	runMs: z.number().nonnegative().optional(),
	/** Unique name of the task within a run, written to the journal for an auditor. */
	token: z.string().max(200).optional(),
	/** Whether the task fails. */
	fail: z.boolean().optional(),
	/** Whether the upstream's `failShare` applies to the task; true when absent. */
	mayFail: z.boolean().optional(),
	/** Length of the padding in the result, in bytes. */
	resultBytes: z.number().int().nonnegative().max(64_000_000).optional(),
	/** Usage that is reported for the task. */
	cores: z.number().nonnegative().optional(),
	memoryBytes: z.number().nonnegative().optional(),
});

/** Parsed payload fields that control the stand-in. */
export type TaskRequest = z.output<typeof taskRequestSchema>;

/** Result of a task; identifies the task, so that an auditor can detect results of other tasks. */
export interface StandinResult {
	readonly submissionId: string;
	readonly taskIndex: number;
	readonly upstreamId: string;
	readonly echo: unknown;
	readonly padding?: string | undefined;
}
