/** Runs that an agent holds at its worker, and what entries are told of their ends. */

import {
	addNeeds,
	noNeeds,
	taskKeyOf,
	type JobStart,
	type TaskEndReport,
	type TaskNeeds,
	type TaskRef,
	type TaskRunRef,
} from './dispatchMessages.js';

/** Time for which ends are told again to an entry that connects anew. */
const retellMs = 5000;
/** Time for which the number of the last run is remembered; longer than a start may be on its way. */
const rememberRunMs = 30_000;

/** Time for which a running task may be missing in the worker's lists before it counts as lost. */
const missingMs = 300;

/** Where a run stands. `stopping`: it ends as soon as the worker confirms. */
export type HeldRunPhase = 'starting' | 'running' | 'stopping';

/** One run. */
export interface HeldRun extends TaskRunRef {
	/** Run of the entry that asked for it. */
	readonly entryKey: string;
	readonly needs: TaskNeeds;
	readonly payload: string;
	readonly estimateMs: number;
	phase: HeldRunPhase;
	startedMs: number;
	percent: number;
	/** When the worker confirmed the stop; `undefined` before. */
	stopConfirmedMs: number | undefined;
	/** When the worker first listed neither the run nor its end. */
	missingSinceMs: number | undefined;
}

/**
 * What became of a run that the worker lists neither as running nor as ended; `undefined` while that isn't known.
 *
 * @param sentMs when the call was sent that the lists answer
 */
export function judgeMissing(run: HeldRun, sentMs: number, nowMs: number): 'stopped' | 'lost' | undefined {
	if (run.phase === 'starting') {
		return undefined;
	}
	if (run.phase === 'stopping') {
		// The lists were made after the stop was confirmed: the run never began, or its end was listed before.
		const isConfirmed = run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= sentMs;
		return isConfirmed ? 'stopped' : undefined;
	}
	run.missingSinceMs ??= nowMs;
	return nowMs - run.missingSinceMs > missingMs ? 'lost' : undefined;
}

/** Makes a run that is about to be started. */
export function createHeldRun(task: TaskRunRef, job: JobStart, entryKey: string, nowMs: number): HeldRun {
	const { needs, payload, estimateMs } = job;
	return {
		...task,
		entryKey,
		needs,
		payload,
		estimateMs,
		phase: 'starting',
		startedMs: nowMs,
		percent: 0,
		stopConfirmedMs: undefined,
		missingSinceMs: undefined,
	};
}

/** Table of runs. */
export class HeldRuns {
	private readonly _runs = new Map<string, HeldRun>();
	private readonly _lastRuns = new Map<string, { readonly run: number; readonly atMs: number }>();
	private readonly _told = new Map<string, { readonly report: TaskEndReport; readonly atMs: number }[]>();
	private _used: TaskNeeds = noNeeds;

	get size(): number {
		return this._runs.size;
	}

	/** What the runs take together. */
	get used(): TaskNeeds {
		return this._used;
	}

	get all(): readonly HeldRun[] {
		return [...this._runs.values()];
	}

	get(task: TaskRef): HeldRun | undefined {
		return this._runs.get(taskKeyOf(task));
	}

	/** Highest run of a task that is remembered; 0 when none is. */
	lastRunOf(task: TaskRef): number {
		return this._lastRuns.get(taskKeyOf(task))?.run ?? 0;
	}

	add(run: HeldRun, nowMs: number): void {
		const key = taskKeyOf(run);
		this._runs.set(key, run);
		this._lastRuns.delete(key);
		this._lastRuns.set(key, { run: run.run, atMs: nowMs });
		this._used = addNeeds(this._used, run.needs);
		for (const [oldKey, { atMs }] of this._lastRuns) {
			if (nowMs - atMs < rememberRunMs) {
				break;
			}
			this._lastRuns.delete(oldKey);
		}
	}

	remove(run: HeldRun): void {
		if (this._runs.get(taskKeyOf(run)) === run) {
			this._runs.delete(taskKeyOf(run));
			this._used = this._runs.size === 0 ? noNeeds : addNeeds(this._used, run.needs, -1);
		}
	}

	/** Keeps an end for an entry that may have to be told again. */
	noteTold(entryKey: string, report: TaskEndReport, nowMs: number): void {
		const told = (this._told.get(entryKey) ?? []).filter(({ atMs }) => nowMs - atMs < retellMs);
		told.push({ report, atMs: nowMs });
		this._told.set(entryKey, told);
	}

	/** Ends of the last seconds for an entry. */
	toldTo(entryKey: string, nowMs: number): readonly TaskEndReport[] {
		return (this._told.get(entryKey) ?? [])
			.filter(({ atMs }) => nowMs - atMs < retellMs)
			.map(({ report }) => report);
	}

	/** Runs of one entry. */
	runsOf(entryKey: string): readonly HeldRun[] {
		return this.all.filter((run) => run.entryKey === entryKey);
	}
}
