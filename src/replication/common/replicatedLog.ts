/** The replicated log as its users see it. One keeper uses the same interface and format as five. */

import type { Result } from 'ts-results-es';
import type { IDisposable } from '../../base/common/disposable.js';
import type { Event } from '../../base/common/event.js';

/** State that is the same on every keeper because it applies the same commands in the same order. */
export abstract class ReplicatedStateMachine {
	/** Applies a committed command and returns its result. It must depend on nothing but the state and its arguments. */
	abstract apply(index: number, command: Uint8Array): Uint8Array;
	/** Encodes the whole state. */
	abstract encodeSnapshot(): Uint8Array;
	/** Replaces the whole state. */
	abstract restoreSnapshot(snapshot: Uint8Array): void;
}

/** Part that a keeper plays in the group. A learner receives entries but counts for no quorum. */
export type ReplicaRole = 'leader' | 'follower' | 'candidate' | 'learner' | 'stopped';

/** A member of the group. */
export interface ReplicaMember {
	readonly processId: string;
	readonly address: string;
	/** A learner counts for no quorum until it has caught up and is made a voter. */
	readonly isVoter: boolean;
	/** Identity of the member's disk; a keeper with a lost disk comes back with a new one. */
	readonly diskId: string;
	/** Whether the leader makes this learner a voter by itself, because the member was one before it lost its disk. */
	readonly isRejoining?: boolean | undefined;
}

/** What a keeper knows about its group. */
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
	/** Nothing was appended anywhere: no leader is known or the group has no quorum. */
	| 'noLeader'
	/** The command may or may not be committed; ask again with the same request id. */
	| 'unknown'
	/** A change of the members that the group can't take now; the message says why. Nothing was appended. */
	| 'refused';

/** A command without a known result. */
export class ProposeError extends Error {
	constructor(
		readonly errorKind: ProposeErrorKind,
		message: string,
	) {
		super(message);
		this.name = 'ProposeError';
	}
}

/** A log replicated over the group of keepers. */
export interface IReplicatedLog extends IDisposable {
	readonly status: ReplicaStatus;
	/** Fires when role, term, leader or members have changed. */
	readonly onDidChangeStatus: Event<ReplicaStatus>;
	/** Fires after committed commands have been applied on this keeper, or a snapshot restored. */
	readonly onDidApply: Event<number>;
	/**
	 * Commits a command and returns what the state machine answered. Works on every keeper: a follower forwards to
	 * the leader. The command is synced on a quorum before the result is known.
	 */
	propose(command: Uint8Array, timeoutMs: number): Promise<Result<Uint8Array, ProposeError>>;
	/**
	 * Greatest possible age of the state applied on this keeper: the time since a round that a quorum confirmed to
	 * the leader, plus the time that each hop took, all by monotonic clocks. Infinite without such a round.
	 */
	ageMs(): number;
	/** Adds a learner, makes a caught-up learner a voter, or removes a member; one member a step. */
	changeMember(change: MemberChange, timeoutMs: number): Promise<Result<undefined, ProposeError>>;
	/** Hands leadership to another voter before a planned stop; does nothing on a follower. */
	transferLeadership(timeoutMs: number): Promise<void>;
}

/**
 * A single-step change of the group. `addLearner` with an empty `diskId` takes the disk that the keeper reported when
 * it asked to join.
 */
export type MemberChange =
	| { readonly action: 'addLearner'; readonly member: ReplicaMember }
	| { readonly action: 'promote'; readonly processId: string }
	| { readonly action: 'remove'; readonly processId: string };
