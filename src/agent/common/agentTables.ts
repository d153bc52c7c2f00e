/** State that an agent's core keeps between ticks, and the working state of one tick. */

import type { TableScope } from '../../protocol/common/keeperMessages.js';
import { emptyTables, type Tables } from '../../declarations/common/tables.js';
import type { EntryRun, TaskOutcome, UpstreamOffer } from '../../protocol/common/agentMessages.js';
import type { LogFields } from '../../services/log/common/log.js';
import type { AgentOutput } from './agentInputs.js';
import { RouteUsageTable } from './routeUsageTable.js';
import { type Recipient, type TaskRecord } from './taskRecord.js';
import { TaskTable } from './taskTable.js';

/** Settings that the core needs. */
export interface AgentCoreOptions {
	readonly processId: string;
	readonly incarnation: string;
	readonly dataCentre: string;
	readonly rack: string;
	readonly identityRetentionMs: number;
	readonly maxQueuedTasks: number;
	readonly maxRememberedTasks: number;
	readonly maxKeptResultBytes: number;
	readonly freshnessLimitMs: number;
}

/** Upstream that is currently announced. */
export interface UpstreamRow {
	readonly upstreamId: string;
	readonly address: string;
	readonly offer: UpstreamOffer;
	expiresAtMs: number;
	/** Whether the upstream has announced that it is leaving; the row stays until its running tasks have ended. */
	isWithdrawn: boolean;
	/** Whether a connection was lost while tasks ran; nothing is started until the next announcement. */
	isSuspect: boolean;
}

/** Open connection to an entry. */
export interface EntryRow extends Recipient {
	readonly connectionId: number;
	/** Whether the initial state, which lists the known tasks, was sent. */
	isInitialStateSent: boolean;
	/** Version of the route estimates that were last sent to the entry. */
	sentUsageVersion: number;
}

/** Part of the agent's state that is sent to the entries, again on each change. */
export interface PublishedState {
	readonly revision: number;
	readonly offer: UpstreamOffer | undefined;
	readonly isLeaving: boolean;
}

/** State of the agent's core. Only the core and its systems change it, within a tick. */
export class AgentTables {
	readonly entries = new Map<number, EntryRow>();
	readonly tasks: TaskTable;
	readonly routeUsage = new RouteUsageTable();
	/** Highest epoch of a home entry that was accepted, by pool. */
	readonly highestEpochByPool = new Map<string, number>();
	/**
	 * Epoch of the first directory that the agent received since it started. Home entries of earlier epochs are refused:
	 * an earlier incarnation of the agent may have accepted a later home, which this one knows nothing of.
	 */
	firstDirectoryEpoch = 0;
	declarations: Tables = emptyTables;
	/** Subset of the rows that {@link declarations} holds; undefined when it holds all rows. */
	scope: TableScope | undefined;
	/** Pool of each route; an index of {@link declarations}, rebuilt on each change, like the two fields below. */
	poolByRoute: ReadonlyMap<string, string> = new Map();
	poolNames: ReadonlySet<string> = new Set();
	isDrainedByOperator = false;
	upstream: UpstreamRow | undefined;
	/** Last upstream that withdrew: a renewal that was sent before the withdrawal must not undo it. */
	withdrawnUpstreamId: string | undefined;
	isDraining = false;
	publishedState: PublishedState = { revision: 0, offer: undefined, isLeaving: false };
	nextRunId = 1;
	/** Time of the next usage sample; infinite while nothing runs. */
	nextUsageSampleAtMs = Infinity;
	/** Time of the last action of the overload guard; samples that were measured before it don't show its effect. */
	lastGuardActionAtMs = -Infinity;

	/** Returns whether the declarations cover a pool: false before the first ones, and when they hold only another pool. */
	coversPool(pool: string | undefined): boolean {
		return this.declarations.revision > 0 && (this.scope === undefined || this.scope.pool === pool);
	}

	/** Returns the lowest epoch under which starts for a pool are accepted. */
	minAcceptedEpoch(pool: string): number {
		return Math.max(this.firstDirectoryEpoch, this.highestEpochByPool.get(pool) ?? 0);
	}

	constructor(readonly options: AgentCoreOptions) {
		this.tasks = new TaskTable(options.identityRetentionMs, options.maxKeptResultBytes);
	}
}

/** Working state of one tick: its time, its outputs, and the outcomes to send. */
export class AgentTick {
	readonly outputs: AgentOutput[] = [];
	/** Tasks that ended in this tick; the end is sent to each connected recipient. */
	readonly endedTasks = new Set<TaskRecord>();
	/** Connections that opened in this tick; they receive all unacknowledged ends. */
	readonly newConnections = new Set<EntryRow>();
	/** Entry that receives a result of this tick directly, in addition to the recipients. */
	readonly directAnswerEntries = new Map<TaskRecord, EntryRun>();
	private readonly _outcomesByConnection = new Map<number, TaskOutcome[]>();

	constructor(
		readonly tables: AgentTables,
		readonly nowMs: number,
	) {}

	/** Adds an outcome to those that are sent on a connection at the end of the tick. */
	addOutcome(connectionId: number, outcome: TaskOutcome): void {
		const outcomes = this._outcomesByConnection.get(connectionId);
		if (outcomes === undefined) {
			this._outcomesByConnection.set(connectionId, [outcome]);
			return;
		}
		outcomes.push(outcome);
	}

	/** Outcomes to send, by connection. */
	get outcomesByConnection(): ReadonlyMap<number, readonly TaskOutcome[]> {
		return this._outcomesByConnection;
	}

	/** Adds a log event to the outputs. */
	log(level: 'info' | 'warn', event: string, fields: LogFields): void {
		this.outputs.push({ kind: 'log', level, event, fields });
	}
}
