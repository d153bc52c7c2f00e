/** Commands of the keepers' replicated log, their results, and the codec of both. */

import { Encoder } from 'cbor-x';
import type { DrainSettings } from '../../declarations/common/drainRule.js';
import type { ClaimOutcome, ClaimRequest, EntryMember } from '../../protocol/common/keeperMessages.js';
import type { ChangeRequest, ChangeResult } from '../../protocol/common/operatorApi.js';

/** Gives a new group's history its identity; the first one to be applied wins. */
export interface BeginHistoryCommand {
	readonly kind: 'beginHistory';
	readonly historyId: string;
}

/** An operator's change of the tables. */
export interface ChangeTablesCommand {
	readonly kind: 'changeTables';
	readonly request: ChangeRequest;
	/** Wall-clock time of the keeper that took the request; kept for people only. */
	readonly acceptedAt: string;
	/** The shortest drain among the processes that the keeper knew then; absent when it knew none. */
	readonly shortestDrain?: DrainSettings | undefined;
}

/** Claims and releases that one keeper gathered. Claims come first: a release answers an earlier claim. */
export interface RecordClaimsCommand {
	readonly kind: 'recordClaims';
	readonly claims: readonly ClaimRequest[];
	readonly releases: readonly ClaimRequest[];
}

/** Replaces the directory of entries, provided that its epoch is still the expected one. */
export interface SetDirectoryCommand {
	readonly kind: 'setDirectory';
	readonly expectedEpoch: number;
	readonly entries: readonly EntryMember[];
}

/**
 * Moves the log's time on by what the leader's monotonic clock measured, and forgets what its retention has passed.
 * The log's time never runs ahead of real time, whatever the wall clocks say: at most, claims are kept longer.
 */
export interface AdvanceTimeCommand {
	readonly kind: 'advanceTime';
	readonly fromMs: number;
	readonly toMs: number;
	readonly claimRetentionMs: number;
}

/** A command of the keepers' log. */
export type KeeperCommand =
	BeginHistoryCommand | ChangeTablesCommand | RecordClaimsCommand | SetDirectoryCommand | AdvanceTimeCommand;

/** Result of each command, by its kind. */
export interface KeeperCommandResults {
	readonly beginHistory: { readonly historyId: string };
	readonly changeTables: ChangeResult;
	readonly recordClaims: { readonly outcomes: readonly ClaimOutcome[] };
	readonly setDirectory: { readonly epoch: number };
	readonly advanceTime: { readonly logTimeMs: number };
}

// Records are off, so that each encoded value stands alone and equal values have equal bytes.
const codec = new Encoder({ useRecords: false });

/** Encodes a command, a result or a snapshot. */
export function encodeValue(value: object): Uint8Array {
	return codec.encode(value);
}

/** Decodes what {@link encodeValue} gave. The caller knows the type, since only keepers write to the log. */
export function decodeValue(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}
