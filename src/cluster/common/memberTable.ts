/**
 * Membership table that expires members by the time of the last contact.
 *
 * Processes forward their views to each other. A view carries the age of each last contact, so two processes can't keep
 * a stopped third one in their tables by exchanging views.
 */

import type { ClusterView, EntryAddress } from './clusterMessages.js';

/** Time without contact after which a member is removed; a shorter silence may only be a network partition. */
export const memberExpiryMs = 60_000;

interface Member {
	/** Time of the last contact by any process, on the clock of the table's owner. */
	lastContactMs: number;
}

interface EntryMember extends Member {
	readonly entry: EntryAddress;
}

/** Keepers and entries that are known to a process. */
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
	 * Merges the view of another process. Returns whether a member was added.
	 *
	 * @example
	 * table.merge({ keepers: [{ address: '10.0.0.1:7000', silentMs: 0 }], entries: [] }, clock.nowMs()); // true
	 */
	merge(view: ClusterView, nowMs: number): boolean {
		let hasNewMember = false;
		for (const { address, silentMs } of view.keepers) {
			hasNewMember =
				mergeMember(this._keepers, address, { lastContactMs: nowMs - silentMs }, nowMs) || hasNewMember;
		}
		for (const { processId, address, silentMs } of view.entries) {
			const member = { lastContactMs: nowMs - silentMs, entry: { processId, address } };
			hasNewMember = mergeMember(this._entries, address, member, nowMs) || hasNewMember;
		}
		return hasNewMember;
	}

	/** Records contact of this process with a member; ignores addresses that are not in the table. */
	recordContact(address: string, nowMs: number): void {
		for (const member of [this._keepers.get(address), this._entries.get(address)]) {
			if (member !== undefined) {
				member.lastContactMs = nowMs;
			}
		}
	}

	/** Removes members without contact for longer than {@link memberExpiryMs}. Returns whether any was removed. */
	removeExpired(nowMs: number): boolean {
		return [this._keepers, this._entries]
			.map((members) => removeExpiredMembers(members, nowMs))
			.includes(true);
	}

	/** Creates the view that is sent to other processes. */
	createView(nowMs: number): ClusterView {
		return {
			keepers: [...this._keepers].map(([address, { lastContactMs }]) => ({
				address,
				silentMs: nowMs - lastContactMs,
			})),
			entries: [...this._entries.values()].map(({ entry, lastContactMs }) => ({
				...entry,
				silentMs: nowMs - lastContactMs,
			})),
		};
	}
}

function mergeMember<T extends Member>(
	members: Map<string, T>,
	address: string,
	member: T,
	nowMs: number,
): boolean {
	const known = members.get(address);
	if (known === undefined && nowMs - member.lastContactMs > memberExpiryMs) {
		return false;
	}
	if (known === undefined || known.lastContactMs < member.lastContactMs) {
		members.set(address, member);
	}
	return known === undefined;
}

function removeExpiredMembers(members: Map<string, Member>, nowMs: number): boolean {
	const sizeBefore = members.size;
	for (const [address, { lastContactMs }] of members) {
		if (nowMs - lastContactMs > memberExpiryMs) {
			members.delete(address);
		}
	}
	return members.size !== sizeBefore;
}
