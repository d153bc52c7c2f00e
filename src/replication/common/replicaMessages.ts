/** Messages between keepers. */

import type { LogEntry } from './logEntry.js';
import type { ReplicaMember } from './replicatedLog.js';

/** Fields that every message within a formed group carries. Messages to or from another group or disk are ignored. */
export interface Envelope {
	readonly groupId: string;
	readonly term: number;
	readonly fromDiskId: string;
	readonly toDiskId: string;
}

/** Asks whether a vote would be granted, without changing any term. */
export interface PreVoteMessage extends Envelope {
	readonly kind: 'preVote';
	readonly nextTerm: number;
	readonly lastIndex: number;
	readonly lastTerm: number;
}

/** Answers a `preVote`. */
export interface PreVoteAnswer extends Envelope {
	readonly kind: 'preVoteAnswer';
	readonly nextTerm: number;
	readonly isGranted: boolean;
}

/** Requests a vote in the message's term. */
export interface VoteMessage extends Envelope {
	readonly kind: 'vote';
	readonly lastIndex: number;
	readonly lastTerm: number;
	/** Whether the leader asked the candidate to start the election. */
	readonly isTransfer: boolean;
}

/** Answers a `vote`; sent once the vote is durable. */
export interface VoteAnswer extends Envelope {
	readonly kind: 'voteAnswer';
	readonly isGranted: boolean;
}

/** Sends entries from the leader. */
export interface AppendMessage extends Envelope {
	readonly kind: 'append';
	readonly prevIndex: number;
	readonly prevTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
}

/** Answers an `append`; sent once the entries are durable. */
export interface AppendAnswer extends Envelope {
	readonly kind: 'appendAnswer';
	readonly isMatch: boolean;
	/** `prevIndex` of the answered message. */
	readonly prevIndex: number;
	/** On a match, the last index that matches the leader's log; otherwise the index to try next as `prevIndex`. */
	readonly index: number;
}

/** Asserts the leadership, and carries the commit index and the freshness of the leader's state. */
export interface HeartbeatMessage extends Envelope {
	readonly kind: 'heartbeat';
	/** Highest committed index that is known to be in the follower's log. */
	readonly commitIndex: number;
	/** Heartbeat round that the answer confirms; 0 requests no answer. */
	readonly round: number;
	/** Index of the state to which `ageMs` applies. */
	readonly freshIndex: number;
	/** Upper bound of the age of the leader's state at sending; absent while the leader has none. */
	readonly ageMs?: number | undefined;
	/** `sentMs` of the follower's last heartbeat answer. */
	readonly echoMs?: number | undefined;
	/** Time from the receipt of that answer until this heartbeat was sent. */
	readonly heldMs: number;
}

/** Answers a `heartbeat`. */
export interface HeartbeatAnswer extends Envelope {
	readonly kind: 'heartbeatAnswer';
	readonly round: number;
	/** Send time by the follower's clock; the leader only echoes it. */
	readonly sentMs: number;
}

/** Sends a chunk of a snapshot to a follower whose next entry the leader no longer holds. */
export interface SnapshotChunkMessage extends Envelope {
	readonly kind: 'snapshotChunk';
	readonly snapshotIndex: number;
	readonly snapshotTerm: number;
	readonly members: readonly ReplicaMember[];
	readonly offsetBytes: number;
	readonly totalBytes: number;
	readonly bytes: Uint8Array;
}

/** Answers a `snapshotChunk` with the total number of bytes received so far. */
export interface SnapshotChunkAnswer extends Envelope {
	readonly kind: 'snapshotChunkAnswer';
	readonly snapshotIndex: number;
	readonly receivedBytes: number;
}

/** Asks a voter to start an election at once, to hand over the leadership (TimeoutNow in Raft). */
export interface StandNowMessage extends Envelope {
	readonly kind: 'standNow';
}

/** Messages within a formed group. */
export type GroupMessage =
	| PreVoteMessage
	| PreVoteAnswer
	| VoteMessage
	| VoteAnswer
	| AppendMessage
	| AppendAnswer
	| HeartbeatMessage
	| HeartbeatAnswer
	| SnapshotChunkMessage
	| SnapshotChunkAnswer
	| StandNowMessage;

/** Asks a keeper whether it has a group. */
export interface ProbeMessage {
	readonly kind: 'probe';
}

/** Answers a `probe`. */
export interface ProbeAnswer {
	readonly kind: 'probeAnswer';
	readonly diskId: string;
	/** Canonical form of the initial members in this keeper's settings; empty when it must not form a group. */
	readonly listKey: string;
	readonly groupId?: string | undefined;
	readonly leaderId?: string | undefined;
}

/** Asks the leader to admit a keeper with an empty disk. */
export interface JoinMessage {
	readonly kind: 'join';
	readonly groupId: string;
	readonly processId: string;
	readonly address: string;
	readonly diskId: string;
	/** Whether a member has passed the request on to the leader that it knows. */
	readonly isRelayed?: boolean | undefined;
}

/** Tells the leader that a member is about to stop for good, or for a restart, so that another one can take its vote. */
export interface LeaveMessage {
	readonly kind: 'leave';
	readonly groupId: string;
	readonly processId: string;
	readonly diskId: string;
}

/** Answers a `leave`. */
export interface LeaveAnswer {
	readonly kind: 'leaveAnswer';
	/** Disk of the member that has asked. */
	readonly diskId: string;
	/** Whether the disk is a member still, or its removal is not committed yet. */
	readonly isMember: boolean;
}

/** Messages for forming a group, finding an existing one or leaving it. */
export type FormationMessage = ProbeMessage | ProbeAnswer | JoinMessage | LeaveMessage | LeaveAnswer;

/** Messages that the core handles. */
export type ReplicaMessage = GroupMessage | FormationMessage;

type OmitEnvelope<T> = T extends Envelope ? Omit<T, keyof Envelope> : never;

/** A group message without its envelope. */
export type GroupMessageBody = OmitEnvelope<GroupMessage>;
