/**
 * Measures a worker's pace from the progress of its running tasks. This detects workers that become four or more times
 * slower, or stall, while they look healthy otherwise; the durations of ended tasks would show it only seconds later.
 */

/** Length of the window over which progress is summed. */
const paceWindowMs = 220;
/** Least total task time in the window for a pace, since estimates of single tasks are inaccurate. */
const minObservedTaskMs = 250;
/** Weight of a newly ended task in the moving average of speeds. */
const newTaskWeight = 0.08;
/** Bounds of a single task's speed in that average, which limit the effect of a wrong estimate. */
const minSpeedSample = 0.2;
const maxSpeedSample = 3;

interface ProgressSample {
	readonly atMs: number;
	/** Time since the task's previous observation. */
	readonly taskMs: number;
	/** Estimated duration of the work that was done in that time. */
	readonly progressMs: number;
}

interface LastProgress {
	percent: number;
	atMs: number;
}

/**
 * Measures the pace and speed of one worker.
 *
 * @example
 * meter.recordProgress('job/0', 10, 200, nowMs);
 * meter.getPace(nowMs);
 */
export class PaceMeter {
	private readonly _lastProgressByKey = new Map<string, LastProgress>();
	private _samples: ProgressSample[] = [];
	private _meanSpeed = 1;

	/** Moving average of estimated over measured duration of ended tasks; 1 before the first. */
	get speed(): number {
		return this._meanSpeed;
	}

	/** Records the progress of a running task, in per cent. */
	recordProgress(key: string, percent: number, estimateMs: number, nowMs: number): void {
		const lastProgress = this._lastProgressByKey.get(key);
		if (lastProgress === undefined) {
			this._lastProgressByKey.set(key, { percent, atMs: nowMs });
			return;
		}
		const taskMs = nowMs - lastProgress.atMs;
		if (taskMs < 15) {
			return;
		}
		this._samples.push({
			atMs: nowMs,
			taskMs,
			progressMs: ((percent - lastProgress.percent) / 100) * estimateMs,
		});
		lastProgress.percent = percent;
		lastProgress.atMs = nowMs;
	}

	/** Records the duration of a task that was done. */
	recordDone(key: string, estimateMs: number, durationMs: number): void {
		this._lastProgressByKey.delete(key);
		if (durationMs > 0 && estimateMs > 0) {
			const speedSample = Math.min(maxSpeedSample, Math.max(minSpeedSample, estimateMs / durationMs));
			this._meanSpeed += newTaskWeight * (speedSample - this._meanSpeed);
		}
	}

	/** Stops tracking a task that ended in another way. */
	removeTask(key: string): void {
		this._lastProgressByKey.delete(key);
	}

	/** Returns progress over elapsed task time in the window; `undefined` when too little ran in it. */
	getPace(nowMs: number): number | undefined {
		this._samples = this._samples.filter(({ atMs }) => nowMs - atMs <= paceWindowMs);
		let taskMs = 0;
		let progressMs = 0;
		for (const sample of this._samples) {
			taskMs += sample.taskMs;
			progressMs += sample.progressMs;
		}
		return taskMs < minObservedTaskMs ? undefined : progressMs / taskMs;
	}

	/** Discards all measurements; called when the worker changes. */
	reset(): void {
		this._lastProgressByKey.clear();
		this._samples = [];
		this._meanSpeed = 1;
	}
}
