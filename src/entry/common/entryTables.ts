/** All state of an entry's core. Systems read and change it; nothing else holds state between ticks. */

import { LRUCache } from 'lru-cache';
import type { SeededRandom } from '../../base/common/random.js';
import type { ControlState } from '../../control/common/controlPlane.js';
import { emptyTables, type RouteRow, type TeamRow } from '../../declarations/common/tables.js';
import type { EntryMember } from '../../protocol/common/keeperMessages.js';
import type { PeerIdentity } from '../../services/transport/common/transport.js';
import { DeadlineQueue } from './deadlineQueue.js';
import { EntryStats } from './entryStats.js';
import type { JobRow } from './jobRow.js';
import { KeyMemory } from './keyMemory.js';
import { Outbox } from './outbox.js';
import { PoolState } from './poolState.js';
import { QuotaState } from './quotaState.js';
import { RouteState } from './routeState.js';
import type { PoolWorkers } from './poolWorkers.js';
import { WorkerTable } from './workerTable.js';

/** What the core takes from the process's settings. */
export interface EntryCoreOptions {
	readonly processId: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly freshnessLimitMs: number;
	readonly maxOpenJobs: number;
	readonly keyRetentionMs: number;
}

/** Released claims of which a late release could still meet a new claim; a release travels for seconds at most. */
const maxReleasedClaims = 20_000;

/** One run of an entry. */
export type EntryRunKey = Pick<EntryMember, 'processId' | 'incarnation'>;

/** The tables of one entry. */
export class EntryTables {
	control: ControlState = { tables: emptyTables, directory: { epoch: 0, entries: [] } };
	/** Rows of the operators' tables by name. */
	readonly routeRows = new Map<string, RouteRow>();
	readonly teamRows = new Map<string, TeamRow>();
	isStopping = false;
	/** When a drain answers what is still open, since the process ends soon after. */
	drainEndsAtMs = Infinity;
	/** Whether an operator drains this entry. */
	isDrainedByOperator = false;
	/** Whether the control state is too old to take new work. */
	isStale = true;
	nowMs = 0;
	/** Greatest possible age of the control state in this tick. */
	tablesAgeMs = Infinity;
	startedMs: number | undefined;

	/** Open jobs by submission. */
	readonly jobs = new Map<string, JobRow>();
	/** Open jobs by the reader that waits, and by the name that the reader gave. */
	readonly jobsByReader = new Map<number, JobRow>();
	readonly jobsByJobId = new Map<string, JobRow>();
	/** Jobs of which something changed in this tick. */
	readonly changedJobs = new Set<JobRow>();
	/** Workers by process id. */
	readonly workers: WorkerTable;
	readonly pools = new Map<string, PoolState>();
	readonly routes = new Map<string, RouteState>();
	/** Tasks at workers by team, as started by this entry. */
	readonly runningByTeam = new Map<string, number>();
	readonly sessions = new Map<number, PeerIdentity>();
	/** Newest session of each connected entry. */
	readonly entrySessions = new Map<string, number>();
	/** Answers of finished submissions with a key. */
	readonly remembered: KeyMemory;
	readonly deadlines = new DeadlineQueue();
	/** Jobs that wait for a home or for a takeover. */
	readonly waitingJobs = new Set<JobRow>();
	/** Parts of the team quotas that this entry has leased or grants. */
	readonly quotas = new QuotaState();
	/** Jobs that wait until a new home has taken a hand-over. */
	readonly handedOverJobs = new Set<JobRow>();
	/** Whether a relayed job's home may have moved or come back since the last tick. */
	mayHomesHaveMoved = false;
	/** Whether a connection to an agent was lost since the last tick, and with it perhaps answers to relayed jobs. */
	mayAnswersBeLost = false;
	/** Times that a claim was released lately, by submission. */
	readonly releasedClaims = new LRUCache<string, number>({ max: maxReleasedClaims });
	readonly stats = new EntryStats();
	readonly outbox = new Outbox(this.stats);

	constructor(
		readonly options: EntryCoreOptions,
		readonly random: SeededRandom,
	) {
		this.workers = new WorkerTable(options.dataCentre, random);
		this.remembered = new KeyMemory(options.keyRetentionMs);
	}

	get epoch(): number {
		return this.control.directory.epoch;
	}

	get revision(): number {
		return this.control.tables.revision;
	}

	/** State of a pool, made when it is first named. */
	poolOf(name: string): PoolState {
		let pool = this.pools.get(name);
		if (pool === undefined) {
			pool = new PoolState(name, this.nowMs);
			this.pools.set(name, pool);
		}
		return pool;
	}

	/** State of a route, made when it is first named. */
	routeOf(name: string): RouteState {
		let route = this.routes.get(name);
		if (route === undefined) {
			route = new RouteState();
			this.routes.set(name, route);
		}
		return route;
	}

	/** Whether new jobs are refused because the process stops or an operator drains it. */
	get isDraining(): boolean {
		return this.isStopping || this.isDrainedByOperator;
	}

	/** Whether the present directory lists a run of an entry. */
	isListed({ processId, incarnation }: EntryRunKey): boolean {
		return this.control.directory.entries.some(
			(entry) => entry.processId === processId && entry.incarnation === incarnation,
		);
	}

	/** Newest session of an entry, if it is with this run of it. */
	sessionWith({ processId, incarnation }: EntryRunKey): number | undefined {
		const sessionId = this.entrySessions.get(processId);
		const isSameRun = sessionId !== undefined && this.sessions.get(sessionId)?.incarnation === incarnation;
		return isSameRun ? sessionId : undefined;
	}

	/** Workers that serve a pool now, connected or not, and the sums over them. */
	workersOf(pool: string): PoolWorkers {
		return this.workers.inPool(pool, this.nowMs);
	}

	/** Adds to the tasks that a team has at workers. */
	addRunning(team: string, by: number): void {
		const running = (this.runningByTeam.get(team) ?? 0) + by;
		if (running <= 0) {
			this.runningByTeam.delete(team);
			return;
		}
		this.runningByTeam.set(team, running);
	}
}
