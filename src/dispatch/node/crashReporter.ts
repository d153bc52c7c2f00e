/** Reports the crashes of an agent's worker to entries, with the runs that were there. */

import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import { CrashRecorder, type CrashedWorker, type CrashEvidence } from '../common/crashRecorder.js';
import type { HeldRun, HeldRuns } from '../common/heldRuns.js';
import type { KnownWorker } from '../common/knownWorker.js';
import { isListed } from '../common/restartedWorker.js';
import type { WorkerCrash } from '../common/workerCrash.js';
import type { EntryReporter } from './entryReporter.js';
import type { RunLists } from './workerPoller.js';

interface UnresolvedCrash {
	readonly worker: CrashedWorker;
	readonly evidence: CrashEvidence;
	readonly crashedAtMs: number;
}

/** Services of a {@link CrashReporter}. */
export interface CrashReporterOptions {
	readonly worker: KnownWorker;
	readonly runs: HeldRuns;
	readonly reporter: EntryReporter;
	readonly clock: IClock;
	readonly log: ILogService;
}

/**
 * Records and reports crashes. The runs of a crash that a restart shows are known once the new life of the worker has listed those
 * that it has taken.
 *
 * @example
 * crashes.handleRestart('reborn', crashedAtMs);
 * crashes.handleLists(lists);
 */
export class CrashReporter {
	private readonly _recorder: CrashRecorder;
	private _unresolved: UnresolvedCrash | undefined;

	constructor(private readonly _options: CrashReporterOptions) {
		this._recorder = new CrashRecorder(_options.log);
	}

	/** Number of crashes since the agent's start. */
	get count(): number {
		return this._recorder.count;
	}

	/** Returns the remembered crashes, the oldest first. */
	getAll(): readonly WorkerCrash[] {
		return this._recorder.getAll(this._options.clock.nowMs());
	}

	/** Handles that nothing listens at the worker's address. `sinceMs` is the time of the first missing answer. */
	handleConnectionRefused(sinceMs: number): void {
		const { worker, runs } = this._options;
		this._report({ worker, evidence: 'connectionRefused', crashedAtMs: sinceMs }, runs.all);
	}

	/** Handles that the worker has restarted or was replaced, before it is forgotten. */
	handleRestart(evidence: CrashEvidence, crashedAtMs: number): void {
		const { announcement, workerId, key } = this._options.worker;
		this._unresolved ??= { worker: { announcement, workerId, key }, evidence, crashedAtMs };
	}

	/** Handles lists of the worker, or that it has none to give. */
	handleLists(lists: Pick<RunLists, 'running' | 'ended'>): void {
		const crash = this._unresolved;
		if (crash === undefined) {
			return;
		}
		this._unresolved = undefined;
		this._report(
			crash,
			this._options.runs.all.filter((run) => !isListed(run, lists)),
		);
	}

	private _report({ worker, evidence, crashedAtMs }: UnresolvedCrash, runs: readonly HeldRun[]): void {
		const { reporter, clock } = this._options;
		const crash = this._recorder.record(worker, runs, evidence, crashedAtMs, clock.nowMs());
		if (crash !== undefined) {
			reporter.reportCrash(crash);
		}
	}
}
