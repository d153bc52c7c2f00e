/** Messages between keepers. */

import type { LogEntry } from './logEntry.js';
import type { ReplicaMember } from './replicatedLog.js';

/** What every message of a formed group carries. A message to or from another group or disk counts for nothing. */
export interface Envelope {
	readonly groupId: string;
	readonly term: number;
	readonly fromDiskId: string;
	readonly toDiskId: string;
}

/** Asks whether a vote would be given, without changing any term. */
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

/** Asks for a vote in the message's term. */
export interface VoteMessage extends Envelope {
	readonly kind: 'vote';
	readonly lastIndex: number;
	readonly lastTerm: number;
	/** Whether the leader itself asked the candidate to stand. */
	readonly isTransfer: boolean;
}

/** Answers a `vote`; sent once the vote is on the disk. */
export interface VoteAnswer extends Envelope {
	readonly kind: 'voteAnswer';
	readonly isGranted: boolean;
}

/** Entries from the leader. */
export interface AppendMessage extends Envelope {
	readonly kind: 'append';
	readonly prevIndex: number;
	readonly prevTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
}

/** Answers an `append`; sent once the entries are on the disk. */
export interface AppendAnswer extends Envelope {
	readonly kind: 'appendAnswer';
	readonly isMatch: boolean;
	/** `prevIndex` of the message that is answered. */
	readonly prevIndex: number;
	/** On a match, the last index that agrees with the leader's log; else where to try next. */
	readonly index: number;
}

/** Sign of life of the leader; also tells commits and freshness. */
export interface HeartbeatMessage extends Envelope {
	readonly kind: 'heartbeat';
	/** Committed and known to be in the follower's log. */
	readonly commitIndex: number;
	/** Round that the answer confirms; 0 when no answer is wanted. */
	readonly round: number;
	/** Index whose state the age belongs to. */
	readonly freshIndex: number;
	/** Age of the leader's state when this was sent. Absent while the leader can't tell. */
	readonly ageMs?: number | undefined;
	/** The follower's own time stamp from its last answer. */
	readonly echoMs?: number | undefined;
	/** Time for which the leader held that answer before it sent this. */
	readonly heldMs: number;
}

/** Answers a `heartbeat`. */
export interface HeartbeatAnswer extends Envelope {
	readonly kind: 'heartbeatAnswer';
	readonly round: number;
	/** The follower's clock; only the follower itself reads it again. */
	readonly sentMs: number;
}

/** Part of a snapshot, for a follower whose next entry the leader no longer keeps. */
export interface SnapshotChunkMessage extends Envelope {
	readonly kind: 'snapshotChunk';
	readonly snapshotIndex: number;
	readonly snapshotTerm: number;
	readonly members: readonly ReplicaMember[];
	readonly offsetBytes: number;
	readonly totalBytes: number;
	readonly bytes: Uint8Array;
}

/** Answers a `snapshotChunk` with the number of bytes that have arrived. */
export interface SnapshotChunkAnswer extends Envelope {
	readonly kind: 'snapshotChunkAnswer';
	readonly snapshotIndex: number;
	readonly receivedBytes: number;
}

/** Asks a voter to stand at once, because the leader wants to stop. */
export interface StandNowMessage extends Envelope {
	readonly kind: 'standNow';
}

/** Messages of a formed group. */
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

/** Asks a listed keeper whether it knows of a group. */
export interface ProbeMessage {
	readonly kind: 'probe';
}

/** Answers a `probe`. */
export interface ProbeAnswer {
	readonly kind: 'probeAnswer';
	readonly diskId: string;
	/** The initial members in this keeper's settings, in one form. */
	readonly listKey: string;
	readonly groupId?: string | undefined;
	readonly leaderId?: string | undefined;
}

/** Asks the leader to take in a keeper with an empty disk. */
export interface JoinMessage {
	readonly kind: 'join';
	readonly groupId: string;
	readonly processId: string;
	readonly address: string;
	readonly diskId: string;
}

/** Messages by which a group is formed and found. */
export type FormationMessage = ProbeMessage | ProbeAnswer | JoinMessage;

/** Messages that the core handles. */
export type ReplicaMessage = GroupMessage | FormationMessage;

type OmitEnvelope<T> = T extends Envelope ? Omit<T, keyof Envelope> : never;

/** A group message before its envelope is added. */
export type GroupMessageBody = OmitEnvelope<GroupMessage>;
