/** Runs the work that only the leader does: beginning the history, updating the entry directory, advancing log time. */

import { randomUUID } from 'node:crypto';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IReplicatedLog } from '../../replication/common/replicatedLog.js';
import { planDirectory } from '../common/directoryPlan.js';
import { encodeValue, type KeeperCommand } from '../common/keeperCommands.js';
import type { KeeperStateMachine } from '../common/keeperStateMachine.js';
import type { MemberRegistry } from '../../control/common/memberRegistry.js';

/** Interval between ticks, in addition to those caused by changes. */
const tickIntervalMs = 100;

/** Longer gaps between ticks mean that the process was suspended and has missed what happened meanwhile. */
const maxTickGapMs = 1000;

/** Time beyond their lease that processes have to subscribe again and be reported to a new leader. */
const reportGracePeriodMs = 2500;

/**
 * Log time is the replicated time that leaders have measured since the history began; claims expire by it. It advances
 * in steps of this share of the claims' retention time, within the bounds below.
 */
const timeStepShareOfRetention = 1 / 1000;
const minTimeStepMs = 1000;
const maxTimeStepMs = 30_000;

/** Time after which the result of a command counts as unknown. */
const proposeTimeoutMs = 2000;

/** Options of {@link LeaderDuties}. */
export interface LeaderDutiesOptions {
	readonly replicatedLog: IReplicatedLog;
	readonly stateMachine: KeeperStateMachine;
	readonly registry: MemberRegistry;
	readonly clock: IClock;
	readonly logService: ILogService;
	/** Time after its last status for which a subscriber counts as live. */
	readonly memberLeaseMs: number;
	/** Time for which claims are kept. */
	readonly claimRetentionMs: number;
}

/** Runs on every keeper, but proposes commands only while the keeper is the leader. */
export class LeaderDuties extends Disposable {
	/** Clock time at which this keeper became leader or resumed as leader; undefined while it is not the leader. */
	private _leadingSinceMs: number | undefined;
	private _lastTickMs: number;
	/**
	 * The latest log time known to this leader, and this keeper's clock when the leader first saw or proposed it.
	 * Undefined until the leader has seen one since its election or since its process was suspended.
	 */
	private _lastTimeStep: { readonly clockMs: number; readonly logTimeMs: number } | undefined;
	private _isRunning = false;
	private _isTickPending = false;

	constructor(private readonly _options: LeaderDutiesOptions) {
		super();
		this._lastTickMs = _options.clock.nowMs();
		const timer = setInterval(() => {
			this.tick();
		}, tickIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
		this._register(
			_options.replicatedLog.onDidChangeStatus(() => {
				this.tick();
			}),
		);
	}

	/** Runs the duties that are due. Called at an interval, and when the log's status or the known processes change. */
	tick(): void {
		const nowMs = this._options.clock.nowMs();
		const wasSuspended = nowMs - this._lastTickMs > maxTickGapMs;
		this._lastTickMs = nowMs;
		this._options.registry.prune(nowMs);
		if (this._options.replicatedLog.status.role !== 'leader') {
			this._leadingSinceMs = undefined;
			this._lastTimeStep = undefined;
			return;
		}
		if (this._leadingSinceMs === undefined || wasSuspended) {
			this._leadingSinceMs = nowMs;
			this._lastTimeStep = undefined;
		}
		if (this._isRunning) {
			this._isTickPending = true;
			return;
		}
		this._isRunning = true;
		this._runDuties(nowMs)
			.catch((error: unknown) => {
				this._options.logService.error('leader.dutyFailed', { message: describeError(error) });
			})
			.finally(() => {
				this._isRunning = false;
				this._runPendingTick();
			});
	}

	/** Runs the tick that was requested while the duties were already running. */
	private _runPendingTick(): void {
		if (!this._isTickPending || this._isDisposed) {
			return;
		}
		this._isTickPending = false;
		this.tick();
	}

	private async _runDuties(nowMs: number): Promise<void> {
		if (this._options.stateMachine.historyId === '') {
			await this._propose({ kind: 'beginHistory', historyId: randomUUID() });
		}
		await this._updateDirectory(nowMs);
		await this._advanceLogTime(nowMs);
	}

	/** Proposes a new entry directory if the current one is out of date. */
	private async _updateDirectory(nowMs: number): Promise<void> {
		const { stateMachine, registry, memberLeaseMs, logService } = this._options;
		const leadingForMs = nowMs - (this._leadingSinceMs ?? nowMs);
		const entries = planDirectory({
			directory: stateMachine.directory,
			processes: registry.listProcesses(nowMs, memberLeaseMs, 'entry'),
			drains: stateMachine.tableStore.tables.drains,
			canRemoveSilentEntries: leadingForMs > memberLeaseMs + reportGracePeriodMs,
		});
		if (entries === undefined) {
			return;
		}
		const expectedEpoch = stateMachine.directory.epoch;
		const isCommitted = await this._propose({ kind: 'setDirectory', expectedEpoch, entries });
		if (isCommitted) {
			const names = entries.map((entry) => entry.processId);
			logService.info('directory.changed', { epoch: stateMachine.directory.epoch, entries: names });
		}
	}

	/** Proposes a step of log time once enough time has elapsed since the last step. */
	private async _advanceLogTime(nowMs: number): Promise<void> {
		const { stateMachine, claimRetentionMs } = this._options;
		const lastStep = this._lastTimeStep;
		if (lastStep?.logTimeMs !== stateMachine.logTimeMs) {
			// The time before this leader's first step is not counted, so that claims are kept longer, never shorter.
			this._lastTimeStep = { clockMs: nowMs, logTimeMs: stateMachine.logTimeMs };
			return;
		}
		const elapsedMs = Math.floor(nowMs - lastStep.clockMs);
		const stepMs = Math.min(
			maxTimeStepMs,
			Math.max(minTimeStepMs, claimRetentionMs * timeStepShareOfRetention),
		);
		if (elapsedMs < stepMs) {
			return;
		}
		const toMs = lastStep.logTimeMs + elapsedMs;
		const command = { kind: 'advanceTime', fromMs: lastStep.logTimeMs, toMs, claimRetentionMs } as const;
		if (await this._propose(command)) {
			this._lastTimeStep = { clockMs: lastStep.clockMs + elapsedMs, logTimeMs: toMs };
		}
	}

	/** Proposes a command and returns whether it is known to be committed. */
	private async _propose(command: KeeperCommand): Promise<boolean> {
		const result = await this._options.replicatedLog.propose(encodeValue(command), proposeTimeoutMs);
		return result.isOk();
	}
}
