/** Rendezvous (highest random weight) hashing: processes that know the same members choose the same one for a key. */

import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Returns an unsigned 32-bit hash of a text; it is the same in every process.
 *
 * @example
 * hash32('ledger');
 */
export function hash32(text: string): number {
	return hasher.h32(text);
}

/**
 * Returns a 64-bit hash of a text as 16 hexadecimal digits; it is the same in every process.
 *
 * @example
 * hash64Hex('ledger/key-1'); // '0c1d…'
 */
export function hash64Hex(text: string): string {
	return hasher.h64ToString(text);
}

/**
 * Returns the members by descending weight for a key; the first is the chosen one. When a member leaves, only the keys
 * for which it was chosen move to another member.
 *
 * @example
 * const [home, nextHome] = rendezvousOrder('ledger', ['entry-1', 'entry-2']);
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
	const weighted = members.map((member) => ({ member, weight: hash32(`${key}\n${member}`) }));
	weighted.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1));
	return weighted.map((weightedMember) => weightedMember.member);
}
