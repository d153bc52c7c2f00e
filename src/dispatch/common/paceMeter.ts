/**
 * Measures how fast a worker gets on, from the progress of what runs there. Load pattern: workers that turn slow by four
 * times and more, or stand still, while they look healthy otherwise. Ends would tell of it only after seconds.
 */

/** Time over which progress is taken together. */
const windowMs = 220;
/** Least time of tasks in the window, summed, for a figure; estimates of single tasks are far off. */
const minTaskMs = 250;
/** Weight of the newest end in the long-run speed. */
const speedWeight = 0.08;
/** Bounds of one task's share in the long-run speed, so that one wrong estimate counts little. */
const minSpeedSample = 0.2;
const maxSpeedSample = 3;

interface Sample {
	readonly atMs: number;
	readonly taskMs: number;
	readonly progressMs: number;
}

interface Track {
	percent: number;
	atMs: number;
}

/**
 * Pace of one worker.
 *
 * @example
 * meter.observe('job/0', 10, 200, nowMs);
 * meter.paceAt(nowMs);
 */
export class PaceMeter {
	private readonly _tracks = new Map<string, Track>();
	private _samples: Sample[] = [];
	private _speed = 1;

	/** Speed over the last ended tasks. */
	get speed(): number {
		return this._speed;
	}

	/** Takes the progress of one running task. */
	observe(key: string, percent: number, estimateMs: number, nowMs: number): void {
		const track = this._tracks.get(key);
		if (track === undefined) {
			this._tracks.set(key, { percent, atMs: nowMs });
			return;
		}
		const taskMs = nowMs - track.atMs;
		if (taskMs < 15) {
			return;
		}
		this._samples.push({ atMs: nowMs, taskMs, progressMs: ((percent - track.percent) / 100) * estimateMs });
		track.percent = percent;
		track.atMs = nowMs;
	}

	/** Takes the end of a task that was done. */
	noteDone(key: string, estimateMs: number, tookMs: number): void {
		this._tracks.delete(key);
		if (tookMs > 0 && estimateMs > 0) {
			const sample = Math.min(maxSpeedSample, Math.max(minSpeedSample, estimateMs / tookMs));
			this._speed += speedWeight * (sample - this._speed);
		}
	}

	/** Forgets a task that ended otherwise. */
	forget(key: string): void {
		this._tracks.delete(key);
	}

	/** Progress over time in the last moments; `undefined` when too little ran. */
	paceAt(nowMs: number): number | undefined {
		this._samples = this._samples.filter(({ atMs }) => nowMs - atMs <= windowMs);
		let taskMs = 0;
		let progressMs = 0;
		for (const sample of this._samples) {
			taskMs += sample.taskMs;
			progressMs += sample.progressMs;
		}
		return taskMs < minTaskMs ? undefined : progressMs / taskMs;
	}

	/** Forgets everything, for another worker. */
	clear(): void {
		this._tracks.clear();
		this._samples = [];
		this._speed = 1;
	}
}
