/** Options of a keeper's replicated log. */

import type { IClock } from '../../base/common/clock.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { SyncFile } from '../../services/storage/node/diskAccess.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import type { ReplicatedStateMachine } from '../common/replicatedLog.js';
import type { FaultPointHandler } from './faultPoints.js';

/** A keeper as listed in the settings. */
export interface InitialMember {
	readonly processId: string;
	/** Address to which its peers connect. */
	readonly address: string;
}

/** Options and services of a replicated log. */
export interface ReplicatedLogOptions {
	/** Folder that holds all files of the keeper. */
	readonly dataFolder: string;
	/** Name of this keeper, which is one of the initial members or is added by an operator later. */
	readonly processId: string;
	/** Address on which this keeper listens for its peers. */
	readonly address: string;
	/** Members of the group at its first start, including this keeper if it is one of them. */
	readonly initialMembers: readonly InitialMember[];
	/**
	 * Whether this keeper may take part in forming a new group; true by default. Set it to false where a group is known
	 * to exist, so that keepers that lost their disks at the same time never form a second group.
	 */
	readonly mayForm?: boolean | undefined;
	/**
	 * Whether the data folder is locked against a second process; true by default. The lock needs abstract Unix sockets.
	 */
	readonly locksFolder?: boolean | undefined;
	/** Number of entries kept in the log before a snapshot. */
	readonly trailingEntries?: number | undefined;
	readonly stateMachine: ReplicatedStateMachine;
	/** Options of the connections to the other keepers. */
	readonly connection: ConnectionOptions;
	/** Shortest time without contact from a leader after which a follower starts an election. */
	readonly electionTimeoutMs: number;
	readonly heartbeatIntervalMs: number;
	readonly clock: IClock;
	readonly log: ILogService;
	/** Returns a random number in [0, 1), which spreads the election timeouts of the keepers. */
	readonly random: () => number;
	/** Size of the entries applied since the last snapshot, in bytes, at which the next one is taken. */
	readonly snapshotAfterBytes?: number | undefined;
	/** Called at each fault point; tests use it to kill the process. */
	readonly onFaultPoint?: FaultPointHandler | undefined;
	/** Replaces the sync of files in tests and measurements. */
	readonly syncFile?: SyncFile | undefined;
}
