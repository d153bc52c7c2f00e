/** Describes crashes of workers. */

import type { TaskRunRef } from './dispatchMessages.js';

/** Time for which crashes are remembered. A caller may send a lost job again for about as long. */
export const crashRetentionMs = 120_000;

/** A run that was at a worker when it crashed. */
export interface CrashedRun extends TaskRunRef {
	readonly route: string;
	/** Time from the run's start to the crash. */
	readonly ageMs: number;
	/**
	 * Whether the run was certainly running: the worker had confirmed its start, and it was too young to have ended without the
	 * agent's knowledge.
	 */
	readonly wasRunning: boolean;
}

/** Crash of a worker while it had runs. */
export interface WorkerCrash {
	/** Identifies the incarnation of the worker, which can crash only once. */
	readonly workerKey: string;
	/** Agent of the worker; set by the entry that the agent has reported to. */
	readonly agentId?: string | undefined;
	readonly pool: string;
	/** Time since the crash. */
	readonly agoMs: number;
	readonly runs: readonly CrashedRun[];
}

/** Returns the key of one incarnation of a worker; a restarted worker may keep its ID. */
export function getWorkerKey(workerId: string, bornAtMs: number | undefined): string {
	return `${workerId}/${bornAtMs ?? ''}`;
}
