/** Runs a complete system under a seeded mix of faults, two at a time, and audits it. */

import { delay, waitFor } from '../../base/common/async.js';
import { SeededRandom } from '../../base/common/random.js';
import type { AuditReport } from '../common/auditRecords.js';
import { drawFault, type SoakFault } from '../common/soakPlan.js';
import { traceBreaches, type BreachTrace, type InjectedFault } from './breachTrace.js';
import { OperatorLoad } from './operatorLoad.js';
import { ProofRun } from './proofRun.js';
import { ReaderLoad } from './readerLoad.js';
import { SoakFaults } from './soakFaults.js';

/** Options of a soak. */
export interface SoakOptions {
	readonly seconds: number;
	readonly seed: number;
	readonly jobsPerSecond: number;
	/** Number of keepers: 1, 3 or 5. */
	readonly keepers: number;
}

/** Result of a soak. */
export interface SoakReport {
	readonly seed: number;
	readonly seconds: number;
	readonly jobs: number;
	/** Number of injected faults by kind. */
	readonly faults: Readonly<Record<string, number>>;
	readonly audit: AuditReport;
	/** Sentences about processes that did not drain or recover. */
	readonly failures: readonly string[];
	/** Events around the tasks of broken guarantees. */
	readonly traces: readonly BreachTrace[];
}

/** Number of fault sequences that run at the same time. */
const concurrentFaults = 2;

/** Maximum number of operator rounds in one soak; below the number of changes that a keeper's history retains. */
const maxOperatorRounds = 500;

const minOperatorGapMs = 300;

const recoveryTimeoutMs = 30_000;

/**
 * Runs one soak.
 *
 * @example
 * const report = await runSoak({ seconds: 60, seed: 7, jobsPerSecond: 80, keepers: 5 });
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const run = await ProofRun.start({
		keepers: options.keepers,
		entries: 3,
		agents: ['ledger', 'ledger', 'ledger', 'response', 'response', 'response'].map((pool) => ({ pool })),
		dataCentres: 3,
		proxies: ['entryPeer', 'keeperPeer'],
	});
	try {
		return await soakSystem(run, options);
	} finally {
		await run.close();
	}
}

async function soakSystem(run: ProofRun, options: SoakOptions): Promise<SoakReport> {
	const { seed, seconds, jobsPerSecond } = options;
	const meanGapMs = Math.max(minOperatorGapMs, (seconds * 1000) / maxOperatorRounds);
	const operators = new OperatorLoad(run, { seed, operators: 2, meanGapMs });
	const faults = new SoakFaults(run, operators);
	const readerLoad = new ReaderLoad(run.readers, {
		seed,
		jobsPerSecond,
		routes: [
			{ route: 'consignment-status', team: 'galleries', isKeyed: false },
			{ route: 'provenance-clearance', team: 'estates', isKeyed: true },
			{ route: 'summons-check', team: 'citizens', isKeyed: true },
			{ route: 'excusal-filing', team: 'citizens', isKeyed: true },
		],
		tasks: { least: 1, most: 8 },
		runMs: { least: 10, most: 300 },
		deadlineMs: 5000,
		disconnectShare: 0.02,
		resubmissions: 3,
		targets: () => faults.getServingEntries(),
	});
	const untilMs = performance.now() + seconds * 1000;
	const injected: InjectedFault[] = [];
	await Promise.all(
		Array.from({ length: concurrentFaults }, (_, lane) =>
			injectFaults(faults, new SeededRandom(seed * concurrentFaults + lane), untilMs, injected),
		),
	);
	const failures = await waitForRecovery(run);
	await readerLoad.stop();
	await operators.stop();
	await run.waitUntilInForce();
	failures.push(...faults.failures, ...(await drainSystem(run)));
	const audit = run.audit();
	return {
		seed,
		seconds,
		jobs: readerLoad.jobCount,
		faults: countFaultKinds(injected),
		audit,
		failures,
		traces: traceBreaches(run, audit, injected),
	};
}

async function injectFaults(
	faults: SoakFaults,
	random: SeededRandom,
	untilMs: number,
	injected: InjectedFault[],
): Promise<void> {
	while (performance.now() < untilMs) {
		const fault: SoakFault = drawFault(random);
		const fromMs = Date.now();
		if (await faults.inject(fault)) {
			const { kind, targetIndex: target } = fault;
			injected.push({ kind, targets: faults.describeTargets(target), fromMs, untilMs: Date.now() });
		}
		await delay(fault.pauseMs);
	}
}

function countFaultKinds(injected: readonly InjectedFault[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const { kind } of injected) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}
	return counts;
}

/** Waits until every entry serves each pool again. Returns a sentence for each entry that doesn't in time. */
async function waitForRecovery(run: ProofRun): Promise<string[]> {
	const failures: string[] = [];
	for (const entry of run.system.entries) {
		try {
			await waitFor(`${entry.name} serves again`, recoveryTimeoutMs, async () => {
				await run.waitForWorkers(entry);
				return true;
			});
		} catch (error) {
			failures.push(error instanceof Error ? error.message : String(error));
		}
	}
	return failures;
}

async function drainSystem(run: ProofRun): Promise<string[]> {
	try {
		await run.system.drain();
		return [];
	} catch (error) {
		return [error instanceof Error ? error.message : String(error)];
	}
}
