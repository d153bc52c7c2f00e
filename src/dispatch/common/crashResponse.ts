/** Acts on crashes of workers: ends jobs that crash workers, and keeps their routes away from the workers of others. */

import type { AgentRow } from './agentTable.js';
import type { CrashHistory } from './crashHistory.js';
import type { IDispatchHost } from './dispatchHost.js';
import type { JobRegistry } from './jobRegistry.js';
import type { JobOutcome, JobRequest } from './jobs.js';
import type { TaskRunRef } from './dispatchMessages.js';
import { findLikelyCauses } from './likelyCrashCauses.js';
import { decideLostTask, type LostTaskDecision } from './lostTasks.js';
import type { RouteConfinement } from './routeConfinement.js';
import type { WorkerCrash } from './workerCrash.js';

/** Age of a run of which the time of the crash is not known; it counts as started long ago. */
const unknownAgeMs = 60_000;

/** Decision about a task that has lost a run. `abandonAsLikelyCause`: its job has most likely crashed the worker. */
export type LostRunDecision = LostTaskDecision | 'abandonAsLikelyCause';

/** Handles the crashes that are reported to one entry. */
export class CrashResponse {
	constructor(
		private readonly _host: IDispatchHost,
		private readonly _crashes: CrashHistory,
		private readonly _jobs: JobRegistry,
		private readonly _confinement: RouteConfinement,
	) {}

	/** Records crashes, and ends the jobs whose tasks have crashed too many workers or have most likely caused a crash. */
	handleCrashes(crashes: readonly WorkerCrash[], nowMs: number): void {
		if (crashes.length === 0) {
			return;
		}
		const lostRuns = crashes.flatMap((crash) =>
			this._crashes.record(crash, nowMs).map((run) => ({ run, agentId: crash.agentId })),
		);
		this._confinement.update(nowMs);
		for (const { run, agentId } of lostRuns) {
			const job = this._jobs.get(run.jobId);
			if (job === undefined) {
				continue;
			}
			if (this._decideJob(run.jobId) === 'fail') {
				this._jobs.fail(job, 'crashedWorkers', nowMs);
			} else if (this._isLikelyCause(run, agentId)) {
				this._jobs.abandon(job, 'likelyCrashCause', nowMs);
			}
		}
	}

	/**
	 * Decides about a task that has lost a run.
	 *
	 * @param agentId agent of the run
	 * @param losses number of the task's lost runs at this entry, for any cause
	 */
	decideLostRun(run: TaskRunRef, agentId: string, losses: number): LostRunDecision {
		const decision = decideLostTask(this._crashes.countCrashes(run), losses);
		return decision === 'retry' && this._isLikelyCause(run, agentId) ? 'abandonAsLikelyCause' : decision;
	}

	/** Returns the outcome of a job that comes again after its tasks have crashed too many workers. */
	findOutcomeOfRepeated(request: JobRequest): JobOutcome | undefined {
		const decision = this._decideJob(request.jobId);
		if (decision === 'retry') {
			return undefined;
		}
		this._jobs.refuseAsCrashing(request, decision);
		return { kind: decision === 'fail' ? 'failed' : 'abandoned' };
	}

	/**
	 * Records that a worker has crashed while its agent was restarted, which shows in another incarnation of the worker. Any of
	 * the runs that were sent to the earlier incarnation of the agent may have started.
	 */
	handleAgentRestarted({ agentId, earlierWorkerKey, state }: AgentRow, nowMs: number): void {
		const { workerKey, pool } = state;
		if (earlierWorkerKey === undefined || workerKey === undefined || workerKey === earlierWorkerKey) {
			return;
		}
		const runs = [...this._jobs.all].flatMap(({ request: { jobId, route }, tasks }) =>
			tasks
				.filter(({ phase, agentId: runsAt }) => phase === 'inDoubt' && runsAt === agentId)
				.map(({ taskIndex, run }) => ({
					...{ jobId, route, taskIndex, run, wasRunning: false },
					ageMs: unknownAgeMs,
				})),
		);
		if (runs.length > 0) {
			this._host.log('warn', 'worker.crashUnseen', { agentId, runs: runs.length });
			this.handleCrashes([{ workerKey: earlierWorkerKey, agentId, pool, agoMs: 0, runs }], nowMs);
		}
	}

	private _decideJob(jobId: string): LostTaskDecision {
		return decideLostTask(this._crashes.countMostCrashes(jobId), 0);
	}

	private _isLikelyCause(run: TaskRunRef, agentId: string | undefined): boolean {
		const crash = this._crashes.findCrash(run, agentId);
		if (crash === undefined) {
			return false;
		}
		const isConfined = (route: string): boolean => this._confinement.isConfined(crash.pool, route);
		return findLikelyCauses(crash.runs, isConfined).has(run.jobId);
	}
}
