/** Tracks the runs that an agent holds at its worker, and the ends that it has reported to entries. */

import {
	addNeeds,
	noNeeds,
	getTaskKey,
	type JobStart,
	type TaskEndReport,
	type TaskNeeds,
	type TaskRef,
	type TaskStartRef,
	type WorkerTime,
} from './dispatchMessages.js';

/** Time for which ends are reported again to an entry that reconnects. */
const endResendWindowMs = 5000;
/** Time for which a task's last run number is kept; longer than a start message can be in transit. */
const lastRunRetentionMs = 30_000;

/** Time for which a running task may be missing from the worker's lists before it counts as lost. */
const missingTimeoutMs = 300;

/** Phase of a run. `stopping`: a stop was ordered, and the end is not known yet. */
export type HeldRunPhase = 'starting' | 'running' | 'stopping';

/** State of one run. */
export interface HeldRun extends TaskStartRef {
	/** ID and incarnation of the entry that requested the run. */
	readonly entryKey: string;
	readonly route: string;
	readonly needs: TaskNeeds;
	readonly payload: string;
	readonly estimateMs: number;
	/** Time at which the entry sent the start; `undefined` if the entry didn't tell it. */
	readonly sentAt: WorkerTime | undefined;
	phase: HeldRunPhase;
	/** Time at which the start order was sent. */
	readonly sentMs: number;
	startedMs: number;
	progressPercent: number;
	/** Time at which the worker confirmed the stop; `undefined` before. */
	stopConfirmedMs: number | undefined;
	/** Time at which the worker first listed neither the run nor its end. */
	missingSinceMs: number | undefined;
	/** Whether the known life of the worker has listed the run as running. */
	isListed: boolean;
	/** Whether the run ends as lost once it can't begin any more, since the worker has restarted. */
	isLostWithWorker: boolean;
}

/**
 * Returns the end of a run that the worker lists neither as running nor as ended; `undefined` while it is unknown.
 *
 * @param sentMs time at which the hold order was sent that the worker's lists answer
 */
export function resolveMissingRun(
	run: HeldRun,
	sentMs: number,
	nowMs: number,
): 'stopped' | 'lost' | undefined {
	if (run.phase === 'starting') {
		return undefined;
	}
	if (run.phase === 'stopping') {
		// If the lists are newer than the confirmation, the run never began, or its end was listed earlier.
		const isConfirmed = run.stopConfirmedMs !== undefined && run.stopConfirmedMs <= sentMs;
		const end = run.isLostWithWorker ? 'lost' : 'stopped';
		return isConfirmed ? end : undefined;
	}
	run.missingSinceMs ??= nowMs;
	return nowMs - run.missingSinceMs > missingTimeoutMs ? 'lost' : undefined;
}

/** Creates the state of a run that is about to be started. */
export function createHeldRun(
	task: TaskStartRef,
	job: JobStart,
	{ entryKey, sentAt }: Pick<HeldRun, 'entryKey' | 'sentAt'>,
	nowMs: number,
): HeldRun {
	const { route, needs, payload, estimateMs } = job;
	return {
		...task,
		entryKey,
		route,
		needs,
		payload,
		estimateMs,
		sentAt,
		phase: 'starting',
		sentMs: nowMs,
		startedMs: nowMs,
		progressPercent: 0,
		stopConfirmedMs: undefined,
		missingSinceMs: undefined,
		isListed: false,
		isLostWithWorker: false,
	};
}

interface LastRun {
	readonly run: number;
	/** Last run number before it; 0 when there was none. */
	readonly previousRun: number;
	readonly atMs: number;
}

/** Holds an agent's runs, the last run number of each task, and recently reported ends. */
export class HeldRuns {
	private readonly _runs = new Map<string, HeldRun>();
	private readonly _lastRuns = new Map<string, LastRun>();
	private readonly _reportedEnds = new Map<
		string,
		{ readonly report: TaskEndReport; readonly atMs: number }[]
	>();
	private _used: TaskNeeds = noNeeds;

	get size(): number {
		return this._runs.size;
	}

	/** Sum of the needs of all runs. */
	get used(): TaskNeeds {
		return this._used;
	}

	get all(): readonly HeldRun[] {
		return [...this._runs.values()];
	}

	get(task: TaskRef): HeldRun | undefined {
		return this._runs.get(getTaskKey(task));
	}

	/** Returns the last run number of a task; 0 when none is remembered. */
	getLastRunNumber(task: TaskRef): number {
		return this._lastRuns.get(getTaskKey(task))?.run ?? 0;
	}

	add(run: HeldRun, nowMs: number): void {
		const key = getTaskKey(run);
		this._runs.set(key, run);
		const previousRun = this.getLastRunNumber(run);
		this._lastRuns.delete(key);
		this._lastRuns.set(key, { run: run.run, previousRun, atMs: nowMs });
		this._used = addNeeds(this._used, run.needs);
		for (const [oldKey, { atMs }] of this._lastRuns) {
			if (nowMs - atMs < lastRunRetentionMs) {
				break;
			}
			this._lastRuns.delete(oldKey);
		}
	}

	/** Removes a run that the worker has refused, so that its number doesn't count as that of a run. */
	removeRefused(run: HeldRun): void {
		this.remove(run);
		const key = getTaskKey(run);
		const last = this._lastRuns.get(key);
		if (last?.run !== run.run) {
			return;
		}
		this._lastRuns.delete(key);
		if (last.previousRun > 0) {
			this._lastRuns.set(key, { run: last.previousRun, previousRun: 0, atMs: last.atMs });
		}
	}

	remove(run: HeldRun): void {
		if (this._runs.get(getTaskKey(run)) === run) {
			this._runs.delete(getTaskKey(run));
			this._used = this._runs.size === 0 ? noNeeds : addNeeds(this._used, run.needs, -1);
		}
	}

	/** Records a reported end, so that it can be reported again if the entry reconnects. */
	recordReportedEnd(entryKey: string, report: TaskEndReport, nowMs: number): void {
		const reportedEnds = (this._reportedEnds.get(entryKey) ?? []).filter(
			({ atMs }) => nowMs - atMs < endResendWindowMs,
		);
		reportedEnds.push({ report, atMs: nowMs });
		this._reportedEnds.set(entryKey, reportedEnds);
	}

	/** Returns the ends that were recently reported to an entry. */
	getRecentEnds(entryKey: string, nowMs: number): readonly TaskEndReport[] {
		return (this._reportedEnds.get(entryKey) ?? [])
			.filter(({ atMs }) => nowMs - atMs < endResendWindowMs)
			.map(({ report }) => report);
	}

	/** Returns the runs of one entry. */
	getRunsOfEntry(entryKey: string): readonly HeldRun[] {
		return this.all.filter((run) => run.entryKey === entryKey);
	}
}
