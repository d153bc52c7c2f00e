/** Routes commands and membership changes from any keeper to the leader, and their results back. */

import { Err, Ok } from 'ts-results-es';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { Message } from '../../services/transport/common/transport.js';
import type {
	ForwardAnswerMessage,
	ForwardMessage,
	ForwardRequest,
	ForwardResult,
	Proposal,
} from '../common/forwardMessages.js';
import type { LogEntry } from '../common/logEntry.js';
import { explainMissingLeader } from '../common/replicaStatus.js';
import type { ReplicaInput, ReplicaOutput, ReplicaState } from '../common/replicaState.js';
import {
	createNoLeaderResult,
	PendingProposals,
	type PendingProposal,
	type ProposalResult,
} from './pendingProposals.js';
import { ProposeError } from '../common/replicatedLog.js';

/** Gives the router access to the core and the connections of its replicated log. */
export interface ProposalRouterHost {
	readonly state: ReplicaState;
	/** Passes an input to the core, performs the resulting outputs and returns them. */
	readonly step: (input: ReplicaInput) => readonly ReplicaOutput[];
	readonly send: (to: string, message: Message) => boolean;
}

/** Total size of commands, in bytes, above which a message to the leader is sent without further requests. */
const forwardFlushBytes = 1024 * 1024;

/** Largest size of a command in bytes; it must fit into one frame between keepers. */
const maxCommandBytes = 8 * 1024 * 1024;

const emptyAnswer = new Uint8Array(0);

/** Routes the proposals of one keeper. */
export class ProposalRouter extends Disposable {
	private readonly _pendingProposals = new PendingProposals();
	private readonly _queuedResults = new Map<string, ForwardResult[]>();
	private _flushTimer: NodeJS.Immediate | undefined;

	constructor(
		private readonly _host: ProposalRouterHost,
		private readonly _clock: IClock,
	) {
		super();
		this._register(
			toDisposable(() => {
				clearImmediate(this._flushTimer);
			}),
		);
	}

	/** Submits a proposal made on this keeper; resolves once its result is known or the timeout has passed. */
	submit(proposal: Proposal, timeoutMs: number): Promise<ProposalResult> {
		if (proposal.kind === 'command' && proposal.command.length > maxCommandBytes) {
			return Promise.resolve(createNoLeaderResult(`A command may have at most ${maxCommandBytes} bytes.`));
		}
		return new Promise((resolve) => {
			const deadlineMs = this._clock.nowMs() + timeoutMs;
			this._pendingProposals.add({ proposal, deadlineMs, isForwarded: false, settle: resolve });
			this.scheduleFlush();
		});
	}

	/** Handles proposals that another keeper forwarded to this one. */
	handleForward(from: string, message: ForwardMessage): void {
		for (const { id, timeoutMs, work } of message.requests) {
			this._pendingProposals.add({
				proposal: work,
				deadlineMs: this._clock.nowMs() + timeoutMs,
				isForwarded: true,
				settle: (result) => {
					this._queueResult(from, id, result);
				},
			});
		}
		this.scheduleFlush();
	}

	/** Handles the leader's results of forwarded proposals. */
	handleForwardAnswer(message: ForwardAnswerMessage): void {
		for (const { id, answer, errorKind, reason } of message.results) {
			const item = this._pendingProposals.takeForwarded(id);
			if (errorKind === undefined) {
				item?.settle(Ok(answer ?? emptyAnswer));
				continue;
			}
			if (item !== undefined && errorKind === 'noLeader') {
				this._pendingProposals.retry(item);
				continue;
			}
			item?.settle(Err(new ProposeError(errorKind, reason ?? '')));
		}
	}

	/** Settles the proposal appended at an applied entry; a noop, the first entry of a term, also triggers retries. */
	settleApplied(entry: LogEntry, answer: Uint8Array): void {
		this._pendingProposals.settleApplied(entry.index, entry.term, answer);
		if (entry.kind === 'noop') {
			this._pendingProposals.retrySuperseded(entry.index, entry.term);
		}
	}

	/** Settles proposals whose entries up to an index were replaced by a snapshot. */
	settleCoveredBySnapshot(upToIndex: number): void {
		this._pendingProposals.settleCoveredBySnapshot(upToIndex);
	}

	/** Settles proposals forwarded to a disconnected keeper and drops the results queued for it. */
	handleDisconnect(processId: string): void {
		this._pendingProposals.settleLostConnection(processId);
		this._queuedResults.delete(processId);
	}

	/** Settles expired proposals and schedules another attempt for those still queued. */
	tick(): void {
		const nowMs = this._clock.nowMs();
		this._pendingProposals.expire(nowMs, () => explainMissingLeader(this._host.state, nowMs));
		if (this._pendingProposals.hasQueued) {
			this.scheduleFlush();
		}
	}

	/** Settles all proposals with a reason and sends the results that other keepers wait for. */
	stop(reason: string): void {
		this._pendingProposals.stop(reason);
		this._sendResults();
	}

	/** Schedules one flush per turn of the event loop, so that proposals of the same turn share a step of the core. */
	scheduleFlush(): void {
		if (this._isDisposed) {
			return;
		}
		this._flushTimer ??= setImmediate(() => {
			this._flushTimer = undefined;
			this._flush();
			this._sendResults();
		});
	}

	private _flush(): void {
		if (!this._pendingProposals.hasQueued) {
			return;
		}
		const { state } = this._host;
		if (state.role === 'leader') {
			this._appendLocally(this._pendingProposals.takeQueued());
			return;
		}
		const { leaderId } = state;
		if (leaderId !== undefined) {
			this._forwardToLeader(this._pendingProposals.takeQueued(), leaderId);
		}
	}

	private _appendLocally(items: readonly PendingProposal[]): void {
		const commands = items.flatMap(({ proposal }) => (proposal.kind === 'command' ? [proposal.command] : []));
		if (commands.length > 0) {
			const commandItems = items.filter(({ proposal }) => proposal.kind === 'command');
			this._proposeToCore(commandItems, { kind: 'propose', commands });
		}
		for (const item of items) {
			if (item.proposal.kind === 'change') {
				this._proposeToCore([item], { kind: 'changeMember', change: item.proposal.change });
			}
		}
	}

	private _proposeToCore(items: readonly PendingProposal[], input: ReplicaInput): void {
		// The core applies none of these entries within this step, because their write completes in a later turn of the
		// event loop. So every proposal is recorded before its entry is applied.
		for (const output of this._host.step(input)) {
			if (output.kind === 'appended') {
				for (const [position, item] of items.entries()) {
					this._pendingProposals.recordAppended(item, output.firstIndex + position, output.term);
				}
			}
			if (output.kind === 'refused') {
				this._handleRefusal(items, output.reason);
			}
		}
	}

	private _handleRefusal(items: readonly PendingProposal[], reason: string): void {
		for (const item of items) {
			if (item.proposal.kind === 'change') {
				item.settle(Err(new ProposeError('refused', reason)));
				continue;
			}
			this._pendingProposals.retry(item);
		}
	}

	private _forwardToLeader(items: readonly PendingProposal[], leaderId: string): void {
		let requests: ForwardRequest[] = [];
		let bytes = 0;
		for (const item of items) {
			if (item.isForwarded) {
				this._pendingProposals.retry(item);
				continue;
			}
			const timeoutMs = Math.max(0, item.deadlineMs - this._clock.nowMs());
			requests.push({
				id: this._pendingProposals.recordForwarded(item, leaderId),
				timeoutMs,
				work: item.proposal,
			});
			bytes += item.proposal.kind === 'command' ? item.proposal.command.length : 0;
			if (bytes > forwardFlushBytes) {
				this._sendForwardMessage(leaderId, requests);
				requests = [];
				bytes = 0;
			}
		}
		this._sendForwardMessage(leaderId, requests);
	}

	private _sendForwardMessage(leaderId: string, requests: readonly ForwardRequest[]): void {
		if (requests.length === 0) {
			return;
		}
		const message: ForwardMessage = { kind: 'forward', requests };
		if (this._host.send(leaderId, message)) {
			return;
		}
		for (const { id } of requests) {
			const item = this._pendingProposals.takeForwarded(id);
			if (item !== undefined) {
				this._pendingProposals.retry(item);
			}
		}
	}

	private _queueResult(to: string, id: number, result: ProposalResult): void {
		const queued = this._queuedResults.get(to) ?? [];
		queued.push(
			result.isOk()
				? { id, answer: result.value }
				: { id, errorKind: result.error.errorKind, reason: result.error.message },
		);
		this._queuedResults.set(to, queued);
		this.scheduleFlush();
	}

	private _sendResults(): void {
		for (const [to, results] of this._queuedResults) {
			const message: ForwardAnswerMessage = { kind: 'forwardAnswer', results };
			this._host.send(to, message);
		}
		this._queuedResults.clear();
	}
}
