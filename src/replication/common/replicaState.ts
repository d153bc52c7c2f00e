/** State, inputs and outputs of one keeper's Raft core. */

import { EntryLog } from './entryLog.js';
import type { HardState, LogEntry, Snapshot } from './logEntry.js';
import type { GroupMessage, ProbeAnswer, ReplicaMessage } from './replicaMessages.js';
import type { MemberChange, ReplicaMember } from './replicatedLog.js';
import type { ReplicaWrite } from './replicaWrite.js';

/** Settings of the core, fixed while it runs. */
export interface ReplicaConfig {
	readonly processId: string;
	readonly address: string;
	readonly initialMembers: readonly { readonly processId: string; readonly address: string }[];
	/** Whether this keeper may form a new group or be an initial member of one that another keeper forms. */
	readonly mayFormGroup: boolean;
	/** Minimum election timeout; the actual timeout is drawn from one to two times this value. */
	readonly electionTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	/** Limit of the bytes of entries in one message; a single larger entry is still sent. */
	readonly maxAppendBytes: number;
	/** Limit of the bytes of a snapshot in one message. */
	readonly maxSnapshotChunkBytes: number;
	/** Number of entries kept before a snapshot, so that a follower slightly behind needs no snapshot. */
	readonly trailingEntries: number;
	readonly random: () => number;
	/** Creates the identity of a new group. */
	readonly createGroupId: () => string;
}

/**
 * Factor for the election timeout of a process that has not heard from a leader since its start. The shortened timeout
 * still spans several heartbeat intervals, so a live leader is heard in time.
 */
const initialElectionTimeoutFactor = 0.25;
/** Largest factor on the election timeout after elections that failed. */
const maxElectionTimeoutFactor = 4;

/** Limit of unanswered appends to one peer; more would only queue up at a peer that is slower than the leader. */
export const maxInflightAppends = 8;

/** Replication progress of another member, as the leader knows it. */
export interface PeerProgress {
	readonly diskId: string;
	/** Highest index up to which the log on the peer's disk is known to match the leader's. */
	matchIndex: number;
	nextIndex: number;
	/** Whether the leader is still searching for the last index at which both logs match. */
	isProbing: boolean;
	inflightAppends: number;
	/** Highest commit index that was sent to the peer. */
	sentCommitIndex: number;
	lastAnswerMs: number;
	/** Time of the last append, snapshot chunk or append answer; decides when to resend. */
	lastActivityMs: number;
	answeredRound: number;
	/** Send time of the peer's last heartbeat answer (the peer's clock) and its time of receipt (the leader's clock). */
	lastHeartbeatAnswer: { readonly sentMs: number; readonly receivedMs: number } | undefined;
	snapshotTransfer: { readonly snapshot: Snapshot; offsetBytes: number } | undefined;
}

/** A round of heartbeats that a quorum has not confirmed yet. */
export interface HeartbeatRound {
	readonly round: number;
	readonly startMs: number;
	readonly commitIndex: number;
}

/** The request of a keeper with an empty disk to join the group, of which it is no member. */
export interface JoinRequest {
	readonly address: string;
	readonly diskId: string;
	/** Time of receipt of the last request. */
	readonly receivedMs: number;
}

/** State of a leader. */
export interface Leadership {
	/** Index of the leader's first entry, a no-op. Once it is committed, so is all that earlier leaders acknowledged. */
	readonly termStartIndex: number;
	readonly peers: Map<string, PeerProgress>;
	unconfirmedRounds: HeartbeatRound[];
	lastRound: number;
	/** Start time of the last round that a quorum confirmed. */
	confirmedRoundStartMs: number;
	/** Commit index at the start of the last confirmed round; a learner that matches up to it has caught up. */
	confirmedRoundCommitIndex: number;
	nextHeartbeatMs: number;
	/** Ongoing transfer of the leadership to a voter; proposals are rejected meanwhile. */
	transfer: { readonly targetId: string; readonly untilMs: number } | undefined;
	readonly joinRequests: Map<string, JoinRequest>;
	/** Time of receipt of the last `leave` of each member, by processId. */
	readonly leaveRequests: Map<string, number>;
}

/** A message that is held back until a write is durable. */
export interface HeldMessage {
	readonly to: string;
	readonly message: GroupMessage;
}

/** A write that the disk has not confirmed yet. */
export interface PendingWrite {
	readonly sequence: number;
	readonly hasHardState: boolean;
	/** Last entry that is durable once this write is; lowered when entries are removed before that. */
	lastIndex: number;
	readonly heldMessages: HeldMessage[];
}

/** Freshness of a keeper's applied state, by its own clock. */
export interface FreshnessState {
	/** Time before which everything acknowledged is in the applied state. */
	freshAsOfMs: number;
	/** Freshness bounds that hold once the entry at their index is applied. */
	pendingBounds: { readonly index: number; readonly freshAsOfMs: number }[];
}

/** A snapshot of which some chunks have been received. */
export interface IncomingSnapshot {
	readonly index: number;
	readonly term: number;
	readonly bytes: Uint8Array;
	receivedBytes: number;
}

/** Probe answers of the other keepers, used while this keeper has no group or is no voter of it. */
export interface FormationState {
	readonly probeAnswers: Map<string, { readonly answer: ProbeAnswer; readonly receivedMs: number }>;
	nextProbeMs: number;
}

/** Planned stop of a keeper. `confirmed`: a leader has answered that this keeper is no member any more. */
export type Departure = 'none' | 'asked' | 'confirmed';

/** Raft role; a learner is a follower that never starts an election. */
export type ElectionRole = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Complete state of one keeper's Raft core. */
export interface ReplicaState {
	readonly config: ReplicaConfig;
	hardState: HardState;
	readonly log: EntryLog;
	role: ElectionRole;
	leaderId: string | undefined;
	/** Also the applied index, because committed entries are output for applying in the same step. */
	commitIndex: number;
	/** Last entry of this keeper's log that is durable on its disk. */
	durableIndex: number;
	lastWriteSequence: number;
	pendingWrites: PendingWrite[];
	electionDeadlineMs: number;
	/** Time of the last message from a current leader. */
	lastLeaderContactMs: number;
	/** Elections that this keeper has started since it last led or heard from a leader. */
	failedElections: number;
	/** Voters that granted this keeper's vote or pre-vote request, itself included. */
	grantingVoterIds: Set<string>;
	leadership: Leadership | undefined;
	readonly freshness: FreshnessState;
	incomingSnapshot: IncomingSnapshot | undefined;
	readonly formation: FormationState;
	departure: Departure;
	/** Time of the last message from each other keeper, by processId. */
	readonly lastHeardMs: Map<string, number>;
}

/** Inputs of the core. */
export type ReplicaInput =
	| { readonly kind: 'tick' }
	| { readonly kind: 'receive'; readonly from: string; readonly message: ReplicaMessage }
	/** A new connection to a keeper; messages sent over the previous one may be lost. */
	| { readonly kind: 'connected'; readonly to: string }
	| { readonly kind: 'propose'; readonly commands: readonly Uint8Array[] }
	| { readonly kind: 'changeMember'; readonly change: MemberChange }
	| { readonly kind: 'transfer' }
	/** This keeper is about to stop; repeated until its departure is confirmed. */
	| { readonly kind: 'leave' }
	/** All writes up to the sequence are durable. */
	| { readonly kind: 'written'; readonly sequence: number }
	/** A snapshot of the applied state has been stored durably. */
	| { readonly kind: 'snapshotStored'; readonly snapshot: Snapshot };

/** Outputs of the core, to be performed in the order given. */
export type ReplicaOutput =
	| { readonly kind: 'send'; readonly to: string; readonly message: ReplicaMessage }
	| { readonly kind: 'write'; readonly write: ReplicaWrite }
	| { readonly kind: 'apply'; readonly entries: readonly LogEntry[] }
	| { readonly kind: 'restore'; readonly snapshot: Snapshot }
	/** The proposed commands, or the membership change, were appended from this index on. */
	| { readonly kind: 'appended'; readonly firstIndex: number; readonly term: number }
	| { readonly kind: 'refused'; readonly reason: string };

/** Settings, durable state and start time from which a core's state is created. */
export interface ReplicaStart {
	readonly config: ReplicaConfig;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	readonly entries: readonly LogEntry[];
	readonly nowMs: number;
}

/**
 * Creates the state of a keeper from the durable state on its disk.
 *
 * @example
 * const state = createReplicaState({ config, hardState, snapshot, entries, nowMs });
 * const outputs = step(state, { kind: 'tick' }, nowMs);
 */
export function createReplicaState(start: ReplicaStart): ReplicaState {
	const log = new EntryLog(start.snapshot, start.entries);
	const isOnlyMember = log.members.length === 1;
	const initialTimeoutMs = isOnlyMember ? 0 : drawElectionTimeoutMs(start.config, false, 0);
	return {
		config: start.config,
		hardState: start.hardState,
		log,
		role: 'follower',
		leaderId: undefined,
		commitIndex: log.baseIndex,
		durableIndex: log.lastIndex,
		lastWriteSequence: 0,
		pendingWrites: [],
		electionDeadlineMs: start.nowMs + initialTimeoutMs,
		lastLeaderContactMs: -Infinity,
		failedElections: 0,
		grantingVoterIds: new Set(),
		leadership: undefined,
		freshness: { freshAsOfMs: -Infinity, pendingBounds: [] },
		incomingSnapshot: undefined,
		departure: 'none',
		formation: { probeAnswers: new Map(), nextProbeMs: start.nowMs },
		lastHeardMs: new Map(),
	};
}

/** Returns the members in force other than this keeper. */
export function otherMembers(state: ReplicaState): readonly ReplicaMember[] {
	return state.log.members.filter((member) => member.processId !== state.config.processId);
}

/**
 * Draws a random election timeout, so that voters seldom start elections at the same time. The timeout is shorter in a
 * process that has not heard from a leader since its start: after a power loss of the whole group there is no leader,
 * and if there is one, the other voters refuse the pre-vote. It doubles with each election that fails: a vote is synced by the
 * candidate and then by the voters, and with slow disks an election that is given up too soon can't ever succeed.
 */
export function drawElectionTimeoutMs(
	config: ReplicaConfig,
	hasHeardLeader: boolean,
	failedElections: number,
): number {
	const initialFactor = hasHeardLeader ? 1 : initialElectionTimeoutFactor;
	const factor = Math.min(maxElectionTimeoutFactor, initialFactor * 2 ** Math.max(0, failedElections - 1));
	return config.electionTimeoutMs * factor * (1 + config.random());
}
