/** The interface of the replicated log. A group of one keeper uses the same interface and format as a group of five. */

import type { Result } from 'ts-results-es';
import type { IDisposable } from '../../base/common/disposable.js';
import type { Event } from '../../base/common/event.js';

/** State that is equal on all keepers, because each applies the same commands in the same order. */
export abstract class ReplicatedStateMachine {
	/** Applies a committed command and returns its result; must be deterministic in the state and the arguments. */
	abstract apply(index: number, command: Uint8Array): Uint8Array;
	/** Encodes the whole state. */
	abstract encodeSnapshot(): Uint8Array;
	/** Replaces the whole state. */
	abstract restoreSnapshot(snapshot: Uint8Array): void;
}

/** Role of a keeper in the group. A learner receives entries but does not count toward a quorum. */
export type ReplicaRole = 'leader' | 'follower' | 'candidate' | 'learner' | 'stopped';

/** A member of the group. */
export interface ReplicaMember {
	readonly processId: string;
	readonly address: string;
	/** Whether the member counts toward a quorum; a learner does not until it has caught up and is promoted. */
	readonly isVoter: boolean;
	/** Identity of the member's disk; a keeper that lost its disk returns with a new identity. */
	readonly diskId: string;
	/** Whether the leader promotes this learner automatically, because its keeper was a member before it lost its disk. */
	readonly isRejoining?: boolean | undefined;
}

/** Status of the group as one keeper knows it. */
export interface ReplicaStatus {
	readonly role: ReplicaRole;
	readonly term: number;
	readonly leaderId?: string | undefined;
	readonly commitIndex: number;
	readonly appliedIndex: number;
	readonly members: readonly ReplicaMember[];
}

/** Why a command was not, or may not have been, committed. */
export type ProposeErrorKind =
	/** Nothing was appended: no leader is known or the group has no quorum. */
	| 'noLeader'
	/** The command may or may not be committed; retry with the same request id. */
	| 'unknown'
	/** The group can't make the membership change now, for the reason in the message. Nothing was appended. */
	| 'refused';

/** Error of a proposal that was not, or may not have been, committed. */
export class ProposeError extends Error {
	constructor(
		readonly errorKind: ProposeErrorKind,
		message: string,
	) {
		super(message);
		this.name = 'ProposeError';
	}
}

/** A log that is replicated over a group of keepers. */
export interface IReplicatedLog extends IDisposable {
	readonly status: ReplicaStatus;
	/** Fires when the role, term, leader or members have changed. */
	readonly onDidChangeStatus: Event<ReplicaStatus>;
	/** Fires after committed commands have been applied on this keeper or a snapshot has been restored. */
	readonly onDidApply: Event<number>;
	/**
	 * Commits a command and returns the result of the state machine. Works on every keeper: a follower forwards the
	 * command to the leader. The command is durable on a quorum before the result is returned.
	 */
	propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, ProposeError>>;
	/**
	 * Returns the upper bound of the age of the state applied on this keeper: the time since the leader started the
	 * last heartbeat round that a quorum confirmed, plus the bound of the heartbeat's transit time, by monotonic clocks.
	 * `Infinity` without such a round.
	 */
	getMaxStateAgeMs(): number;
	/** Adds a learner, promotes a caught-up learner to voter, or removes a member; one member at a time. */
	changeMember(change: MemberChange, timeoutMs: number): Promise<Result<undefined, ProposeError>>;
	/** Transfers the leadership to another voter before a planned stop; does nothing on a follower. */
	transferLeadership(timeoutMs: number): Promise<void>;
}

/**
 * A membership change of one member. `addLearner` with an empty `diskId` uses the disk that the keeper reported in its
 * join request.
 */
export type MemberChange =
	| { readonly action: 'addLearner'; readonly member: ReplicaMember }
	| { readonly action: 'promote'; readonly processId: string }
	| { readonly action: 'remove'; readonly processId: string };
