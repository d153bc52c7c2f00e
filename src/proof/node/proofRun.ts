/** One audited run of a local system: what was done to it, what its readers were told, and the judgement. */

import { Disposable, toDisposable, type IDisposable } from '../../base/common/disposable.js';
import type { TablesBody } from '../../protocol/common/operatorApi.js';
import { waitFor } from '../../base/common/async.js';
import { audit } from '../common/auditor.js';
import type { AcceptedChange, AuditInput, AuditReport, EntryFault, Leaving } from '../common/auditRecords.js';
import { startsOfJournals } from '../common/journalStarts.js';
import type { KeptChange, OperatorRecord } from '../common/operatorRecords.js';
import { dueTimeMs, observeRuns, type ObservedRun, type StaleTime } from '../common/revisionObservations.js';
import { askKeeper } from './askKeeper.js';
import { exampleFiles } from './exampleFiles.js';
import { LocalSystem, type LocalSystemOptions } from './localSystem.js';
import { ReaderClient } from './readerClient.js';
import type { LocalEntry } from './localDaemon.js';

/** Longest time for agents and entries to find each other after they are ready. */
const settlingTimeoutMs = 20_000;

/** Longer than changes may take; only a clock that jumps makes this wait end by its timeout. */
const inForceTimeoutMs = 60_000;

/** A route of each example deployment, and the pool that answers it. */
const settlingRoutes: Readonly<Record<string, string>> = {
	ledger: 'consignment-status',
	response: 'summons-check',
};

/**
 * Owns a system under test and everything that the auditor must know about the run.
 *
 * @example
 * const run = await ProofRun.start({ keepers: 1, entries: 2, agents: [{ pool: 'ledger' }] });
 * const fault = run.expectLostAnswers(run.system.entries[0]);
 * await run.system.entries[0].kill();
 * t.deepEqual((await run.finish()).breaches, []);
 */
export class ProofRun extends Disposable {
	readonly readers = this._register(new ReaderClient());
	private readonly _entryFaults: EntryFault[] = [];
	private readonly _openFaults = new Map<object, EntryFault>();
	private readonly _leavings: Leaving[] = [];
	private readonly _changes: AcceptedChange[] = [];
	private readonly _staleTimes: StaleTime[] = [];
	private _operators: AuditInput['operators'];

	private constructor(readonly system: LocalSystem) {
		super();
	}

	/** Starts a system with the example declarations, and waits until each entry can place jobs of each pool. */
	static async start(options: LocalSystemOptions): Promise<ProofRun> {
		const run = new ProofRun(await LocalSystem.start(options));
		try {
			await run.system.apply(Object.values(exampleFiles));
			await run._notePresentRevision();
			await run.system.waitUntilServing();
			await Promise.all(run.system.entries.map((entry) => run.awaitWorkers(entry)));
		} catch (error) {
			await run.close();
			throw error;
		}
		return run;
	}

	private async _notePresentRevision(): Promise<void> {
		const [keeper] = this.system.keepers;
		if (keeper !== undefined) {
			const { tables } = (await askKeeper(keeper, '/v1/tables')).body as TablesBody;
			this.noteChange(tables.revision);
		}
	}

	/** Waits until an entry completes a job of each pool that has an agent. */
	async awaitWorkers(entry: LocalEntry): Promise<void> {
		const pools = new Set(this.system.agents.map(({ pool }) => pool));
		const untilMs = performance.now() + settlingTimeoutMs;
		for (const pool of pools) {
			const route = settlingRoutes[pool];
			if (route === undefined) {
				continue;
			}
			const tasks = [{ token: `settling-${entry.name}-${pool}-${untilMs}`, runMs: 1 }];
			const answer = await this.readers.submitUntilTaken(entry, { route, tasks }, untilMs);
			if (answer.outcome.kind !== 'complete') {
				throw new Error(`${entry.name} does not serve the pool "${pool}": ${answer.message}`);
			}
		}
	}

	/** Excuses answers that an entry loses from now until the result is disposed, as when it is killed. */
	expectLostAnswers(entry: LocalEntry): IDisposable {
		const key = {};
		this._openFaults.set(key, { entry: entry.name, fromMs: Date.now(), untilMs: Infinity });
		return toDisposable(() => {
			const fault = this._openFaults.get(key);
			this._openFaults.delete(key);
			if (fault !== undefined) {
				this._entryFaults.push({ ...fault, untilMs: Date.now() });
			}
		});
	}

	/** Tells the auditor that an upstream is leaving since a wall-clock time, until it returned if it did. */
	noteLeaving(upstream: string, leftAtMs: number, returnedAtMs?: number): void {
		this._leavings.push({ upstream, leftAtMs, ...(returnedAtMs === undefined ? {} : { returnedAtMs }) });
	}

	/** Tells the auditor that the keepers have accepted a change. */
	noteChange(revision: number): void {
		this._changes.push({ revision, acceptedAtMs: Date.now() });
	}

	/** Tells the auditor all that operators were told, and what the keepers' history holds in the end. */
	noteOperators(records: readonly OperatorRecord[], history: readonly KeptChange[]): void {
		this._operators = { records, history };
	}

	/**
	 * Excuses older tables, from now until the result is disposed: of a process that is frozen or cut off from the
	 * keepers, or of all processes while the keepers have more than one fault.
	 */
	expectStaleTables(processId?: string): IDisposable {
		const stale = {
			...(processId === undefined ? {} : { processId }),
			fromMs: Date.now(),
			untilMs: Infinity,
		};
		this._staleTimes.push(stale);
		return toDisposable(() => {
			stale.untilMs = Math.min(stale.untilMs, Date.now());
		});
	}

	/**
	 * Waits until every process that runs has every accepted change in force, or until the time by which it must; the
	 * audit tells which of them it was.
	 */
	async awaitInForce(): Promise<void> {
		const newest = Math.max(0, ...this._changes.map(({ revision }) => revision));
		const running = this._runs().filter(({ endedAtMs }) => endedAtMs === Infinity);
		const causesMs = [
			...this._changes.map(({ acceptedAtMs }) => acceptedAtMs),
			...running.map(({ readyAtMs }) => readyAtMs),
			...this._staleTimes.map(({ untilMs }) => untilMs),
		];
		const untilMs = dueTimeMs(Math.max(...causesMs.filter(Number.isFinite)));
		const hasNewest = ({ revisions }: ObservedRun): boolean => revisions.at(-1)?.revision === newest;
		await waitFor(
			'every process has every change in force or is too late',
			inForceTimeoutMs,
			() => Date.now() > untilMs || running.every(hasNewest),
		);
	}

	/** Judges the run so far. */
	audit(): AuditReport {
		return audit({
			starts: startsOfJournals(this.system.readJournals()),
			readers: this.readers.records,
			entryFaults: [...this._entryFaults, ...this._openFaults.values()],
			leavings: this._leavings,
			observations: observeRuns(endOpenRuns(this._runs()), this._changes, this._staleTimes),
			changes: this._changes,
			...(this._operators === undefined ? {} : { operators: this._operators }),
		});
	}

	private _runs(): ObservedRun[] {
		const { keepers, entries, agents } = this.system;
		return [...keepers, ...entries, ...agents].flatMap(({ name, runs }) =>
			runs.map((run) => ({ ...run, processId: name })),
		);
	}

	/**
	 * Drains what still runs, and judges the run.
	 *
	 * @throws LocalProcessError when a process does not drain
	 */
	async finish(): Promise<AuditReport> {
		await this.system.drain();
		return this.audit();
	}

	/** Kills what still runs and removes every file. */
	async close(): Promise<void> {
		this.dispose();
		await this.system.close();
	}
}

/** Runs that go on are known until now. */
function endOpenRuns(runs: readonly ObservedRun[]): ObservedRun[] {
	const nowMs = Date.now();
	return runs.map((run) => ({ ...run, endedAtMs: Math.min(run.endedAtMs, nowMs) }));
}
