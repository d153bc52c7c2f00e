/** What only the leader does: begin the history, keep the directory of entries, and move the log's time on. */

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

const tickIntervalMs = 100;

/** A gap between ticks beyond this means that the process itself was stopped, and knows nothing of the time since. */
const maxTickGapMs = 1000;

/** Time that processes have, beyond their lease, to subscribe again and be reported to a new leader. */
const reportGraceMs = 2500;

/** The log's time moves in steps of this share of the claims' retention, within the bounds below. */
const timeStepShare = 1 / 1000;
const minTimeStepMs = 1000;
const maxTimeStepMs = 30_000;

const proposeTimeoutMs = 2000;

/** What the duties work on. */
export interface LeaderServices {
	readonly log: IReplicatedLog;
	readonly machine: KeeperStateMachine;
	readonly registry: MemberRegistry;
	readonly clock: IClock;
	readonly events: ILogService;
	readonly memberLeaseMs: number;
	readonly claimRetentionMs: number;
}

/** Runs on every keeper, and acts while its keeper leads. */
export class LeaderDuties extends Disposable {
	private _leadingSinceMs: number | undefined;
	private _lastTickMs: number;
	/** Clock and log time of the last step of the log's time that this leader knows of. */
	private _timeBase: { readonly clockMs: number; readonly logTimeMs: number } | undefined;
	private _isBusy = false;
	private _isTickWanted = false;

	constructor(private readonly _services: LeaderServices) {
		super();
		this._lastTickMs = _services.clock.nowMs();
		const timer = setInterval(() => {
			this.tick();
		}, tickIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
		this._register(
			_services.log.onDidChangeStatus(() => {
				this.tick();
			}),
		);
	}

	/** Does what is due now. Called at an interval, and when the known processes have changed. */
	tick(): void {
		const nowMs = this._services.clock.nowMs();
		const wasStopped = nowMs - this._lastTickMs > maxTickGapMs;
		this._lastTickMs = nowMs;
		this._services.registry.prune(nowMs);
		if (this._services.log.status.role !== 'leader') {
			this._leadingSinceMs = undefined;
			this._timeBase = undefined;
			return;
		}
		if (this._leadingSinceMs === undefined || wasStopped) {
			this._leadingSinceMs = nowMs;
			this._timeBase = undefined;
		}
		if (this._isBusy) {
			this._isTickWanted = true;
			return;
		}
		this._isBusy = true;
		this._act(nowMs)
			.catch((error: unknown) => {
				this._services.events.error('leader.dutyFailed', { message: describeError(error) });
			})
			.finally(() => {
				this._isBusy = false;
				this._tickAgainIfWanted();
			});
	}

	private _tickAgainIfWanted(): void {
		if (!this._isTickWanted || this._isDisposed) {
			return;
		}
		this._isTickWanted = false;
		this.tick();
	}

	private async _act(nowMs: number): Promise<void> {
		if (this._services.machine.historyId === '') {
			await this._propose({ kind: 'beginHistory', historyId: randomUUID() });
		}
		await this._updateDirectory(nowMs);
		await this._advanceTime(nowMs);
	}

	private async _updateDirectory(nowMs: number): Promise<void> {
		const { machine, registry, memberLeaseMs, events } = this._services;
		const leadingForMs = nowMs - (this._leadingSinceMs ?? nowMs);
		const entries = planDirectory({
			directory: machine.directory,
			processes: registry.processes(nowMs, memberLeaseMs, 'entry'),
			drains: machine.tables.tables.drains,
			mayRemove: leadingForMs > memberLeaseMs + reportGraceMs,
		});
		if (entries === undefined) {
			return;
		}
		const expectedEpoch = machine.directory.epoch;
		const isCommitted = await this._propose({ kind: 'setDirectory', expectedEpoch, entries });
		if (isCommitted) {
			const names = entries.map((entry) => entry.processId);
			events.info('directory.changed', { epoch: machine.directory.epoch, entries: names });
		}
	}

	private async _advanceTime(nowMs: number): Promise<void> {
		const { machine, claimRetentionMs } = this._services;
		const base = this._timeBase;
		if (base?.logTimeMs !== machine.logTimeMs) {
			// Time before this leader's first step is left out: at most, claims are kept longer.
			this._timeBase = { clockMs: nowMs, logTimeMs: machine.logTimeMs };
			return;
		}
		const elapsedMs = Math.floor(nowMs - base.clockMs);
		const stepMs = Math.min(maxTimeStepMs, Math.max(minTimeStepMs, claimRetentionMs * timeStepShare));
		if (elapsedMs < stepMs) {
			return;
		}
		const toMs = base.logTimeMs + elapsedMs;
		const command = { kind: 'advanceTime', fromMs: base.logTimeMs, toMs, claimRetentionMs } as const;
		if (await this._propose(command)) {
			this._timeBase = { clockMs: base.clockMs + elapsedMs, logTimeMs: toMs };
		}
	}

	private async _propose(command: KeeperCommand): Promise<boolean> {
		const result = await this._services.log.propose(encodeValue(command), proposeTimeoutMs);
		return result.isOk();
	}
}
