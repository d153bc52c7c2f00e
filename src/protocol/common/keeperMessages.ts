/** Messages between keepers and the processes that subscribe to them. */

import type { TableDelta, Tables } from '../../declarations/common/tables.js';
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
	/** What the agent's upstream announced; absent for entries. */
	readonly offer?: UpstreamOffer | undefined;
}

/** Opens a subscription. The keeper answers with a snapshot, or with deltas when `revision` is recent. */
export interface SubscribeMessage {
	readonly kind: 'subscribe';
	readonly revision: number;
	readonly epoch: number;
	readonly status: MemberStatus;
}

/** Renews the subscriber's lease; sent at an interval and when the status has changed. */
export interface MemberStatusMessage {
	readonly kind: 'memberStatus';
	readonly status: MemberStatus;
}

/** A claim of a submission that may run at most once. */
export interface ClaimRequest {
	readonly submissionId: string;
	/** Entry that will run the submission. */
	readonly ownerId: string;
	readonly ownerIncarnation: string;
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
	readonly answers: readonly { readonly submissionId: string; readonly outcome: ClaimOutcome }[];
}

/** The whole state of a subscription. */
export interface ControlSnapshotMessage {
	readonly kind: 'controlSnapshot';
	readonly tables: Tables;
	readonly directory: EntryDirectory;
	/** Greatest possible age of the state when the message was sent. */
	readonly ageMs: number;
}

/** Changes to a subscription's state, in order and without gaps. */
export interface ControlDeltaMessage {
	readonly kind: 'controlDelta';
	readonly deltas: readonly TableDelta[];
	/** Present when the directory has changed. */
	readonly directory?: EntryDirectory | undefined;
	readonly ageMs: number;
}

/** Says how fresh the state is; sent at an interval when there are no changes. */
export interface ControlFreshnessMessage {
	readonly kind: 'controlFreshness';
	readonly revision: number;
	readonly epoch: number;
	readonly ageMs: number;
}

/** Messages that a keeper sends to a subscriber. */
export type KeeperToMemberMessage =
	ControlSnapshotMessage | ControlDeltaMessage | ControlFreshnessMessage | ClaimAnswersMessage;

/** Messages that a subscriber sends to a keeper. */
export type MemberToKeeperMessage =
	SubscribeMessage | MemberStatusMessage | ClaimMessage | ReleaseClaimsMessage;
