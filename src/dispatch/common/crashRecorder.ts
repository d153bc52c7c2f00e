/** Records the crashes of an agent's worker, with the runs that were there. */

import type { ILogService } from '../../services/log/common/log.js';
import { describeRun, toRunRef } from './dispatchMessages.js';
import type { HeldRun } from './heldRuns.js';
import type { KnownWorker } from './knownWorker.js';
import { crashRetentionMs, type WorkerCrash } from './workerCrash.js';

/** Largest number of crashes that an agent remembers. */
const maxCrashes = 10;

/** Share of its estimated duration up to which a run can't have ended, since estimates are rough. */
const certainlyRunningShare = 0.35;

/** What showed a crash. `connectionRefused`: nothing listens at the worker's address. */
export type CrashEvidence = 'connectionRefused' | 'reborn' | 'otherWorker';

/** What was known of a worker when it crashed. */
export type CrashedWorker = Pick<KnownWorker, 'announcement' | 'workerId' | 'key'>;

/** Remembers the recent crashes of one agent's worker. */
export class CrashRecorder {
	private readonly _crashes: (Omit<WorkerCrash, 'agoMs'> & { readonly atMs: number })[] = [];
	private _count = 0;

	constructor(private readonly _log: ILogService) {}

	/** Number of crashes since the agent's start. */
	get count(): number {
		return this._count;
	}

	/**
	 * Records that a worker has crashed, unless it had no runs, had announced that it leaves, or its crash is known. Returns the
	 * crash when it is new.
	 *
	 * @param crashedAtMs time of the first answer that the worker did not give
	 *
	 * @example
	 * const crash = crashes.record(worker, runs.all, 'reborn', crashedAtMs, clock.nowMs());
	 */
	record(
		worker: CrashedWorker,
		heldRuns: readonly HeldRun[],
		evidence: CrashEvidence,
		crashedAtMs: number,
		nowMs: number,
	): WorkerCrash | undefined {
		const { announcement, workerId, key: workerKey } = worker;
		if (
			workerKey === undefined ||
			announcement === undefined ||
			announcement.isLeaving ||
			heldRuns.length === 0
		) {
			return undefined;
		}
		if (this._crashes.some((crash) => crash.workerKey === workerKey)) {
			return undefined;
		}
		// A start that was sent after the crash has not reached the worker.
		const runs = heldRuns
			.filter(({ sentMs }) => sentMs <= crashedAtMs)
			.map((run) => {
				const ageMs = Math.round(crashedAtMs - run.sentMs);
				const wasRunning = run.phase === 'running' && ageMs <= certainlyRunningShare * run.estimateMs;
				return { ...toRunRef(run), route: run.route, ageMs, wasRunning };
			});
		const { pool } = announcement;
		this._crashes.push({ workerKey, pool, runs, atMs: nowMs });
		if (this._crashes.length > maxCrashes) {
			this._crashes.shift();
		}
		this._count += 1;
		this._log.warn('worker.crashed', {
			workerId,
			evidence,
			runs: runs.map((run) => `${describeRun(run)}+${run.ageMs}`),
		});
		return { workerKey, pool, runs, agoMs: 0 };
	}

	/** Returns the remembered crashes, the oldest first. */
	getAll(nowMs: number): readonly WorkerCrash[] {
		return this._crashes
			.filter(({ atMs }) => nowMs - atMs < crashRetentionMs)
			.map(({ atMs, ...crash }) => ({ ...crash, agoMs: nowMs - atMs }));
	}
}
