/** State of an entry's core. The systems read and update it, and keep no state of their own between ticks. */

import { LRUCache } from 'lru-cache';
import type { SeededRandom } from '../../base/common/random.js';
import type { ControlState } from '../../control/common/controlPlane.js';
import { emptyTables, type RouteRow, type TeamRow } from '../../declarations/common/tables.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import type { PeerIdentity } from '../../services/transport/common/transport.js';
import { DeadlineQueue } from './deadlineQueue.js';
import { EntryStats } from './entryStats.js';
import type { JobRow } from './jobRow.js';
import { FinishedSubmissions } from './finishedSubmissions.js';
import { Outbox } from './outbox.js';
import { PoolState } from './poolState.js';
import { QuotaState } from './quotaState.js';
import { RouteState } from './routeState.js';
import type { PoolWorkers } from './poolWorkers.js';
import { WorkerTable } from './workerTable.js';

/** Settings of the process that the core uses. */
export interface EntryCoreOptions {
	readonly processId: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly freshnessLimitMs: number;
	readonly maxOpenJobs: number;
	readonly keyRetentionMs: number;
}

/**
 * Number of submissions for which claim releases are counted. The count is only needed while a release is in transit,
 * which takes a few seconds at most: a release that arrives late must not free a newer claim of the same submission.
 */
const maxClaimReleaseCounts = 20_000;

/** Identifies one incarnation of an entry, from its start to its exit. */
export type EntryIncarnation = Pick<EntryMember, 'processId' | 'incarnation'>;

/** The tables of one entry. */
export class EntryTables {
	control: ControlState = { tables: emptyTables, directory: { epoch: 0, entries: [] } };
	/** Rows of the operators' tables, by the route's or team's name. */
	readonly routeRows = new Map<string, RouteRow>();
	readonly teamRows = new Map<string, TeamRow>();
	isStopping = false;
	/** Time at which a drain answers the jobs that are still open, because the process exits soon after. */
	drainEndsAtMs = Infinity;
	/** Whether an operator has set this entry to drain. */
	isDrainedByOperator = false;
	/** Whether the control state is too old to accept new jobs. */
	isStale = true;
	nowMs = 0;
	/** Upper bound of the control state's age in this tick. */
	tablesAgeMs = Infinity;
	/** Time of this entry's first tick. */
	firstTickMs: number | undefined;

	/** Open jobs by submission id. */
	readonly jobs = new Map<string, JobRow>();
	/** Open jobs by the id of each waiting reader, and by the job id under which the reader may cancel. */
	readonly jobsByReader = new Map<number, JobRow>();
	readonly jobsByJobId = new Map<string, JobRow>();
	/** Jobs that changed in this tick and may have an answer now. */
	readonly changedJobs = new Set<JobRow>();
	/** Workers by process id. */
	readonly workers: WorkerTable;
	readonly pools = new Map<string, PoolState>();
	readonly routes = new Map<string, RouteState>();
	/** Number of tasks that this entry has at workers, by team. */
	readonly runningTasksByTeam = new Map<string, number>();
	readonly sessions = new Map<number, PeerIdentity>();
	/** Id of the newest session of each connected entry, by process id. */
	readonly entrySessions = new Map<string, number>();
	/** Finished submissions and their answers, by submission id. */
	readonly finishedSubmissions: FinishedSubmissions;
	readonly deadlines = new DeadlineQueue();
	/** Jobs that wait until their pool has a reachable home, or until this entry has settled as the home. */
	readonly jobsAwaitingRouting = new Set<JobRow>();
	/** Parts of the team quotas that this entry has leased, and those that it grants. */
	readonly quotas = new QuotaState();
	/** Jobs that wait until the pool's new home has accepted the hand-over. */
	readonly handedOverJobs = new Set<JobRow>();
	/** Whether the home of a relayed job may have changed or reconnected since the last tick. */
	mayHomesHaveMoved = false;
	/** Whether an agent's connection was lost since the last tick, possibly with answers to relayed jobs. */
	mayAnswersBeLost = false;
	/** Number of recent claim releases, by submission id. */
	readonly claimReleaseCounts = new LRUCache<string, number>({ max: maxClaimReleaseCounts });
	readonly stats = new EntryStats();
	readonly outbox = new Outbox(this.stats);

	constructor(
		readonly options: EntryCoreOptions,
		readonly random: SeededRandom,
	) {
		this.workers = new WorkerTable(options.dataCentre, random);
		this.finishedSubmissions = new FinishedSubmissions(options.keyRetentionMs);
	}

	get epoch(): number {
		return this.control.directory.epoch;
	}

	get revision(): number {
		return this.control.tables.revision;
	}

	/** Returns the state of a pool, and creates it on first use. */
	getOrCreatePool(name: string): PoolState {
		let pool = this.pools.get(name);
		if (pool === undefined) {
			pool = new PoolState(name, this.nowMs);
			this.pools.set(name, pool);
		}
		return pool;
	}

	/** Returns the state of a route, and creates it on first use. */
	getOrCreateRoute(name: string): RouteState {
		let route = this.routes.get(name);
		if (route === undefined) {
			route = new RouteState();
			this.routes.set(name, route);
		}
		return route;
	}

	/** Whether new jobs are refused because the process is stopping or an operator has set it to drain. */
	get isDraining(): boolean {
		return this.isStopping || this.isDrainedByOperator;
	}

	/** Whether the current directory lists this incarnation of an entry. */
	isInDirectory({ processId, incarnation }: EntryIncarnation): boolean {
		return this.control.directory.entries.some(
			(entry) => entry.processId === processId && entry.incarnation === incarnation,
		);
	}

	/** Returns the newest session of an entry if it belongs to the given run, else undefined. */
	findSession({ processId, incarnation }: EntryIncarnation): number | undefined {
		const sessionId = this.entrySessions.get(processId);
		const isSameRun = sessionId !== undefined && this.sessions.get(sessionId)?.incarnation === incarnation;
		return isSameRun ? sessionId : undefined;
	}

	/** Returns the workers that currently serve a pool, connected or not, with their totals. */
	workersInPool(pool: string): PoolWorkers {
		return this.workers.workersInPool(pool, this.nowMs);
	}

	/** Changes the number of tasks that a team has at workers. */
	addRunningTasks(team: string, delta: number): void {
		const running = (this.runningTasksByTeam.get(team) ?? 0) + delta;
		if (running <= 0) {
			this.runningTasksByTeam.delete(team);
			return;
		}
		this.runningTasksByTeam.set(team, running);
	}
}
