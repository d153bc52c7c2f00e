/** Messages between keepers and the processes that subscribe to them. */

import type { TableDelta, Tables } from '../../declarations/common/tables.js';
import type { ProcessRole } from '../../services/transport/common/transport.js';
import type { UpstreamOffer } from './agentMessages.js';

/** An entry of the directory, to which jobs may be relayed and agents connect. */
export interface EntryMember {
	readonly processId: string;
	readonly incarnation: string;
	/** Address to which other processes connect. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** Whether the entry is draining, so that it can't be the home of a pool. */
	readonly isDraining: boolean;
}

/** The live entries, as committed in the replicated log. The epoch increases with each change. */
export interface EntryDirectory {
	readonly epoch: number;
	readonly entries: readonly EntryMember[];
}

/** Status of a process, which it sends when it subscribes and when the status changes. */
export interface MemberStatus {
	/** Address to which other processes connect; absent for agents. */
	readonly peerAddress?: string | undefined;
	/** Address of an entry's HTTP server; absent for agents. */
	readonly httpAddress?: string | undefined;
	readonly dataCentre: string;
	readonly rack: string;
	readonly isDraining: boolean;
	/** Revision of the tables that are in force at the process. */
	readonly revisionInForce: number;
	/** Maximum duration of a drain; absent for keepers, whose drain waits for no job. */
	readonly drainTimeoutMs?: number | undefined;
	/** Capacity that the agent's upstream announced; absent for entries. */
	readonly offer?: UpstreamOffer | undefined;
}

/** The rows that a subscriber receives. The revision counts all changes, including those to other rows. */
export interface TableScope {
	/** Pool whose row and routes are included; absent while the agent's upstream is not known. */
	readonly pool?: string | undefined;
	/** Process whose drain row is included. */
	readonly processId: string;
}

/** Opens a subscription. The keeper answers with a snapshot, or with deltas if `revision` is recent. */
export interface SubscribeMessage {
	readonly kind: 'subscribe';
	readonly revision: number;
	readonly epoch: number;
	/** History to which the revision belongs; absent before the first snapshot. */
	readonly historyId?: string | undefined;
	/** Rows that the subscriber wants; absent for all. */
	readonly scope?: TableScope | undefined;
	readonly status: MemberStatus;
	/** Number that the keeper returns in its messages; see {@link FreshnessProof}. */
	readonly probe: number;
}

/** Renews the subscriber's lease with a changed status. */
export interface MemberStatusMessage {
	readonly kind: 'memberStatus';
	readonly status: MemberStatus;
	readonly probe: number;
}

/** Renews the subscriber's lease, at an interval and when a revision is in force; answered by `controlFreshness`. */
export interface RenewLeaseMessage {
	readonly kind: 'renewLease';
	readonly probe: number;
	readonly revisionInForce: number;
	/** Upper bound of the age of the sender's tables; absent if it has none or their age can't be bounded. */
	readonly ageMs?: number | undefined;
}

/** Ends the subscriber's lease: the process stops and won't return under this incarnation. */
export interface LeaveMessage {
	readonly kind: 'leave';
}

/**
 * Limits the age of the state that a message carries or confirms. The state contains everything that was committed
 * `ageMs` before the message was sent, and the message was sent after `probe` had arrived. The receiver therefore needs
 * only its own clock: the state is at most as old as `ageMs` plus the time since the receiver sent that probe, however
 * long the network delayed the message.
 */
export interface FreshnessProof {
	readonly ageMs: number;
	readonly probe: number;
}

/** Requests the right to run a submission that may run at most once. */
export interface ClaimRequest {
	readonly submissionId: string;
	/** Entry that will run the submission. */
	readonly ownerId: string;
	readonly ownerIncarnation: string;
	/**
	 * Number of the claim within its owner's incarnation; added by the control plane's client. A release withdraws only
	 * claims up to its number, so that a late release can't withdraw a newer claim of the same submission.
	 */
	readonly claimNumber?: number | undefined;
}

/** Asks the keepers to record claims durably; answered by `claimAnswers`. */
export interface ClaimMessage {
	readonly kind: 'claim';
	readonly claims: readonly ClaimRequest[];
}

/** Withdraws claims of submissions of which no task has started, so that they may be submitted again. */
export interface ReleaseClaimsMessage {
	readonly kind: 'releaseClaims';
	readonly claims: readonly ClaimRequest[];
}

/**
 * Outcome of a claim. `granted`: it is on the disks of a quorum, and the requester owns it. `taken`: another run owns
 * it, so the submission may have run. `unknown`: the keepers can't tell, so nothing may be started.
 */
export type ClaimOutcome = 'granted' | 'taken' | 'unknown';

/** Answers {@link ClaimMessage} and {@link ReleaseClaimsMessage}. */
export interface ClaimAnswersMessage {
	readonly kind: 'claimAnswers';
	readonly answers: readonly ClaimAnswer[];
	/** Releases that are recorded, so that they need not be sent again. */
	readonly released: readonly ReleaseAnswer[];
}

/** Outcome of one claim. */
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
	/** Rows that the tables contain; absent for all. */
	readonly scope?: TableScope | undefined;
	readonly tables: Tables;
	readonly directory: EntryDirectory;
}

/** Changes of a subscription's state, in order and without gaps. */
export interface ControlDeltaMessage extends FreshnessProof {
	readonly kind: 'controlDelta';
	readonly historyId: string;
	readonly deltas: readonly TableDelta[];
	/** Present if the directory has changed. */
	readonly directory?: EntryDirectory | undefined;
}

/** Answers each renewal of a lease with the freshness of the keeper's state. */
export interface ControlFreshnessMessage extends FreshnessProof {
	readonly kind: 'controlFreshness';
	readonly historyId: string;
	readonly revision: number;
	readonly epoch: number;
}

/** Asks the subscriber to move to another keeper or entry, because the sender is stopping or is full. */
export interface KeeperLeavingMessage {
	readonly kind: 'keeperLeaving';
}

/** Report about one process: a subscriber of the sender, or the sender. Times are by the sender's monotonic clock. */
export interface MemberReport {
	readonly processId: string;
	readonly role: ProcessRole;
	readonly incarnation: string;
	/** Time since the process subscribed, or since the keeper started. */
	readonly subscribedAgoMs: number;
	/** Time since the process was last heard from. */
	readonly heardAgoMs: number;
	/** Whether the process has announced that it stops. */
	readonly hasLeft: boolean;
	/** Entry that the process subscribes to; absent when it subscribes to the reporting process itself. */
	readonly relayId?: string | undefined;
	readonly status: MemberStatus;
}

/**
 * Reports the sender's subscribers to a keeper, at an interval and after changes. Keepers report to each other, and an
 * entry reports the agents that it relays to. Only changes are listed, so that the size of a report doesn't grow with
 * the number of unchanged subscribers.
 */
export interface MemberReportsMessage {
	readonly kind: 'memberReports';
	/** Processes that are new on this connection or whose status has changed. */
	readonly members: readonly MemberReport[];
	/** Every process that was reported on this connection before and isn't listed here was heard from within this time. */
	readonly heardWithinMs: number;
	/** The same for processes with a `relayId`, from which the sender hears only through another entry. */
	readonly relayedWithinMs: number;
	/** Processes that were not heard from within that time. */
	readonly silent: readonly SilentMember[];
}

/** A process that has not renewed its lease recently. */
export interface SilentMember {
	readonly processId: string;
	readonly heardAgoMs: number;
}

/** Messages that a keeper sends to a subscriber. */
export type KeeperToSubscriberMessage =
	| ControlSnapshotMessage
	| ControlDeltaMessage
	| ControlFreshnessMessage
	| ClaimAnswersMessage
	| KeeperLeavingMessage;

/** Messages that a subscriber sends to a keeper. */
export type SubscriberToKeeperMessage =
	| SubscribeMessage
	| MemberStatusMessage
	| RenewLeaseMessage
	| LeaveMessage
	| ClaimMessage
	| ReleaseClaimsMessage
	| MemberReportsMessage;
