/** Runs a local system and records its faults, changes and readers' answers for the auditor. */

import { Disposable, toDisposable, type IDisposable } from '../../base/common/disposable.js';
import type { TablesBody } from '../../protocol/common/operatorApi.js';
import { waitFor } from '../../base/common/async.js';
import { audit } from '../common/auditor.js';
import type {
	AcceptedChange,
	AuditInput,
	AuditReport,
	EntryFault,
	UpstreamLeaving,
} from '../common/auditRecords.js';
import { parseJournalStarts } from '../common/journalStarts.js';
import type { CommittedChange, OperatorRecord } from '../common/operatorRecords.js';
import {
	getInForceDeadlineMs,
	createObservations,
	type ObservedRun,
	type StalePeriod,
} from '../common/revisionObservations.js';
import { sendToKeeper } from './sendToKeeper.js';
import { exampleFiles } from './exampleFiles.js';
import { LocalSystem, type LocalSystemOptions } from './localSystem.js';
import { ReaderClient } from './readerClient.js';
import type { LocalEntry } from './localDaemon.js';

/** Timeout for agents and entries to discover each other once they are ready. */
const discoveryTimeoutMs = 20_000;

/** Exceeds the time that changes may take; the wait only times out when the clock jumps. */
const inForceTimeoutMs = 60_000;

/** Route of an example deployment by the pool that serves it. */
const probeRoutes: Readonly<Record<string, string>> = {
	ledger: 'consignment-status',
	response: 'summons-check',
};

/**
 * Owns a system under test and the auditor's input about the run.
 *
 * @example
 * const run = await ProofRun.start({ keepers: 1, entries: 2, agents: [{ pool: 'ledger' }] });
 * const fault = run.allowLostAnswers(run.system.entries[0]);
 * await run.system.entries[0].kill();
 * t.deepEqual((await run.finish()).breaches, []);
 */
export class ProofRun extends Disposable {
	readonly readers = this._register(new ReaderClient());
	private readonly _entryFaults: EntryFault[] = [];
	private readonly _openEntryFaults = new Map<object, EntryFault>();
	private readonly _leavings: UpstreamLeaving[] = [];
	private readonly _changes: AcceptedChange[] = [];
	private readonly _stalePeriods: StalePeriod[] = [];
	private _operatorResults: AuditInput['operators'];

	private constructor(readonly system: LocalSystem) {
		super();
	}

	/** Starts a system with the example declarations, and waits until each entry completes a job in each pool. */
	static async start(options: LocalSystemOptions): Promise<ProofRun> {
		const run = new ProofRun(await LocalSystem.start(options));
		try {
			await run.system.applyDeclarations(Object.values(exampleFiles));
			await run._recordCurrentRevision();
			await run.system.waitUntilServing();
			await Promise.all(run.system.entries.map((entry) => run.waitForWorkers(entry)));
		} catch (error) {
			await run.close();
			throw error;
		}
		return run;
	}

	private async _recordCurrentRevision(): Promise<void> {
		const [keeper] = this.system.keepers;
		if (keeper !== undefined) {
			const { tables } = (await sendToKeeper(keeper, '/v1/tables')).body as TablesBody;
			this.recordAcceptedChange(tables.revision);
		}
	}

	/**
	 * Waits until an entry completes a job in each pool that has an agent.
	 *
	 * @throws Error when a job is not completed
	 */
	async waitForWorkers(entry: LocalEntry): Promise<void> {
		const pools = new Set(this.system.agents.map(({ pool }) => pool));
		const untilMs = performance.now() + discoveryTimeoutMs;
		for (const pool of pools) {
			const route = probeRoutes[pool];
			if (route === undefined) {
				continue;
			}
			const tasks = [{ token: `settling-${entry.name}-${pool}-${untilMs}`, runMs: 1 }];
			const answer = await this.readers.submitUntilAccepted(entry, { route, tasks }, untilMs);
			if (answer.outcome.kind !== 'complete') {
				throw new Error(`${entry.name} does not serve the pool "${pool}": ${answer.message}`);
			}
		}
	}

	/** Allows an entry to lose answers until the result is disposed, for example while it is killed. */
	allowLostAnswers(entry: LocalEntry): IDisposable {
		const key = {};
		this._openEntryFaults.set(key, { entry: entry.name, fromMs: Date.now(), untilMs: Infinity });
		return toDisposable(() => {
			const fault = this._openEntryFaults.get(key);
			this._openEntryFaults.delete(key);
			if (fault !== undefined) {
				this._entryFaults.push({ ...fault, untilMs: Date.now() });
			}
		});
	}

	/** Records that an upstream was leaving from a wall-clock time on, until it returned if it did. */
	recordUpstreamLeaving(upstream: string, leftAtMs: number, returnedAtMs?: number): void {
		this._leavings.push({ upstream, leftAtMs, ...(returnedAtMs === undefined ? {} : { returnedAtMs }) });
	}

	/** Records that the keepers have just accepted a change. */
	recordAcceptedChange(revision: number): void {
		this._changes.push({ revision, acceptedAtMs: Date.now() });
	}

	/** Records all results that operators received, and the keepers' change history at the end. */
	recordOperatorResults(records: readonly OperatorRecord[], history: readonly CommittedChange[]): void {
		this._operatorResults = { records, history };
	}

	/**
	 * Allows stale tables until the result is disposed: in one process that is frozen or cut off from the keepers, or in
	 * all processes while more than one keeper has a fault.
	 */
	allowStaleTables(processId?: string): IDisposable {
		const period = {
			...(processId === undefined ? {} : { processId }),
			fromMs: Date.now(),
			untilMs: Infinity,
		};
		this._stalePeriods.push(period);
		return toDisposable(() => {
			period.untilMs = Math.min(period.untilMs, Date.now());
		});
	}

	/**
	 * Waits until every running process has all accepted changes in force, or until the deadline for them has passed;
	 * the audit reports which of the two it was.
	 */
	async waitUntilInForce(): Promise<void> {
		const newestRevision = Math.max(0, ...this._changes.map(({ revision }) => revision));
		const running = this._getObservedRuns().filter(({ endedAtMs }) => endedAtMs === Infinity);
		const triggerTimesMs = [
			...this._changes.map(({ acceptedAtMs }) => acceptedAtMs),
			...running.map(({ readyAtMs }) => readyAtMs),
			...this._stalePeriods.map(({ untilMs }) => untilMs),
		];
		const untilMs = getInForceDeadlineMs(Math.max(...triggerTimesMs.filter(Number.isFinite)));
		const hasNewest = ({ revisions }: ObservedRun): boolean => revisions.at(-1)?.revision === newestRevision;
		await waitFor(
			'every process has every change in force or the deadline has passed',
			inForceTimeoutMs,
			() => Date.now() > untilMs || running.every(hasNewest),
		);
	}

	/** Audits the run so far. */
	audit(): AuditReport {
		return audit({
			starts: parseJournalStarts(this.system.readJournals()),
			readers: this.readers.records,
			entryFaults: [...this._entryFaults, ...this._openEntryFaults.values()],
			leavings: this._leavings,
			observations: createObservations(
				endOpenRunsNow(this._getObservedRuns()),
				this._changes,
				this._stalePeriods,
			),
			changes: this._changes,
			...(this._operatorResults === undefined ? {} : { operators: this._operatorResults }),
		});
	}

	private _getObservedRuns(): ObservedRun[] {
		const { keepers, entries, agents } = this.system;
		return [...keepers, ...entries, ...agents].flatMap(({ name, runs }) =>
			runs.map((run) => ({ ...run, processId: name })),
		);
	}

	/**
	 * Drains every running process, and audits the run.
	 *
	 * @throws LocalProcessError when a process does not drain
	 */
	async finish(): Promise<AuditReport> {
		await this.system.drain();
		return this.audit();
	}

	/** Kills every running process and deletes every file. */
	async close(): Promise<void> {
		this.dispose();
		await this.system.close();
	}
}

/** Sets the end of runs that are still going on to the present time. */
function endOpenRunsNow(runs: readonly ObservedRun[]): ObservedRun[] {
	const nowMs = Date.now();
	return runs.map((run) => ({ ...run, endedAtMs: Math.min(run.endedAtMs, nowMs) }));
}
