/** Turns what a run recorded into its report. */

import type { PromiseName } from '../../proof/common/auditRecords.js';
import { percentilesOf, type BenchReport, type OutcomeCounts, type RunParameters } from './benchReport.js';
import type { ScenarioEvidence } from './scenarioEvidence.js';
import type { ArrivingJob } from './workload.js';

/** How one job ended for its reader. */
export interface EndedJob {
	readonly jobIndex: number;
	readonly outcome: keyof OutcomeCounts;
	readonly responseMs: number;
	readonly sentLateMs: number;
}

/** Messages between the system's processes, counted by the entries. */
export interface MessageCounts {
	/** Frames that carry starts, and frames that carry answers. */
	readonly startsAndAnswers: number;
	/** Whole jobs passed between entries, and their answers. */
	readonly relays: number;
	/** All else, by kind. */
	readonly wastedByKind: Readonly<Record<string, number>>;
	/** Frames that carry cancellations, and the tasks and jobs named in them. */
	readonly cancels: { readonly frames: number; readonly items: number };
}

/** What a run recorded. */
export interface RunRecords extends RunParameters {
	readonly jobs: readonly ArrivingJob[];
	readonly ended: readonly EndedJob[];
	/** Ideal response by `jobIndex`, without the reader's round trip. */
	readonly idealMs: ReadonlyMap<number, number>;
	readonly readerRoundTripMs: number;
	readonly startedTasks: number;
	readonly messages: MessageCounts;
	readonly breaches: Readonly<Record<PromiseName, number>>;
	readonly evidence: ScenarioEvidence;
}

/**
 * Computes the report of a run. Ratios are those of complete jobs of teams that don't flood.
 *
 * @example
 * const report = summarizeRun(records);
 */
export function summarizeRun(run: RunRecords): BenchReport {
	const complete = run.ended.filter(
		(job) => job.outcome === 'complete' && run.jobs[job.jobIndex]?.isFlood === false,
	);
	const compared = complete.flatMap((job) => {
		const idealMs = run.idealMs.get(job.jobIndex);
		return idealMs === undefined
			? []
			: [{ responseMs: job.responseMs, idealMs: idealMs + run.readerRoundTripMs }];
	});
	const perTask = (count: number): number => Number((count / Math.max(1, run.startedTasks)).toFixed(4));
	const { startsAndAnswers, relays, wastedByKind } = run.messages;
	const wasted = Object.values(wastedByKind).reduce((sum, count) => sum + count, 0);
	return {
		policy: run.policy,
		scenario: run.scenario,
		deployment: run.deployment,
		load: run.load,
		seed: run.seed,
		durationMs: run.durationMs,
		keyedShare: run.keyedShare,
		jobs: run.jobs.length,
		tasks: run.jobs.reduce((sum, job) => sum + job.runMs.length, 0),
		outcomes: countOutcomes(run.ended),
		responseOverIdeal: percentilesOf(compared.map((job) => job.responseMs / job.idealMs)),
		responseBeyondIdealMs: percentilesOf(compared.map((job) => job.responseMs - job.idealMs)),
		messagesPerTask: perTask(startsAndAnswers + relays + wasted),
		relayMessagesPerTask: perTask(relays),
		wastedMessagesPerTask: perTask(wasted),
		wastedByKind,
		doubleStarts: run.breaches.doubleStarts,
		partialAnswers: run.breaches.partialAnswers + run.breaches.crossedAnswers,
		untrueRefusals: run.breaches.untrueRefusals,
		evidence: run.evidence,
		senderLateMs: percentilesOf(run.ended.map((job) => job.sentLateMs)),
	};
}

function countOutcomes(ended: readonly EndedJob[]): OutcomeCounts {
	const counts = { complete: 0, ranAndFailed: 0, mayHaveRun: 0, notRun: 0, cancelled: 0, unanswered: 0 };
	for (const job of ended) {
		counts[job.outcome] += 1;
	}
	return counts;
}
