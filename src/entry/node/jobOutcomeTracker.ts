/** Counts the outcomes of readers' jobs, for the burn report and for metrics. */

import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { OutcomeLedger } from '../../burn/common/outcomeCounts.js';
import {
	classifyOutcome,
	OutcomeRecorder,
	type EntryRunIdentity,
} from '../../burn/common/outcomeRecorder.js';
import type { ControlState } from '../../control/common/controlPlane.js';
import type { RouteObjectives } from '../../declarations/common/tables.js';
import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { JobAnswer } from '../../protocol/common/jobs.js';

/** Interval of the outcome recorder's heartbeats. */
const heartbeatIntervalMs = 1000;

/**
 * Classifies the outcome of each job by its route's objectives and records it.
 *
 * @example
 * const tracker = store.add(new JobOutcomeTracker(identity, () => control.state, metrics));
 * tracker.record('commission-terms', answer, responseMs);
 */
export class JobOutcomeTracker extends Disposable {
	private readonly _recorder: OutcomeRecorder;

	constructor(
		ownRun: EntryRunIdentity,
		private readonly _getControlState: () => ControlState,
		private readonly _metrics: IMetricsService,
	) {
		super();
		this._recorder = new OutcomeRecorder(ownRun, Date.now);
		// A heartbeat records that the process is counting. A gap is reported as time for which there are no counts.
		const timer = setInterval(() => {
			this._recorder.recordHeartbeat();
			this._recorder.recordOtherRuns(this._getControlState().directory.entries);
		}, heartbeatIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Counts an answered job; ignores jobs of routes that are not in the tables. */
	record(route: string, answer: JobAnswer, responseMs: number): void {
		const objectives = this._findObjectives(route);
		if (objectives === undefined) {
			return;
		}
		const outcome = classifyOutcome({ ...answer, responseMs }, objectives);
		this._recorder.countOutcome(route, outcome);
		this._metrics.count('jobs.ended', 1, { route, outcome });
		this._metrics.timing('jobs.responseMs', responseMs, { route, outcome });
		if (answer.status === 'notRun') {
			this._metrics.count('jobs.refused', 1, { route, reason: answer.reason });
		}
	}

	/** Returns all counts, with the objectives that are in force. */
	readLedger(): OutcomeLedger {
		return this._recorder.createLedger((route) => this._findObjectives(route));
	}

	private _findObjectives(route: string): RouteObjectives | undefined {
		return this._getControlState().tables.routes.find((row) => row.name === route)?.objectives;
	}
}
