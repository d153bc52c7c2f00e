/** What a run of the bench reports: one JSON object. */

import type { DeploymentName } from './deployment.js';
import type { ScenarioEvidence } from './scenarioEvidence.js';
import type { ScenarioName } from './workload.js';

/** Percentiles of a measure. */
export interface Percentiles {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
}

/** How readers' jobs ended. */
export interface OutcomeCounts {
	readonly complete: number;
	readonly ranAndFailed: number;
	readonly mayHaveRun: number;
	readonly notRun: number;
	readonly cancelled: number;
	/** Requests without any of the promised answers, such as a broken HTTP connection. */
	readonly unanswered: number;
}

/** What a run is made of. */
export interface RunParameters {
	readonly policy: string;
	readonly scenario: ScenarioName;
	readonly deployment: DeploymentName;
	/** Offered work as a share of what the slots can do. */
	readonly load: number;
	readonly seed: number;
	/** Time over which jobs arrive. */
	readonly durationMs: number;
	/** Share of the jobs, from 0 to 1, that have an idempotency key. */
	readonly keyedShare: number;
}

/** Result of one run. */
export interface BenchReport extends RunParameters {
	readonly jobs: number;
	readonly tasks: number;
	readonly outcomes: OutcomeCounts;
	/** Response of each complete job over its ideal, which has the reader's own round trip. */
	readonly responseOverIdeal: Percentiles;
	/** Response of each complete job beyond its ideal. */
	readonly responseBeyondIdealMs: Percentiles;
	readonly messagesPerTask: number;
	/** Whole jobs passed between entries, and their answers. */
	readonly relayMessagesPerTask: number;
	/** All else beyond one start and one answer a task. */
	readonly wastedMessagesPerTask: number;
	/** Wasted messages of the whole run by their kind. */
	readonly wastedByKind: Readonly<Record<string, number>>;
	readonly doubleStarts: number;
	readonly partialAnswers: number;
	readonly untrueRefusals: number;
	/** What the scenario left behind beside response times. */
	readonly evidence: ScenarioEvidence;
	/** Largest lateness of the bench's own sending; a run with a large one measures the bench. */
	readonly senderLateMs: Percentiles;
}

/**
 * Percentiles of a list by the nearest-rank method.
 *
 * @returns zeros for an empty list
 * @example
 * percentilesOf([1, 2, 3]).p50; // 2
 */
export function percentilesOf(values: readonly number[]): Percentiles {
	const sorted = [...values].sort((a, b) => a - b);
	const at = (share: number): number => {
		const rank = Math.max(0, Math.ceil(share * sorted.length) - 1);
		return Number((sorted[rank] ?? 0).toFixed(3));
	};
	return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}
