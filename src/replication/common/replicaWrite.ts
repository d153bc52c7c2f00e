/** What the core of a keeper asks its disk to keep. */

import type { HardState, LogEntry, Snapshot } from './logEntry.js';

/** Changes that belong to one step, in the order of the fields. */
export interface ReplicaWrite {
	/** Grows with each write; the disk confirms writes in this order. */
	readonly sequence: number;
	readonly hardState?: HardState | undefined;
	/** Removes the entries behind this index. */
	readonly truncateAfter?: number | undefined;
	/** Snapshot from the leader. */
	readonly snapshot?: Snapshot | undefined;
	/** Whether the log holds nothing that follows the snapshot. */
	readonly restartsLog?: boolean | undefined;
	readonly entries: readonly LogEntry[];
	/** Entries before this index are covered by a stored snapshot and may go. */
	readonly dropBefore?: number | undefined;
}
