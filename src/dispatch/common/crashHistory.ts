/** Counts the crashes of workers by the tasks that were there, whichever entry had started them. */

import { getTaskKey, type TaskRef, type TaskRunRef } from './dispatchMessages.js';
import { crashRetentionMs, type CrashedRun, type WorkerCrash } from './workerCrash.js';

/** Largest number of crashes that are remembered, to bound the memory; the oldest are dropped. */
const maxCrashes = 500;

/** A crash as this entry remembers it. */
export interface RecordedCrash extends Omit<WorkerCrash, 'agoMs'> {
	/** Time of the crash by this entry's clock. */
	readonly atMs: number;
	readonly runs: CrashedRun[];
}

/** Number of workers that have crashed under a task. */
export interface CrashCount {
	/** Crashes while the task was certainly running. */
	readonly certain: number;
	/** Crashes while the task may have been running. */
	readonly possible: number;
}

const noCrashes: CrashCount = { certain: 0, possible: 0 };

/** Place of a task among those that were at a worker when it crashed. */
export interface CrashSuspicion {
	readonly crash: RecordedCrash;
	/** 0 for the run that had started last: a task that crashes its worker mostly does so soon after its start. */
	readonly rank: number;
}

/**
 * Remembers recent crashes. Reports of the same crash, from the agent or another entry, are counted once.
 *
 * @example
 * history.record(crash, nowMs);
 * const crashes = history.countCrashes({ jobId, taskIndex: 0 });
 */
export class CrashHistory {
	/** Crashes by worker incarnation, the oldest report first. */
	private readonly _crashes = new Map<string, RecordedCrash>();
	/** Number of crashes by task index, by job. */
	private readonly _countsByJob = new Map<string, Map<number, CrashCount>>();

	/** Records a crash. Returns its runs that were not recorded before. */
	record({ workerKey, agentId, pool, agoMs, runs }: WorkerCrash, nowMs: number): readonly CrashedRun[] {
		this._dropOld(nowMs);
		const known = this._crashes.get(workerKey);
		const crash = known ?? { workerKey, agentId, pool, atMs: nowMs - agoMs, runs: [] };
		const added = runs.filter((run) => !crash.runs.some((recorded) => isSameTask(recorded, run)));
		this._crashes.set(workerKey, crash);
		crash.runs.push(...added);
		for (const run of added) {
			this._addToCount(run, 1);
		}
		return added;
	}

	/**
	 * Returns the crash that a run was lost in; `undefined` when none is known.
	 *
	 * @param agentId agent of the run, since the run numbers of a job that comes again begin again; `undefined` for any
	 */
	findCrash(run: TaskRunRef, agentId: string | undefined): RecordedCrash | undefined {
		if (this.countCrashes(run).possible === 0) {
			return undefined;
		}
		return [...this._crashes.values()].find(
			(crash) =>
				(agentId === undefined || crash.agentId === undefined || crash.agentId === agentId) &&
				crash.runs.some((recorded) => isSameTask(recorded, run) && recorded.run === run.run),
		);
	}

	/** Returns the number of workers that have crashed under a task. */
	countCrashes({ jobId, taskIndex }: TaskRef): CrashCount {
		return this._countsByJob.get(jobId)?.get(taskIndex) ?? noCrashes;
	}

	/** Returns the largest numbers of workers that have crashed under one task of a job. */
	countMostCrashes(jobId: string): CrashCount {
		const counts = [...(this._countsByJob.get(jobId)?.values() ?? [])];
		return {
			certain: Math.max(0, ...counts.map(({ certain }) => certain)),
			possible: Math.max(0, ...counts.map(({ possible }) => possible)),
		};
	}

	/** Returns the suspicion that a task has crashed its worker; `undefined` when no worker has crashed under it. */
	getSuspicion(task: TaskRef): CrashSuspicion | undefined {
		if (this.countCrashes(task).possible === 0) {
			return undefined;
		}
		for (const crash of this._crashes.values()) {
			if (!crash.runs.some((run) => isSameTask(run, task))) {
				continue;
			}
			const rank = [...crash.runs].sort(compareByStart).findIndex((run) => isSameTask(run, task));
			return { crash, rank };
		}
		return undefined;
	}

	/** Returns the pools of which workers have crashed. */
	getPools(): ReadonlySet<string> {
		return new Set([...this._crashes.values()].map(({ pool }) => pool));
	}

	/** Returns the remembered crashes of a pool's workers. */
	getOfPool(pool: string): readonly RecordedCrash[] {
		return [...this._crashes.values()].filter((crash) => crash.pool === pool);
	}

	/** Returns the remembered crashes. */
	getAll(nowMs: number): readonly WorkerCrash[] {
		this._dropOld(nowMs);
		return [...this._crashes.values()].map(({ atMs, ...crash }) => ({ ...crash, agoMs: nowMs - atMs }));
	}

	private _dropOld(nowMs: number): void {
		for (const [workerKey, { atMs, runs }] of this._crashes) {
			if (nowMs - atMs < crashRetentionMs && this._crashes.size <= maxCrashes) {
				return;
			}
			this._crashes.delete(workerKey);
			for (const run of runs) {
				this._addToCount(run, -1);
			}
		}
	}

	private _addToCount({ jobId, taskIndex, wasRunning }: CrashedRun, change: 1 | -1): void {
		const counts = this._countsByJob.get(jobId) ?? new Map<number, CrashCount>();
		const { certain, possible } = counts.get(taskIndex) ?? noCrashes;
		if (possible + change > 0) {
			counts.set(taskIndex, {
				certain: certain + (wasRunning ? change : 0),
				possible: possible + change,
			});
		} else {
			counts.delete(taskIndex);
		}
		if (counts.size > 0) {
			this._countsByJob.set(jobId, counts);
		} else {
			this._countsByJob.delete(jobId);
		}
	}
}

function isSameTask(left: TaskRef, right: TaskRef): boolean {
	return left.jobId === right.jobId && left.taskIndex === right.taskIndex;
}

/** Orders runs by their start, the last one first, and equally old ones alike at every entry. */
function compareByStart(left: CrashedRun, right: CrashedRun): number {
	return left.ageMs - right.ageMs || (getTaskKey(left) < getTaskKey(right) ? -1 : 1);
}
