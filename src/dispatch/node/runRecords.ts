/** Keeps the runs of an agent and the measurements that they yield, and reports their ends to entries. */

import type { IClock } from '../../base/common/clock.js';
import {
	toStartRef,
	getTaskKey,
	type RefusalReason,
	type RunEnd,
	type TaskEndReport,
	type TaskStartRef,
} from '../common/dispatchMessages.js';
import { EndCounts } from '../common/endCounts.js';
import { HeldRuns, resolveMissingRun, type HeldRun } from '../common/heldRuns.js';
import { PaceMeter } from '../common/paceMeter.js';
import type { EndedTask, RunningTask } from '../common/taskWorker.js';

/** Sends what changes to entries. */
export interface IRunReporter {
	reportEnd(entryKey: string, report: TaskEndReport): void;
	scheduleStateReports(): void;
}

/** A refused start that is reported to the entry once the task's held run has ended. */
interface DeferredRefusal {
	readonly entryKey: string;
	readonly start: TaskStartRef;
	readonly reason: RefusalReason;
}

/**
 * Records starts, progress and ends of runs.
 *
 * @example
 * records.markRunning(run);
 * records.endRun(run, 'lost');
 */
export class RunRecords {
	readonly runs = new HeldRuns();
	readonly paceMeter = new PaceMeter();
	readonly endCounts = new EndCounts();
	/** Refusals that wait for the end of a held run, by task. */
	private readonly _deferredRefusals = new Map<string, DeferredRefusal[]>();

	constructor(
		private readonly _reporter: IRunReporter,
		private readonly _clock: IClock,
	) {}

	/** Records that the worker has begun a run. */
	markRunning(run: HeldRun): void {
		if (run.phase === 'starting') {
			run.phase = 'running';
			run.startedMs = this._clock.nowMs();
		}
	}

	/** Records the progress of a run that the worker lists. */
	recordProgress(run: HeldRun, { percent }: RunningTask): void {
		run.missingSinceMs = undefined;
		run.isListed = true;
		this.markRunning(run);
		run.progressPercent = percent;
		this.paceMeter.recordProgress(getTaskKey(run), percent, run.estimateMs, this._clock.nowMs());
	}

	/** Records an end that the worker lists. */
	recordEnd(run: HeldRun, { end }: EndedTask): void {
		const nowMs = this._clock.nowMs();
		const key = getTaskKey(run);
		if (end === 'done') {
			this.endCounts.recordDone(nowMs);
			this.paceMeter.recordDone(key, run.estimateMs, nowMs - run.startedMs);
		} else {
			this.paceMeter.removeTask(key);
		}
		if (end === 'failed') {
			this.endCounts.recordFailure(run.jobId, nowMs);
		}
		this.endRun(run, end);
	}

	/** Ends the runs that the worker should list and does not, once that shows that they have ended. */
	endMissingRuns(listedKeys: ReadonlySet<string>, sentMs: number): void {
		for (const run of this.runs.all) {
			if (!listedKeys.has(getTaskKey(run))) {
				const end = resolveMissingRun(run, sentMs, this._clock.nowMs());
				if (end !== undefined) {
					this.endRun(run, end);
				}
			}
		}
	}

	/** Removes a run and reports its end. */
	endRun(run: HeldRun, end: RunEnd): void {
		this.removeRun(run);
		this.reportEnd(run.entryKey, { ...toStartRef(run), end });
	}

	/** Removes all runs, or those that the known life of the worker has listed, and reports that they are lost. */
	endLostRuns(which: 'all' | 'listed'): void {
		for (const run of this.runs.all) {
			if (which === 'all' || run.isListed) {
				this.endRun(run, 'lost');
			}
		}
	}

	/** Removes a run that the worker has refused, without a report. */
	removeRefusedRun(run: HeldRun): void {
		this.runs.removeRefused(run);
		this._handleRemoved(run);
	}

	/** Removes a run without a report. */
	removeRun(run: HeldRun): void {
		this.runs.remove(run);
		this._handleRemoved(run);
	}

	private _handleRemoved(run: HeldRun): void {
		this.paceMeter.removeTask(getTaskKey(run));
		this._reporter.scheduleStateReports();
		if (this.runs.get(run) === undefined) {
			this._reportDeferredRefusals(getTaskKey(run));
		}
	}

	/**
	 * Reports that a start is refused, but not before the held run of its task has ended: the entry may then start the task
	 * elsewhere.
	 */
	reportRefusal(entryKey: string, start: TaskStartRef, reason: RefusalReason): void {
		if (this.runs.get(start) === undefined) {
			const knownRun = this.runs.getLastRunNumber(start);
			this.reportEnd(entryKey, { ...start, end: 'refused', reason, knownRun });
			return;
		}
		const key = getTaskKey(start);
		const refusals = this._deferredRefusals.get(key) ?? [];
		this._deferredRefusals.set(key, [...refusals, { entryKey, start, reason }]);
	}

	/** Returns the starts of an entry that are held, or are refused once a held run has ended. */
	getStartsOfEntry(entryKey: string): readonly TaskStartRef[] {
		const refusals = [...this._deferredRefusals.values()].flat();
		return [
			...this.runs.getRunsOfEntry(entryKey).map(toStartRef),
			...refusals.filter((refusal) => refusal.entryKey === entryKey).map(({ start }) => start),
		];
	}

	private _reportDeferredRefusals(key: string): void {
		const refusals = this._deferredRefusals.get(key) ?? [];
		this._deferredRefusals.delete(key);
		for (const { entryKey, start, reason } of refusals) {
			this.reportRefusal(entryKey, start, reason);
		}
	}

	/** Reports an end, and remembers it for an entry that reconnects. */
	reportEnd(entryKey: string, report: TaskEndReport): void {
		this.runs.recordReportedEnd(entryKey, report, this._clock.nowMs());
		this._reporter.reportEnd(entryKey, report);
	}

	/** Discards the measurements when the worker changes or restarts. */
	resetMeasurements(): void {
		this.paceMeter.reset();
		this.endCounts.reset();
	}
}
