/** A keeper's replicated log: connects the core to its disk, its peers and its clock. */

import { Ok, type Result } from 'ts-results-es';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ForwardAnswerMessage, ForwardMessage } from '../common/forwardMessages.js';
import { getMaxStateAgeMs } from '../common/freshness.js';
import type { LogEntry, Snapshot } from '../common/logEntry.js';
import { step } from '../common/replicaCore.js';
import type { ReplicaMessage } from '../common/replicaMessages.js';
import type { ReplicaInput, ReplicaOutput, ReplicaState } from '../common/replicaState.js';
import { getGroupHealth, type GroupHealth } from '../common/groupPlan.js';
import { explainMissingLeader, getReplicaStatus } from '../common/replicaStatus.js';
import type { IReplicatedLog, MemberChange, ProposeError, ReplicaStatus } from '../common/replicatedLog.js';
import { createStateFromDisk } from './createStateFromDisk.js';
import { DiskWriter } from './diskWriter.js';
import { ignoreFaultPoint, type FaultPointHandler } from './faultPoints.js';
import { PeerConnections } from './peerConnections.js';
import type { ReplicatedLogOptions } from './replicatedLogOptions.js';
import { ReplicaStorage } from './replicaStorage.js';
import { defaultSnapshotAfterBytes, SnapshotTaker } from './snapshotTaker.js';
import { ProposalRouter } from './proposalRouter.js';

/** Longest interval between ticks. */
const maxTickIntervalMs = 25;

const emptyAnswer = new Uint8Array(0);

/** Implements the replicated log of one keeper. */
export class ReplicatedLog extends Disposable implements IReplicatedLog {
	private readonly _onDidChangeStatus = this._register(new Emitter<ReplicaStatus>());
	readonly onDidChangeStatus = this._onDidChangeStatus.event;

	private readonly _onDidApply = this._register(new Emitter<number>());
	readonly onDidApply = this._onDidApply.event;

	private readonly _state: ReplicaState;
	private readonly _diskWriter: DiskWriter;
	private readonly _snapshotTaker: SnapshotTaker;
	private readonly _peerConnections: PeerConnections;
	private readonly _proposalRouter: ProposalRouter;
	private readonly _onFaultPoint: FaultPointHandler;
	private _status: ReplicaStatus;
	private _stopReason: string | undefined;
	private _closing: Promise<void> | undefined;

	private constructor(
		private readonly _options: ReplicatedLogOptions,
		private readonly _storage: ReplicaStorage,
	) {
		super();
		const { processId, connection, clock, stateMachine } = _options;
		this._onFaultPoint = _options.onFaultPoint ?? ignoreFaultPoint;
		this._state = createStateFromDisk(_options, _storage.stored);
		this._diskWriter = this._register(new DiskWriter(_storage, this._onFaultPoint));
		const snapshotAfterBytes = _options.snapshotAfterBytes ?? defaultSnapshotAfterBytes;
		this._snapshotTaker = this._register(new SnapshotTaker(_storage, stateMachine, snapshotAfterBytes));
		this._peerConnections = this._register(new PeerConnections(processId, connection));
		const host = {
			state: this._state,
			step: (input: ReplicaInput) => this._step(input),
			send: (to: string, message: Message) => this._peerConnections.send(to, message),
		};
		this._proposalRouter = this._register(new ProposalRouter(host, clock));
		this._status = getReplicaStatus(this._state);
		this._restoreStoredSnapshot();
		this._subscribeAndStartTicks();
	}

	/**
	 * Opens the data folder, restores the state machine and joins the group.
	 *
	 * @throws StorageError if the folder is locked, damaged or can't be written
	 * @example
	 * const log = await ReplicatedLog.open({ dataFolder, processId, address, initialMembers, stateMachine, ...rest });
	 * listener.onDidConnect((connection) => log.acceptPeer(connection));
	 */
	static async open(options: ReplicatedLogOptions): Promise<ReplicatedLog> {
		const storage = await ReplicaStorage.open(options.dataFolder, {
			syncFile: options.syncFile,
			locksFolder: options.locksFolder,
			onWillSync: () => {
				options.onFaultPoint?.('beforeSync');
			},
		});
		const { hardState, cutBytes, entries } = storage.stored;
		options.log.info('replica.opened', {
			diskId: hardState.diskId,
			term: hardState.term,
			entries: entries.length,
			cutBytes,
		});
		const log = new ReplicatedLog(options, storage);
		await log._whenSoleMemberRestored();
		return log;
	}

	get status(): ReplicaStatus {
		return this._status;
	}

	/** Reason why the group accepts no commands, as known to this keeper; `undefined` while it knows a leader. */
	get refusalReason(): string | undefined {
		if (this._stopReason !== undefined) {
			return this._stopReason;
		}
		return this._state.leaderId === undefined
			? explainMissingLeader(this._state, this._options.clock.nowMs())
			: undefined;
	}

	/** Reachability of the other keepers while this keeper is the leader; `undefined` while it isn't. */
	get groupHealth(): GroupHealth | undefined {
		return getGroupHealth(this._state, this._options.clock.nowMs());
	}

	propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, ProposeError>> {
		return this._proposalRouter.submit({ kind: 'command', command }, timeoutMs);
	}

	getMaxStateAgeMs(): number {
		return this._stopReason === undefined
			? getMaxStateAgeMs(this._state, this._options.clock.nowMs())
			: Infinity;
	}

	/** Accepts a connection that another keeper opened. */
	acceptPeer(connection: IConnection): void {
		this._peerConnections.accept(connection);
	}

	async changeMember(change: MemberChange, timeoutMs: number): Promise<Result<undefined, ProposeError>> {
		const result = await this._proposalRouter.submit({ kind: 'change', change }, timeoutMs);
		return result.isOk() ? Ok(undefined) : result;
	}

	async transferLeadership(timeoutMs: number): Promise<void> {
		const deadlineMs = this._options.clock.nowMs() + timeoutMs;
		const hasOtherVoters = () =>
			this._state.log.members.some(
				(member) => member.isVoter && member.processId !== this._options.processId,
			);
		while (this._state.role === 'leader' && hasOtherVoters() && this._options.clock.nowMs() < deadlineMs) {
			this._step({ kind: 'transfer' });
			await new Promise((resolve) => setTimeout(resolve, maxTickIntervalMs));
		}
	}

	/**
	 * Tells the leader that this keeper is about to stop, so that the group can replace it while it is still there. Returns
	 * whether this keeper is no member any more; `false` after the timeout.
	 */
	async leave(timeoutMs: number): Promise<boolean> {
		const deadlineMs = this._options.clock.nowMs() + timeoutMs;
		while (this._state.departure !== 'confirmed' && this._stopReason === undefined) {
			if (this._options.clock.nowMs() >= deadlineMs) {
				return false;
			}
			this._step({ kind: 'leave' });
			await new Promise((resolve) => setTimeout(resolve, maxTickIntervalMs));
		}
		return this._state.departure === 'confirmed';
	}

	/** Stops taking part in the group, waits for running writes, closes the files and releases the lock. */
	close(): Promise<void> {
		this._closing ??= this._close();
		return this._closing;
	}

	override dispose(): void {
		this.close().catch((error: unknown) => {
			this._options.log.warn('replica.closeFailed', { reason: describeError(error) });
		});
	}

	private async _close(): Promise<void> {
		this._stop('This keeper is stopping.');
		super.dispose();
		await this._diskWriter.whenIdle();
		await this._snapshotTaker.whenIdle();
		await this._storage.close();
	}

	private _restoreStoredSnapshot(): void {
		const { snapshot } = this._storage.stored;
		if (snapshot !== undefined) {
			this._options.stateMachine.restoreSnapshot(snapshot.data);
		}
	}

	/** Resolves once a keeper that is the group's only member has applied its whole log; at once for other keepers. */
	private async _whenSoleMemberRestored(): Promise<void> {
		const { members } = this._state.log;
		const groupMembers = members.length > 0 ? members : this._options.initialMembers;
		if (groupMembers.length !== 1 || groupMembers[0]?.processId !== this._options.processId) {
			return;
		}
		this._step({ kind: 'tick' });
		const { termStartIndex } = this._state.leadership ?? { termStartIndex: 0 };
		while (this._state.commitIndex < termStartIndex && this._stopReason === undefined) {
			await this._diskWriter.whenIdle();
			await new Promise((resolve) => setImmediate(resolve));
		}
	}

	private _subscribeAndStartTicks(): void {
		const { heartbeatIntervalMs } = this._options;
		this._diskWriter.onDidWrite((sequence) => {
			this._step({ kind: 'written', sequence });
		});
		this._diskWriter.onDidFail((reason) => {
			this._stopOnFailure(reason);
		});
		this._snapshotTaker.onDidStore((snapshot) => {
			this._options.log.info('replica.snapshotStored', { index: snapshot.index });
			this._step({ kind: 'snapshotStored', snapshot });
		});
		this._snapshotTaker.onDidFail((reason) => {
			this._stopOnFailure(reason);
		});
		this._peerConnections.onDidReceive(({ from, message }) => {
			this._handleMessage(from, message);
		});
		this._peerConnections.onDidConnect((to) => {
			this._step({ kind: 'connected', to });
		});
		this._peerConnections.onDidDisconnect((processId) => {
			this._proposalRouter.handleDisconnect(processId);
		});
		this._connectToMembers();
		const timer = setInterval(
			() => {
				this._step({ kind: 'tick' });
				this._proposalRouter.tick();
			},
			Math.min(maxTickIntervalMs, heartbeatIntervalMs / 3),
		);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	private _handleMessage(from: string, message: Message): void {
		if (message.kind === 'forward') {
			this._proposalRouter.handleForward(from, message as ForwardMessage);
			return;
		}
		if (message.kind === 'forwardAnswer') {
			this._proposalRouter.handleForwardAnswer(message as ForwardAnswerMessage);
			return;
		}
		this._step({ kind: 'receive', from, message: message as ReplicaMessage });
	}

	private _step(input: ReplicaInput): readonly ReplicaOutput[] {
		if (this._stopReason !== undefined) {
			return [];
		}
		try {
			const outputs = step(this._state, input, this._options.clock.nowMs());
			for (const output of outputs) {
				this._performOutput(output);
			}
			this._publishStatus();
			return outputs;
		} catch (error) {
			// An invariant of the log is violated or the state machine failed; continuing could spread the damage.
			this._stopOnFailure(describeError(error));
			return [];
		}
	}

	private _performOutput(output: ReplicaOutput): void {
		switch (output.kind) {
			case 'send':
				this._peerConnections.send(output.to, output.message);
				return;
			case 'write':
				this._diskWriter.enqueue(output.write);
				return;
			case 'apply':
				this._applyEntries(output.entries);
				return;
			case 'restore':
				this._restoreSnapshot(output.snapshot);
				return;
			case 'appended':
			case 'refused':
				return;
		}
	}

	private _applyEntries(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this._proposalRouter.settleApplied(entry, this._applyEntry(entry));
		}
		this._onFaultPoint('afterReply');
		this._snapshotTaker.countApplied(entries);
		this._snapshotTaker.takeIfDue(this._state);
		this._onDidApply.fire(this._state.commitIndex);
	}

	private _applyEntry(entry: LogEntry): Uint8Array {
		if (entry.kind !== 'command') {
			return emptyAnswer;
		}
		this._onFaultPoint('beforeApply');
		const answer = this._options.stateMachine.apply(entry.index, entry.command);
		this._onFaultPoint('beforeReply');
		return answer;
	}

	private _restoreSnapshot(snapshot: Snapshot): void {
		this._options.log.info('replica.snapshotRestored', { index: snapshot.index });
		this._options.stateMachine.restoreSnapshot(snapshot.data);
		this._proposalRouter.settleCoveredBySnapshot(snapshot.index);
		this._onDidApply.fire(snapshot.index);
	}

	private _publishStatus(): void {
		const before = this._status;
		this._status = getReplicaStatus(this._state);
		const { role, term, leaderId, members } = this._status;
		const isSame =
			before.role === role &&
			before.term === term &&
			before.leaderId === leaderId &&
			before.members === members;
		if (isSame) {
			return;
		}
		this._options.log.info('replica.statusChanged', { replicaRole: role, term, leaderId });
		if (before.members !== members) {
			this._connectToMembers();
		}
		this._proposalRouter.scheduleFlush();
		this._onDidChangeStatus.fire(this._status);
	}

	/** Connects to the group's members and the initial ones, through which a keeper with a new disk finds its group. */
	private _connectToMembers(): void {
		this._peerConnections.setPeers([...this._options.initialMembers, ...this._state.log.members]);
	}

	private _stopOnFailure(reason: string): void {
		if (this._stopReason !== undefined) {
			return;
		}
		this._options.log.error('replica.stopped', { reason });
		this._stop(reason);
	}

	/** Stops taking part in the group for good, because it is unknown what a failed sync left on the disk. */
	private _stop(reason: string): void {
		if (this._stopReason !== undefined) {
			return;
		}
		this._stopReason = reason;
		this._proposalRouter.stop(reason);
		this._peerConnections.dispose();
		this._status = { ...this._status, role: 'stopped', leaderId: undefined };
		this._onDidChangeStatus.fire(this._status);
	}
}
