/** Entries of the replicated log, and the other state that a keeper stores durably. */

import type { ReplicaMember } from './replicatedLog.js';

interface EntryPosition {
	/** Position in the log; the first entry has 1. */
	readonly index: number;
	/** Term of the leader that created the entry. */
	readonly term: number;
}

/** A command for the state machine. */
export interface CommandEntry extends EntryPosition {
	readonly kind: 'command';
	readonly command: Uint8Array;
}

/** The first entry of each leader; committing it also commits all entries of earlier terms before it. */
export interface NoopEntry extends EntryPosition {
	readonly kind: 'noop';
}

/** The members of the group, in force from this entry on even before it is committed. */
export interface MembersEntry extends EntryPosition {
	readonly kind: 'members';
	readonly members: readonly ReplicaMember[];
}

/** An entry of the replicated log. */
export type LogEntry = CommandEntry | NoopEntry | MembersEntry;

/** State that must be durable before a message that depends on it is sent. */
export interface HardState {
	/** Identity of this disk, created when the data folder was empty. */
	readonly diskId: string;
	/** Identity of the group; absent until the keeper has formed or joined one. */
	readonly groupId?: string | undefined;
	/** Highest term that the keeper has seen. */
	readonly term: number;
	/** Candidate that received this keeper's vote in that term. */
	readonly votedFor?: string | undefined;
}

/** State of the state machine after the entry at `index`. */
export interface Snapshot {
	readonly index: number;
	readonly term: number;
	/** Members of the group as of that entry. */
	readonly members: readonly ReplicaMember[];
	readonly data: Uint8Array;
}

/** Returns the approximate size of an entry in bytes, for size limits. */
export function getEntrySizeBytes(entry: LogEntry): number {
	return entry.kind === 'command' ? entry.command.length + 32 : 256;
}
