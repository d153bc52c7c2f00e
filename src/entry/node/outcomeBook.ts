/** Counts how readers' jobs end, for the burn report and for metrics. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';
import { classifyOutcome, OutcomeRecorder, type RunIdentity } from '../../burn/common/outcomeRecorder.js';
import type { ControlState } from '../../control/common/controlPlane.js';
import type { RouteObjectives } from '../../declarations/common/tables.js';
import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { JobAnswer } from '../../protocol/common/jobs.js';

/** Time between two beats of the outcome recorder. */
const beatMs = 1000;

/**
 * Records each job's end.
 *
 * @example
 * const book = store.add(new OutcomeBook(identity, () => control.state, metrics));
 * book.record('commission-terms', answer, responseMs);
 */
export class OutcomeBook extends Disposable {
	private readonly _recorder: OutcomeRecorder;

	constructor(
		source: RunIdentity,
		private readonly _control: () => ControlState,
		private readonly _metrics: IMetricsService,
	) {
		super();
		this._recorder = new OutcomeRecorder(source, Date.now);
		// Beats say that the process was counting; a gap is time that the burn report has not seen.
		const timer = setInterval(() => {
			this._recorder.beat();
			this._recorder.noteRuns(this._control().directory.entries);
		}, beatMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Counts one answered job. */
	record(route: string, answer: JobAnswer, responseMs: number): void {
		const objectives = this._objectivesOf(route);
		if (objectives === undefined) {
			return;
		}
		const outcome = classifyOutcome({ ...answer, responseMs }, objectives);
		this._recorder.record(route, outcome);
		this._metrics.count('jobs.ended', 1, { route, outcome });
		this._metrics.timing('jobs.responseMs', responseMs, { route, outcome });
		if (answer.status === 'notRun') {
			this._metrics.count('jobs.refused', 1, { route, reason: answer.reason });
		}
	}

	/** What was counted, with the objectives that are in force. */
	read(): OutcomeLedger {
		return this._recorder.read((route) => this._objectivesOf(route));
	}

	private _objectivesOf(route: string): RouteObjectives | undefined {
		return this._control().tables.routes.find((row) => row.name === route)?.objectives;
	}
}
