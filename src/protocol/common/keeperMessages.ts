/** Messages between keepers and the processes that subscribe to them. */

import type { TableDelta, Tables } from '../../declarations/common/tables.js';
import type { ProcessRole } from '../../services/transport/common/transport.js';
import type { UpstreamOffer } from './agentMessages.js';

/** An entry that jobs may be relayed to and that agents connect to. */
export interface EntryMember {
	readonly processId: string;
	readonly incarnation: string;
	/** Where other processes connect to it. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** A draining entry is no pool's home. */
	readonly isDraining: boolean;
}

/** The live entries, agreed through the log; the epoch grows with each change. */
export interface EntryDirectory {
	readonly epoch: number;
	readonly entries: readonly EntryMember[];
}

/** What a process tells about itself when it subscribes and with each status. */
export interface MemberStatus {
	/** Where other processes connect to an entry; absent for agents. */
	readonly peerAddress?: string | undefined;
	/** Where an entry takes HTTP requests; absent for agents. */
	readonly httpAddress?: string | undefined;
	readonly dataCentre: string;
	readonly rack: string;
	readonly isDraining: boolean;
	/** Revision of the tables that the process has in force. */
	readonly revisionInForce: number;
	/** Time that a drain of the process may take; absent for keepers, whose drain waits for no job. */
	readonly drainTimeoutMs?: number | undefined;
	/** What the agent's upstream announced; absent for entries. */
	readonly offer?: UpstreamOffer | undefined;
}

/** The rows that a subscriber gets. The revision counts all changes, also those that concern none of its rows. */
export interface TableScope {
	/** Pool whose row and routes matter; absent while the agent's upstream is not known. */
	readonly pool?: string | undefined;
	/** Process whose drain matters. */
	readonly processId: string;
}

/** Opens a subscription. The keeper answers with a snapshot, or with deltas when `revision` is recent. */
export interface SubscribeMessage {
	readonly kind: 'subscribe';
	readonly revision: number;
	readonly epoch: number;
	/** History that the revision belongs to; absent before the first snapshot. */
	readonly historyId?: string | undefined;
	/** Rows that the subscriber wants; absent for all. */
	readonly scope?: TableScope | undefined;
	readonly status: MemberStatus;
	/** Number that the keeper repeats in its messages; see {@link FreshnessProof}. */
	readonly probe: number;
}

/** Renews the subscriber's lease with a changed status. */
export interface MemberStatusMessage {
	readonly kind: 'memberStatus';
	readonly status: MemberStatus;
	readonly probe: number;
}

/** Renews the subscriber's lease at an interval and when a revision is in force; answered by `controlFreshness`. */
export interface RenewLeaseMessage {
	readonly kind: 'renewLease';
	readonly probe: number;
	readonly revisionInForce: number;
	/** Greatest possible age of the sender's tables; absent when it has none, and when it can't be bounded. */
	readonly ageMs?: number | undefined;
}

/** Ends the subscriber's lease: the process stops and won't come back under this incarnation. */
export interface LeaveMessage {
	readonly kind: 'leave';
}

/**
 * Part of every message that carries state. The state held everything that was committed `ageMs` before the message
 * was sent, and it was sent after `probe` had arrived. So the receiver knows by its own clock alone how old the state
 * can be at most: `ageMs` plus the time since it sent that probe, however long the network held the message.
 */
export interface FreshnessProof {
	readonly ageMs: number;
	readonly probe: number;
}

/** A claim of a submission that may run at most once. */
export interface ClaimRequest {
	readonly submissionId: string;
	/** Entry that will run the submission. */
	readonly ownerId: string;
	readonly ownerIncarnation: string;
	/**
	 * Counts the claims of one incarnation; added by the control plane's client. A release takes back only claims up
	 * to its number, so that a late one can't take back a newer claim of the same submission.
	 */
	readonly claimNumber?: number | undefined;
}

/** Asks the keepers to record claims durably; answered by `claimAnswers`. */
export interface ClaimMessage {
	readonly kind: 'claim';
	readonly claims: readonly ClaimRequest[];
}

/** Takes back claims of submissions of which no task has started, so that they may come again. */
export interface ReleaseClaimsMessage {
	readonly kind: 'releaseClaims';
	readonly claims: readonly ClaimRequest[];
}

/**
 * What became of a claim. `granted`: recorded on a quorum's disks, and the asker owns it. `taken`: another run owns
 * it, so the submission may have run. `unknown`: the keepers can't tell; nothing may be started.
 */
export type ClaimOutcome = 'granted' | 'taken' | 'unknown';

/** Answers claims. */
export interface ClaimAnswersMessage {
	readonly kind: 'claimAnswers';
	readonly answers: readonly ClaimAnswer[];
	/** Releases that are recorded: those of `releaseClaims` that need not be sent again. */
	readonly released: readonly ReleaseAnswer[];
}

/** What became of one claim. */
export interface ClaimAnswer {
	readonly submissionId: string;
	readonly claimNumber?: number | undefined;
	readonly outcome: ClaimOutcome;
}

/** A release that is recorded. */
export interface ReleaseAnswer {
	readonly submissionId: string;
	readonly claimNumber?: number | undefined;
}

/** The whole state of a subscription. */
export interface ControlSnapshotMessage extends FreshnessProof {
	readonly kind: 'controlSnapshot';
	readonly historyId: string;
	/** Rows that the tables hold; absent for all. */
	readonly scope?: TableScope | undefined;
	readonly tables: Tables;
	readonly directory: EntryDirectory;
}

/** Changes to a subscription's state, in order and without gaps. */
export interface ControlDeltaMessage extends FreshnessProof {
	readonly kind: 'controlDelta';
	readonly historyId: string;
	readonly deltas: readonly TableDelta[];
	/** Present when the directory has changed. */
	readonly directory?: EntryDirectory | undefined;
}

/** Says how fresh the keeper's state is; the answer to each renewal of a lease. */
export interface ControlFreshnessMessage extends FreshnessProof {
	readonly kind: 'controlFreshness';
	readonly historyId: string;
	readonly revision: number;
	readonly epoch: number;
}

/** Asks the subscriber to move to another keeper or entry, because this one stops or has no room. */
export interface KeeperLeavingMessage {
	readonly kind: 'keeperLeaving';
}

/** What a keeper knows about one process: a subscriber, or itself. Times are by the sender's monotonic clock. */
export interface MemberReport {
	readonly processId: string;
	readonly role: ProcessRole;
	readonly incarnation: string;
	/** Time since the process subscribed, or since the keeper started. */
	readonly subscribedAgoMs: number;
	/** Time since the process was last heard. */
	readonly heardAgoMs: number;
	/** The process said that it stops. */
	readonly hasLeft: boolean;
	/** Entry that the process subscribes to; absent when it subscribes to the reporting process itself. */
	readonly relayId?: string | undefined;
	readonly status: MemberStatus;
}

/**
 * Tells a keeper about the sender's subscribers, at an interval and after changes. Keepers tell each other; an entry
 * tells its keeper of the agents that it relays to. It names only what has changed, so that its size doesn't grow with
 * the number of quiet subscribers.
 */
export interface MemberReportsMessage {
	readonly kind: 'memberReports';
	/** Processes that are new on this connection, or whose status has changed. */
	readonly members: readonly MemberReport[];
	/** Every process reported before on this connection and not named here was heard within this time. */
	readonly heardWithinMs: number;
	/** The same for processes with a `relayId`, of whom the sender hears at second hand. */
	readonly relayedWithinMs: number;
	/** Processes that were not heard within that time. */
	readonly silent: readonly SilentMember[];
}

/** A process that has not renewed its lease lately. */
export interface SilentMember {
	readonly processId: string;
	readonly heardAgoMs: number;
}

/** Messages that a keeper sends to a subscriber. */
export type KeeperToMemberMessage =
	| ControlSnapshotMessage
	| ControlDeltaMessage
	| ControlFreshnessMessage
	| ClaimAnswersMessage
	| KeeperLeavingMessage;

/** Messages that a subscriber sends to a keeper. */
export type MemberToKeeperMessage =
	| SubscribeMessage
	| MemberStatusMessage
	| RenewLeaseMessage
	| LeaveMessage
	| ClaimMessage
	| ReleaseClaimsMessage
	| MemberReportsMessage;
