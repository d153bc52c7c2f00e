/** The state that subscribers are served from: a keeper's replicated state or an entry's copy of it. */

import type { TableDelta, Tables } from '../../declarations/common/tables.js';
import type { EntryDirectory } from '../../protocol/common/keeperMessages.js';

/** State with its recent changes. */
export interface IStateSource {
	/** Identity of the history; empty while there is no state. */
	readonly historyId: string;
	readonly tables: Tables;
	readonly directory: EntryDirectory;
	/**
	 * Returns the deltas from a revision to the current one, or undefined when there are too many or some are not kept.
	 *
	 * @param maxDeltas maximum number of deltas; beyond it a snapshot is smaller
	 */
	deltasSince(revision: number, maxDeltas: number): readonly TableDelta[] | undefined;
}
