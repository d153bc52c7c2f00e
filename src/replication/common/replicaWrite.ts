/** Write requests of a keeper's core to its disk. */

import type { HardState, LogEntry, Snapshot } from './logEntry.js';

/** Durable changes of one step, applied in the order of the fields. */
export interface ReplicaWrite {
	/** Increases with each write; the disk confirms writes in this order. */
	readonly sequence: number;
	readonly hardState?: HardState | undefined;
	/** Index after which entries are removed. */
	readonly truncateAfter?: number | undefined;
	/** Snapshot received from the leader. */
	readonly snapshot?: Snapshot | undefined;
	/** Whether the log is emptied and continues after the snapshot. */
	readonly restartsLog?: boolean | undefined;
	readonly entries: readonly LogEntry[];
	/** Index before which entries may be deleted, because a stored snapshot covers them. */
	readonly dropBefore?: number | undefined;
}
