/** Commands of the keepers' replicated log, their results, and the CBOR codec for both. */

import { Encoder } from 'cbor-x';
import type { DrainSettings } from '../../declarations/common/drainRule.js';
import type { ClaimOutcome, ClaimRequest, EntryMember } from '../../protocol/common/keeperMessages.js';
import type { ChangeRequest, ChangeResult } from '../../protocol/common/operatorApi.js';

/** Sets the history id of a new group. The first such command to be applied wins; later ones change nothing. */
export interface BeginHistoryCommand {
	readonly kind: 'beginHistory';
	readonly historyId: string;
}

/** Applies an operator's change to the tables. */
export interface ChangeTablesCommand {
	readonly kind: 'changeTables';
	readonly request: ChangeRequest;
	/** Wall-clock time of the keeper that received the request. Only shown to people; no decision depends on it. */
	readonly acceptedAt: string;
	/** Shortest drain among the processes that the receiving keeper knew; absent if it knew none. */
	readonly shortestDrain?: DrainSettings | undefined;
}

/**
 * Records a batch of claims and releases that one keeper collected. Claims are applied before releases, because a
 * release refers to an earlier claim.
 */
export interface RecordClaimsCommand {
	readonly kind: 'recordClaims';
	readonly claims: readonly ClaimRequest[];
	readonly releases: readonly ClaimRequest[];
}

/** Replaces the directory of entries if its epoch is still the expected one. */
export interface SetDirectoryCommand {
	readonly kind: 'setDirectory';
	readonly expectedEpoch: number;
	readonly entries: readonly EntryMember[];
}

/**
 * Advances the log time by what the leader's monotonic clock measured, and deletes claims older than their retention.
 * The log time does not depend on wall clocks and never runs ahead of real time. It may lag, and then claims are kept
 * longer.
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

/** Result type of each kind of command. */
export interface KeeperCommandResults {
	readonly beginHistory: { readonly historyId: string };
	readonly changeTables: ChangeResult;
	readonly recordClaims: { readonly outcomes: readonly ClaimOutcome[] };
	readonly setDirectory: { readonly epoch: number };
	readonly advanceTime: { readonly logTimeMs: number };
}

// Without cbor-x records, each encoded value is self-contained and equal values have equal bytes.
const codec = new Encoder({ useRecords: false });

/** Encodes a command, a result or a snapshot as CBOR. */
export function encodeValue(value: object): Uint8Array {
	return codec.encode(value);
}

/** Decodes bytes from {@link encodeValue}. Callers cast the result unchecked, since only keepers write to the log. */
export function decodeValue(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}
