/** The in-memory log: the newest snapshot, and the entries after an index that is at most the snapshot's. */

import { getEntrySizeBytes, type LogEntry, type Snapshot } from './logEntry.js';
import type { ReplicaMember } from './replicatedLog.js';

interface MembersChange {
	readonly index: number;
	readonly members: readonly ReplicaMember[];
}

/** Holds log entries by index; the snapshot covers those before the first kept entry. */
export class EntryLog {
	private _entries: LogEntry[] = [];
	/** Index and term of the entry before the first kept one. */
	private _baseIndex = 0;
	private _baseTerm = 0;
	private _snapshot: Snapshot | undefined;
	/** Membership changes in the kept entries, preceded by the members at the base index. */
	private _membersHistory: MembersChange[] = [];

	constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
		if (snapshot !== undefined) {
			this.resetToSnapshot(snapshot);
		}
		this.append(entries.filter((entry) => entry.index > this._baseIndex));
	}

	/** The newest snapshot. */
	get snapshot(): Snapshot | undefined {
		return this._snapshot;
	}

	/** Index before the first kept entry. */
	get baseIndex(): number {
		return this._baseIndex;
	}

	get lastIndex(): number {
		return this._baseIndex + this._entries.length;
	}

	get lastTerm(): number {
		return this._entries.at(-1)?.term ?? this._baseTerm;
	}

	/** The members in force: those of the last membership change, committed or not. */
	get members(): readonly ReplicaMember[] {
		return this._membersHistory.at(-1)?.members ?? [];
	}

	/** Index of the last membership change. */
	get lastMembersIndex(): number {
		return this._membersHistory.at(-1)?.index ?? 0;
	}

	/** Returns the term of an entry; `undefined` when it is not kept or does not exist. */
	termAt(index: number): number | undefined {
		return index === this._baseIndex ? this._baseTerm : this._entryAt(index)?.term;
	}

	/** Returns the members as of an index. */
	membersAt(index: number): readonly ReplicaMember[] {
		return this._membersHistory.findLast((change) => change.index <= index)?.members ?? [];
	}

	/**
	 * Appends entries.
	 *
	 * @throws {RangeError} when an index does not directly follow the last one
	 */
	append(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			if (entry.index !== this.lastIndex + 1) {
				throw new RangeError(`Entry ${entry.index} can't be appended after entry ${this.lastIndex}.`);
			}
			this._entries.push(entry);
			if (entry.kind === 'members') {
				this._membersHistory.push({ index: entry.index, members: entry.members });
			}
		}
	}

	/** Removes the entries after an index. */
	truncateAfter(index: number): void {
		this._entries.length = Math.max(0, index - this._baseIndex);
		this._membersHistory = this._membersHistory.filter((change) => change.index <= index);
	}

	/**
	 * Returns the entries from one index to another, both inclusive, limited to `maxBytes` but at least one entry.
	 *
	 * @example
	 * log.slice(peer.nextIndex, log.lastIndex, 512 * 1024);
	 */
	slice(fromIndex: number, toIndex: number, maxBytes = Infinity): LogEntry[] {
		const start = fromIndex - this._baseIndex - 1;
		const limit = Math.min(toIndex - this._baseIndex, this._entries.length);
		let end = start;
		let bytes = 0;
		while (end < limit) {
			const entry = this._entries[end];
			bytes += entry === undefined ? 0 : getEntrySizeBytes(entry);
			if (end > start && bytes > maxBytes) {
				break;
			}
			end += 1;
		}
		return this._entries.slice(start, end);
	}

	/** Adopts a newer snapshot of this log, and removes the entries up to an index that the snapshot covers. */
	compact(snapshot: Snapshot, keepAfterIndex: number): void {
		const baseTerm = this.termAt(keepAfterIndex);
		this._snapshot = snapshot;
		if (baseTerm === undefined || keepAfterIndex > snapshot.index) {
			return;
		}
		const members = this.membersAt(keepAfterIndex);
		this._entries = this._entries.slice(keepAfterIndex - this._baseIndex);
		this._membersHistory = [
			{ index: keepAfterIndex, members },
			...this._membersHistory.filter((change) => change.index > keepAfterIndex),
		];
		this._baseIndex = keepAfterIndex;
		this._baseTerm = baseTerm;
	}

	/** Replaces the snapshot and all entries by a snapshot. */
	resetToSnapshot(snapshot: Snapshot): void {
		this._snapshot = snapshot;
		this._entries = [];
		this._baseIndex = snapshot.index;
		this._baseTerm = snapshot.term;
		this._membersHistory = [{ index: snapshot.index, members: snapshot.members }];
	}

	private _entryAt(index: number): LogEntry | undefined {
		return this._entries[index - this._baseIndex - 1];
	}
}
