/** Options of a keeper's replicated log. */

import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { SyncFile } from '../../services/storage/node/diskAccess.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import type { ReplicatedStateMachine } from '../common/replicatedLog.js';
import type { FaultPointHandler } from './faultPoints.js';

/** A keeper as the settings list it. */
export interface InitialMember {
	readonly processId: string;
	/** Address that its peers connect to. */
	readonly address: string;
}

/** What a replicated log needs. */
export interface ReplicatedLogOptions {
	/** Folder of all files; locked against a second process. */
	readonly dataFolder: string;
	/** This keeper's name; one of the members, or a keeper that an operator adds later. */
	readonly processId: string;
	/** Address of this keeper's peer listener. */
	readonly address: string;
	/** The group at its first start, this keeper included. */
	readonly initialMembers: readonly InitialMember[];
	/**
	 * Whether this keeper may take part in forming a new group; true by default. Set it to false where a group is known
	 * to exist, so that keepers which lost their disks together never begin another.
	 */
	readonly mayForm?: boolean | undefined;
	/**
	 * Whether the data folder is locked against a second process; true by default. The lock needs abstract Unix sockets.
	 */
	readonly locksFolder?: boolean | undefined;
	/** Entries kept behind a snapshot. */
	readonly trailingEntries?: number | undefined;
	readonly stateMachine: ReplicatedStateMachine;
	/** For the connections to the other keepers. */
	readonly connection: ConnectionOptions;
	/** Least silence of a leader before a follower stands. */
	readonly electionTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	readonly clock: IClock;
	readonly log: ILogService;
	/** Returns a number from 0 up to 1; spreads the election timeouts. */
	readonly random: () => number;
	/** Size of the log at which a snapshot is taken. */
	readonly snapshotAfterBytes?: number | undefined;
	/** Ends the process at a named place, in tests. */
	readonly faultPoints?: FaultPointHandler | undefined;
	/** Replaces the sync of files, in tests and measurements. */
	readonly syncFile?: SyncFile | undefined;
}
