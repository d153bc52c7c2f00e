/** One audited run of a local system: what was done to it, what its readers were told, and the judgement. */

import { Disposable, toDisposable, type IDisposable } from '../../base/common/disposable.js';
import { audit } from '../common/auditor.js';
import type {
	AcceptedChange,
	AuditReport,
	EntryFault,
	Leaving,
	RevisionObservation,
} from '../common/auditRecords.js';
import { startsOfJournals } from '../common/journalStarts.js';
import { exampleFiles } from './exampleFiles.js';
import { LocalSystem, type LocalSystemOptions } from './localSystem.js';
import { ReaderClient } from './readerClient.js';
import type { LocalEntry } from './localDaemon.js';

/** Longest time for agents and entries to find each other after they are ready. */
const settlingTimeoutMs = 20_000;

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
	private readonly _observations: RevisionObservation[] = [];
	private readonly _changes: AcceptedChange[] = [];

	private constructor(readonly system: LocalSystem) {
		super();
	}

	/** Starts a system with the example declarations, and waits until each entry can place jobs of each pool. */
	static async start(options: LocalSystemOptions): Promise<ProofRun> {
		const run = new ProofRun(await LocalSystem.start(options));
		try {
			await run.system.apply(Object.values(exampleFiles));
			await run.system.waitUntilServing();
			await Promise.all(run.system.entries.map((entry) => run.awaitWorkers(entry)));
		} catch (error) {
			await run.close();
			throw error;
		}
		return run;
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

	/** Tells the auditor that an upstream is leaving since a wall-clock time. */
	noteLeaving(upstream: string, leftAtMs: number): void {
		this._leavings.push({ upstream, leftAtMs });
	}

	/** Tells the auditor that the keepers have accepted a change. */
	noteChange(revision: number): void {
		this._changes.push({ revision, acceptedAtMs: Date.now() });
	}

	/** Tells the auditor which revision a process has in force. */
	noteRevision(observation: RevisionObservation): void {
		this._observations.push(observation);
	}

	/** Judges the run so far. */
	audit(): AuditReport {
		return audit({
			starts: startsOfJournals(this.system.readJournals()),
			readers: this.readers.records,
			entryFaults: [...this._entryFaults, ...this._openFaults.values()],
			leavings: this._leavings,
			observations: this._observations,
			changes: this._changes,
		});
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
