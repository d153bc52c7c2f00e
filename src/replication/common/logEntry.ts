/** Entries of the replicated log, and what a keeper must keep on its disk besides them. */

import type { ReplicaMember } from './replicatedLog.js';

interface EntryPosition {
	/** Position in the log, from 1. */
	readonly index: number;
	/** Term of the leader that created the entry. */
	readonly term: number;
}

/** A command of the state machine. */
export interface CommandEntry extends EntryPosition {
	readonly kind: 'command';
	readonly command: Uint8Array;
}

/** The first entry of each leader. Its commit commits all entries of earlier terms. */
export interface NoopEntry extends EntryPosition {
	readonly kind: 'noop';
}

/** The members of the group from this entry on, committed or not. */
export interface MembersEntry extends EntryPosition {
	readonly kind: 'members';
	readonly members: readonly ReplicaMember[];
}

/** An entry of the replicated log. */
export type LogEntry = CommandEntry | NoopEntry | MembersEntry;

/** State that must be on the disk before a promise is made with it. */
export interface HardState {
	/** Identity of this disk, made when the data folder was empty. */
	readonly diskId: string;
	/** Identity of the group; absent until the keeper has formed or joined one. */
	readonly groupId?: string | undefined;
	/** Highest term that the keeper has seen. */
	readonly term: number;
	/** Candidate that got the keeper's vote in that term. */
	readonly votedFor?: string | undefined;
}

/** State of the state machine after an entry. */
export interface Snapshot {
	readonly index: number;
	readonly term: number;
	/** Members of the group as of the entry. */
	readonly members: readonly ReplicaMember[];
	readonly data: Uint8Array;
}

/** Bytes that an entry counts for in limits. */
export function entryBytes(entry: LogEntry): number {
	return entry.kind === 'command' ? entry.command.length + 32 : 256;
}
