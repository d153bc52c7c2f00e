/**
 * Who else there is, by when anybody was last in touch with them.
 *
 * Processes pass on what they hear. Ages travel along, so that two of them can't keep a third known for ever by
 * telling each other of it.
 */

import type { ClusterView, EntryAddress } from './clusterMessages.js';

/** Time after which a process that nobody was in touch with is given up; until then it may only be cut off. */
export const forgetAfterMs = 60_000;

interface Member {
	/** By the clock of the table's owner. */
	seenMs: number;
}

interface EntryMember extends Member {
	readonly entry: EntryAddress;
}

/** Keepers and entries that a process knows of. */
export class MemberTable {
	private readonly _keepers = new Map<string, Member>();
	private readonly _entries = new Map<string, EntryMember>();

	/** Addresses of the keepers. */
	get keepers(): readonly string[] {
		return [...this._keepers.keys()];
	}

	get entries(): readonly EntryAddress[] {
		return [...this._entries.values()].map(({ entry }) => entry);
	}

	/**
	 * Takes what another process knows. Returns whether somebody is new.
	 *
	 * @example
	 * table.take({ keepers: [{ address: '10.0.0.1:7000', silentMs: 0 }], entries: [] }, clock.nowMs()); // true
	 */
	take(view: ClusterView, nowMs: number): boolean {
		let isNew = false;
		for (const { address, silentMs } of view.keepers) {
			isNew = note(this._keepers, address, { seenMs: nowMs - silentMs }, nowMs) || isNew;
		}
		for (const { processId, address, silentMs } of view.entries) {
			const member = { seenMs: nowMs - silentMs, entry: { processId, address } };
			isNew = note(this._entries, address, member, nowMs) || isNew;
		}
		return isNew;
	}

	/** Notes that this process itself is in touch with a member, if it is one. */
	touch(address: string, nowMs: number): void {
		for (const member of [this._keepers.get(address), this._entries.get(address)]) {
			if (member !== undefined) {
				member.seenMs = nowMs;
			}
		}
	}

	/** Gives up whom nobody was in touch with for long. Returns whether there was one. */
	forget(nowMs: number): boolean {
		return [this._keepers, this._entries].map((members) => forgetOf(members, nowMs)).includes(true);
	}

	/** What this process tells others. */
	view(nowMs: number): ClusterView {
		return {
			keepers: [...this._keepers].map(([address, { seenMs }]) => ({ address, silentMs: nowMs - seenMs })),
			entries: [...this._entries.values()].map(({ entry, seenMs }) => ({
				...entry,
				silentMs: nowMs - seenMs,
			})),
		};
	}
}

function note<T extends Member>(members: Map<string, T>, address: string, member: T, nowMs: number): boolean {
	const known = members.get(address);
	if (known === undefined && nowMs - member.seenMs > forgetAfterMs) {
		return false;
	}
	if (known === undefined || known.seenMs < member.seenMs) {
		members.set(address, member);
	}
	return known === undefined;
}

function forgetOf(members: Map<string, Member>, nowMs: number): boolean {
	const sizeBefore = members.size;
	for (const [address, { seenMs }] of members) {
		if (nowMs - seenMs > forgetAfterMs) {
			members.delete(address);
		}
	}
	return members.size !== sizeBefore;
}
