/** What subscribers are served from: a keeper's replicated state, or an entry's copy of it. */

import type { TableDelta, Tables } from '../../declarations/common/tables.js';
import type { EntryDirectory } from '../../protocol/common/keeperMessages.js';

/** State with its recent changes. */
export interface IStateSource {
	/** Identity of the history; empty while there is no state. */
	readonly historyId: string;
	readonly tables: Tables;
	readonly directory: EntryDirectory;
	/**
	 * The changes that lead from a revision to the present one, or undefined when some are no longer kept.
	 *
	 * @param maxDeltas beyond so many a snapshot is shorter
	 */
	deltasSince(revision: number, maxDeltas: number): readonly TableDelta[] | undefined;
}
