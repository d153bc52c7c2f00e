/** Everything that an agent's core knows between ticks. */

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

/** The upstream that is announced. */
export interface UpstreamRow {
	readonly upstreamId: string;
	readonly address: string;
	readonly offer: UpstreamOffer;
	expiresAtMs: number;
	/** The upstream has said that it is leaving; it stays until its running tasks have ended. */
	isWithdrawn: boolean;
	/** A connection was lost while tasks ran: nothing is started until the next announcement. */
	isSuspect: boolean;
}

/** One open connection to an entry. */
export interface EntryRow extends Recipient {
	readonly connectionId: number;
	/** Whether the first state, with the known tasks, was sent. */
	isIntroduced: boolean;
	/** Version of the measured use of routes that the entry was told. */
	toldUsageVersion: number;
}

/** The part of the agent's state that entries are told; sent again when it changes. */
export interface PublishedState {
	readonly revision: number;
	readonly offer: UpstreamOffer | undefined;
	readonly isLeaving: boolean;
}

/** The agent's tables. Only the systems change them, within a tick. */
export class AgentTables {
	readonly entries = new Map<number, EntryRow>();
	readonly tasks: TaskTable;
	readonly routeUsage = new RouteUsageTable();
	/** Highest epoch that was obeyed, by pool. */
	readonly epochs = new Map<string, number>();
	/**
	 * Epoch of the first directory that this run has got. Homes of earlier epochs are refused: an earlier run may have
	 * obeyed a later home, of which this run remembers nothing.
	 */
	firstEpoch = 0;
	declarations: Tables = emptyTables;
	/** Rows that {@link declarations} hold; absent for all. */
	scope: TableScope | undefined;
	/** Indexes of {@link declarations}, made once a change. */
	poolOfRoute: ReadonlyMap<string, string> = new Map();
	poolNames: ReadonlySet<string> = new Set();
	isDrainedByOperator = false;
	upstream: UpstreamRow | undefined;
	/** The last upstream that withdrew: a renewal that crossed its withdrawal must not bring it back. */
	withdrawnUpstreamId: string | undefined;
	isDraining = false;
	published: PublishedState = { revision: 0, offer: undefined, isLeaving: false };
	nextRunId = 1;
	/** Infinite while nothing runs. */
	nextUsageSampleAtMs = Infinity;
	/** Time of the last action of the guards; samples that are older than it don't show its effect. */
	guardActedAtMs = -Infinity;

	/** Whether the tables tell about a pool: not before the first ones, and not while they hold another pool's rows. */
	knowsPool(pool: string | undefined): boolean {
		return this.declarations.revision > 0 && (this.scope === undefined || this.scope.pool === pool);
	}

	/** Least epoch under which starts for a pool are taken. */
	epochOf(pool: string): number {
		return Math.max(this.firstEpoch, this.epochs.get(pool) ?? 0);
	}

	constructor(readonly options: AgentCoreOptions) {
		this.tasks = new TaskTable(options.identityRetentionMs, options.maxKeptResultBytes);
	}
}

/** Work of one tick: its time, its outputs, and the ends that are to be told. */
export class AgentTick {
	readonly outputs: AgentOutput[] = [];
	/** Ends of this tick, to be told to each recipient that is connected. */
	readonly ended = new Set<TaskRecord>();
	/** Connections that opened in this tick: they are told everything that was not acknowledged. */
	readonly connected = new Set<EntryRow>();
	/** Entries that are told a result of this tick besides the recipients. */
	readonly answerTo = new Map<TaskRecord, EntryRun>();
	private readonly _replies = new Map<number, TaskOutcome[]>();

	constructor(
		readonly tables: AgentTables,
		readonly nowMs: number,
	) {}

	/** Tells one connection about a task, in the tick's frame to it. */
	reply(connectionId: number, outcome: TaskOutcome): void {
		const replies = this._replies.get(connectionId);
		if (replies === undefined) {
			this._replies.set(connectionId, [outcome]);
			return;
		}
		replies.push(outcome);
	}

	/** Outcomes to tell, by connection. */
	get replies(): ReadonlyMap<number, readonly TaskOutcome[]> {
		return this._replies;
	}

	log(level: 'info' | 'warn', event: string, fields: LogFields): void {
		this.outputs.push({ kind: 'log', level, event, fields });
	}
}
