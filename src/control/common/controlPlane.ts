/** Interface of entries and agents to the keepers. Implemented by a client in `control/node` and by fakes in tests. */

import type { IDisposable } from '../../base/common/disposable.js';
import type { Event } from '../../base/common/event.js';
import type { Tables } from '../../declarations/common/tables.js';
import type {
	ClaimOutcome,
	ClaimRequest,
	EntryDirectory,
	MemberStatus,
	TableScope,
} from '../../protocol/common/keeperMessages.js';
import type { MemberRecord } from './memberRegistry.js';
import type { IStateSource } from './stateSource.js';

/** The state that the keepers publish. */
export interface ControlState {
	readonly tables: Tables;
	/** Scope of the rows in the tables; absent for all rows. */
	readonly scope?: TableScope | undefined;
	readonly directory: EntryDirectory;
}

/** A subscription to the keepers, direct or through an entry, that fails over when its server is lost, unreachable or stale. */
export interface IControlPlane extends IDisposable {
	/** The latest state; its revision and epoch never decrease. */
	readonly state: ControlState;
	/** Fires after each change of {@link state}. */
	readonly onDidChangeState: Event<ControlState>;
	/** The latest state with its recent changes, from which other processes can be served. */
	readonly source: IStateSource;
	/** Returns the upper bound of the age of {@link state}, in milliseconds; infinite before the first snapshot. */
	getMaxStateAgeMs(): number;
	/** Publishes the status of this process. The caller sets the revision in force. */
	setStatus(status: MemberStatus): void;
	/** Starts to report the processes that subscribe to this one. */
	startReports(records: () => Iterable<MemberRecord>): void;
	/** Schedules a report after one of those processes has changed. */
	scheduleReport(): void;
	/** Records a claim durably. Never rejects: resolves to `unknown` when the outcome can't be determined. */
	claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome>;
	/** Releases the claim of a submission of which no task has started. */
	releaseClaim(request: ClaimRequest): void;
}
