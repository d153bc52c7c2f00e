/** The whole bench: a run under load, an idle system, and the start rate of one entry, as one report. */

import type { BenchReport, RunParameters } from '../common/benchReport.js';
import { runBench } from './benchRun.js';
import { measureIdleOverhead, type IdleOverhead } from './idleOverheadBench.js';
import { measureStartRate, type StartRate } from './startRateBench.js';

/** Part of the bench that can be run by itself. */
export type BenchPart = 'load' | 'idle' | 'rate';

/** Every part, in the order in which they run. */
export const benchParts: readonly BenchPart[] = ['load', 'idle', 'rate'];

/** Reports of the parts that were run, in one object. */
export type FullBenchReport = Partial<BenchReport> & Partial<IdleOverhead> & Partial<StartRate>;

/**
 * Runs parts of the bench one after another, so that none disturbs another.
 *
 * @example
 * const report = await runFullBench(options, ['load', 'idle']);
 */
export async function runFullBench(
	options: RunParameters,
	parts: readonly BenchPart[],
): Promise<FullBenchReport> {
	const load = parts.includes('load') ? await runBench(options) : {};
	const idle = parts.includes('idle') ? await measureIdleOverhead() : {};
	const rate = parts.includes('rate') ? await measureStartRate() : {};
	return { ...load, ...idle, ...rate };
}
