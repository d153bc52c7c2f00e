/**
 * Corrects forecasts of waits by their record. At full load, admitted jobs wait longer than forecast, since more urgent ones
 * arrive after them; near full load they do not, and stricter forecasts would reject jobs that could run.
 */

/** Weight of the newest job in the moving average. */
const newJobWeight = 0.02;
/** Reduction of the share of the remaining time that a forecast may take up, per share of admitted jobs that never started. */
const reductionPerMissedShare = 10;
/** Least such share. */
const minWaitShare = 0.3;

/**
 * Remembers how many of the admitted jobs could start in time.
 *
 * @example
 * record.addJob('missed');
 * const isAdmitted = forecastWaitMs <= slackMs * record.maxWaitShare;
 */
export class ForecastRecord {
	private _missedShare = 0;

	/** Largest share of a job's remaining time that its forecast wait may take up. */
	get maxWaitShare(): number {
		return Math.max(minWaitShare, 1 - reductionPerMissedShare * this._missedShare);
	}

	/** Adds the result of an admitted job: whether a task of it could start in time. */
	addJob(result: 'started' | 'missed'): void {
		this._missedShare += newJobWeight * ((result === 'missed' ? 1 : 0) - this._missedShare);
	}
}
