/** Proposals without a result: queued, appended to this keeper's log, or forwarded to the leader. */

import { Err, Ok, type Result } from 'ts-results-es';
import type { Proposal } from '../common/forwardMessages.js';
import { ProposeError } from '../common/replicatedLog.js';

/** Result of a proposal: the state machine's answer or an error. */
export type ProposalResult = Result<Uint8Array, ProposeError>;

/** A proposal and the callback that receives its result. */
export interface PendingProposal {
	readonly proposal: Proposal;
	/** Time by the keeper's clock at which the proposal expires. */
	readonly deadlineMs: number;
	/** Whether another keeper forwarded the proposal to this one; such a proposal isn't forwarded again. */
	readonly isForwarded: boolean;
	readonly settle: (result: ProposalResult) => void;
}

interface AppendedProposal {
	readonly item: PendingProposal;
	readonly term: number;
}

interface ForwardedProposal {
	readonly item: PendingProposal;
	readonly leaderId: string;
}

/** Limit on the bytes of queued proposals, so that a group without a quorum can't exhaust a keeper's memory. */
const maxQueuedBytes = 64 * 1024 * 1024;

/** Bytes that a queued proposal counts in addition to its command. */
const proposalOverheadBytes = 200;

/** Tracks all proposals of one keeper that have no result yet. */
export class PendingProposals {
	private _queued: PendingProposal[] = [];
	private readonly _appended = new Map<number, AppendedProposal>();
	private readonly _forwarded = new Map<number, ForwardedProposal>();
	private _queuedBytes = 0;
	private _lastForwardId = 0;
	private _stopReason: string | undefined;

	/** Whether any proposal waits to be appended or forwarded. */
	get hasQueued(): boolean {
		return this._queued.length > 0;
	}

	/** Queues a proposal, or rejects it when the queue is full or the log has stopped. */
	add(item: PendingProposal): void {
		if (this._stopReason !== undefined) {
			item.settle(createNoLeaderResult(this._stopReason));
			return;
		}
		if (this._queuedBytes > maxQueuedBytes) {
			item.settle(createNoLeaderResult('Too many commands wait for the group; try again later.'));
			return;
		}
		this._queuedBytes += getQueuedSizeBytes(item);
		this._queued.push(item);
	}

	/** Removes and returns all queued proposals. */
	takeQueued(): PendingProposal[] {
		const items = this._queued;
		this._queued = [];
		this._queuedBytes = 0;
		return items;
	}

	/** Records that a proposal was appended to the log of this keeper, the leader. */
	recordAppended(item: PendingProposal, index: number, term: number): void {
		this._appended.set(index, { item, term });
	}

	/**
	 * Settles the proposal appended at an index once the entry committed there has been applied. If that entry has
	 * another term, it has overwritten the proposal's entry: the proposal can no longer be committed and is retried.
	 */
	settleApplied(index: number, term: number, answer: Uint8Array): void {
		const appended = this._appended.get(index);
		if (appended === undefined) {
			return;
		}
		this._appended.delete(index);
		if (appended.term === term) {
			appended.item.settle(Ok(answer));
			return;
		}
		this.retry(appended.item);
	}

	/**
	 * Retries the proposals that a later leader has superseded. Once the first entry of its term is committed at
	 * `index`, entries of earlier terms after that index can never be committed. They may also never be overwritten, so
	 * {@link settleApplied} alone would leave them pending.
	 */
	retrySuperseded(index: number, term: number): void {
		for (const [appendedIndex, appended] of this._appended) {
			if (appendedIndex > index && appended.term < term) {
				this._appended.delete(appendedIndex);
				this.retry(appended.item);
			}
		}
	}

	/** Settles proposals up to an index as unknown, because a snapshot replaced their entries and holds no results. */
	settleCoveredBySnapshot(upToIndex: number): void {
		for (const [index, { item }] of this._appended) {
			if (index <= upToIndex) {
				this._appended.delete(index);
				item.settle(
					createUnknownResult(
						'A snapshot replaced the entry, so its result is not known; ask again with the same request id.',
					),
				);
			}
		}
	}

	/** Records that a proposal was forwarded to the leader and returns the id of the forward request. */
	recordForwarded(item: PendingProposal, leaderId: string): number {
		this._lastForwardId += 1;
		this._forwarded.set(this._lastForwardId, { item, leaderId });
		return this._lastForwardId;
	}

	/** Removes and returns a forwarded proposal; `undefined` if it is already settled. */
	takeForwarded(id: number): PendingProposal | undefined {
		const forwarded = this._forwarded.get(id);
		this._forwarded.delete(id);
		return forwarded?.item;
	}

	/** Settles proposals forwarded to a leader as unknown, because its answers may be lost with the connection. */
	settleLostConnection(leaderId: string): void {
		for (const [id, forwarded] of this._forwarded) {
			if (forwarded.leaderId === leaderId) {
				this._forwarded.delete(id);
				forwarded.item.settle(
					createUnknownResult('The connection to the leader was lost before its answer arrived.'),
				);
			}
		}
	}

	/**
	 * Queues a proposal again whose earlier attempt can't be committed. A proposal from another keeper is rejected with
	 * `noLeader` instead, so that its sender retries it.
	 */
	retry(item: PendingProposal): void {
		if (item.isForwarded) {
			item.settle(createNoLeaderResult('The leader changed before the command was appended.'));
			return;
		}
		this.add(item);
	}

	/**
	 * Settles proposals whose deadline has passed: as `noLeader` while they were only queued, as `unknown` once they
	 * were appended or forwarded.
	 */
	expire(nowMs: number, describeMissingLeader: () => string): void {
		const expired = this._queued.filter((item) => item.deadlineMs <= nowMs);
		if (expired.length > 0) {
			this._queued = this._queued.filter((item) => item.deadlineMs > nowMs);
			this._queuedBytes = this._queued.reduce((sum, item) => sum + getQueuedSizeBytes(item), 0);
			const reason = describeMissingLeader();
			for (const item of expired) {
				item.settle(createNoLeaderResult(reason));
			}
		}
		for (const table of [this._appended, this._forwarded]) {
			for (const [key, { item }] of table) {
				if (item.deadlineMs <= nowMs) {
					table.delete(key);
					item.settle(
						createUnknownResult('No quorum confirmed the command in time; it may still be committed.'),
					);
				}
			}
		}
	}

	/** Settles all proposals because the log stops, and rejects later ones with the same reason. */
	stop(reason: string): void {
		this._stopReason = reason;
		for (const item of this.takeQueued()) {
			item.settle(createNoLeaderResult(reason));
		}
		for (const table of [this._appended, this._forwarded]) {
			for (const { item } of table.values()) {
				item.settle(createUnknownResult(reason));
			}
			table.clear();
		}
	}
}

/** Creates the result of a proposal that was not appended to any log. */
export function createNoLeaderResult(reason: string): ProposalResult {
	return Err(new ProposeError('noLeader', reason));
}

function createUnknownResult(reason: string): ProposalResult {
	return Err(new ProposeError('unknown', reason));
}

function getQueuedSizeBytes(item: PendingProposal): number {
	return proposalOverheadBytes + (item.proposal.kind === 'command' ? item.proposal.command.length : 0);
}
