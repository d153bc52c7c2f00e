/** Runs a complete system of real processes on loopback and prints the answers that its readers get. */

import { match } from 'ts-pattern';
import { audit } from '../common/auditor.js';
import type { AuditReport } from '../common/auditRecords.js';
import { demoSections, type DemoStep } from '../common/demoScript.js';
import { parseJournalStarts } from '../common/journalStarts.js';
import { exampleFiles } from './exampleFiles.js';
import { LocalSystem } from './localSystem.js';
import { ReaderClient, type ReaderAnswer } from './readerClient.js';

/** Timeout for agents and entries to discover each other once they are ready. */
const discoveryTimeoutMs = 15_000;

/** Lines at the end of the output of `yuccaarch apply` that hold the result; the plan precedes them. */
const applyResultLines = 2;

/** Result of a demo. */
export interface DemoReport {
	/** Sentences about the steps with an unexpected outcome. */
	readonly unexpectedOutcomes: readonly string[];
	readonly audit: AuditReport;
}

/**
 * Runs the demo and drains the system again.
 *
 * @param printLine prints one line
 * @throws LocalProcessError when a process fails to start or to drain
 * @example
 * const report = await runDemo((line) => process.stdout.write(`${line}\n`));
 */
export async function runDemo(printLine: (line: string) => void): Promise<DemoReport> {
	printLine('Starting one keeper, two entries, and three agents with one upstream each.');
	const system = await LocalSystem.start({
		keepers: 1,
		entries: 2,
		agents: [{ pool: 'ledger' }, { pool: 'response' }, { pool: 'response' }],
	});
	const readers = new ReaderClient();
	try {
		printLine('Applying examples/registro-rioplatense.toml and examples/citacion-clara.toml.');
		const applied = await system.applyDeclarations(Object.values(exampleFiles));
		printLine(applied.split('\n').slice(-applyResultLines).join('\n'));
		await system.waitUntilServing();
		await waitForWorkers(system);
		const surprises = await runSections(system, readers, printLine);
		const starts = parseJournalStarts(system.readJournals());
		const report = audit({ starts, readers: readers.records });
		printLine('');
		printLine(`The upstreams saw ${report.starts} starts; ${report.breaches.length} promises were broken.`);
		report.breaches.forEach(({ description }) => {
			printLine(`  ${description}`);
		});
		await system.drain();
		printLine('Every process drained on SIGTERM and ended with code 0.');
		return { unexpectedOutcomes: surprises, audit: report };
	} finally {
		readers.dispose();
		await system.close();
	}
}

/** Waits until each entry knows the workers of each pool, by resubmitting a job until it is accepted. */
async function waitForWorkers(system: LocalSystem): Promise<void> {
	const probeReaders = new ReaderClient();
	const untilMs = performance.now() + discoveryTimeoutMs;
	try {
		for (const entry of system.entries) {
			for (const route of ['consignment-status', 'summons-check']) {
				await probeReaders.submitUntilAccepted(
					entry,
					{ route, tasks: [{ token: `probe-${entry.name}-${route}`, runMs: 1 }] },
					untilMs,
				);
			}
		}
	} finally {
		probeReaders.dispose();
	}
}

async function runSections(
	system: LocalSystem,
	readers: ReaderClient,
	printLine: (line: string) => void,
): Promise<string[]> {
	const surprises: string[] = [];
	for (const chapter of demoSections) {
		printLine('');
		printLine(chapter.title);
		for (const step of chapter.steps) {
			const answer = await runStep(system, readers, step);
			printLine(`  ${step.title}.`);
			printLine(`    ${describeAnswer(answer)}`);
			if (answer.outcome.kind !== step.expected) {
				surprises.push(`${step.title}: the expected outcome was "${step.expected}".`);
			}
		}
	}
	return surprises;
}

async function runStep(system: LocalSystem, readers: ReaderClient, step: DemoStep): Promise<ReaderAnswer> {
	const entry = system.entries[step.entry % system.entries.length];
	if (entry === undefined) {
		throw new RangeError('The demo needs an entry.');
	}
	return readers.submit(entry, {
		route: step.route,
		team: step.team,
		tasks: step.tokens.map((token) => ({
			token,
			runMs: step.runMs,
			...(step.fails === undefined ? {} : { fail: step.fails }),
		})),
		...(step.key === undefined ? {} : { key: step.key }),
		...(step.repeatable === undefined ? {} : { repeatable: step.repeatable }),
		...(step.cores === undefined ? {} : { needs: { cores: step.cores } }),
	});
}

function describeAnswer(answer: ReaderAnswer): string {
	const tookMs = answer.endedAtMs - answer.sentAtMs;
	const place = `after ${tookMs} ms at ${answer.entry}`;
	return match(answer.outcome)
		.with({ kind: 'complete' }, ({ echoedTokens }) => {
			const results = echoedTokens.length === 1 ? '1 result' : `all ${echoedTokens.length} results, in order`;
			return `Complete ${place}: ${results}.`;
		})
		.with({ kind: 'failed' }, ({ reason }) => `Failed (${reason}) ${place}: ${answer.message}`)
		.with({ kind: 'notRun' }, ({ reason }) => `Not run (${reason}) ${place}: ${answer.message}`)
		.with({ kind: 'badRequest' }, ({ httpStatus }) => `Refused with HTTP ${httpStatus}: ${answer.message}`)
		.with({ kind: 'noAnswer' }, ({ message }) => `No answer ${place}: ${message}`)
		.with({ kind: 'left' }, () => `The reader disconnected ${place}.`)
		.exhaustive();
}
