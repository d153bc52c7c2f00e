/** What entries and agents see of the keepers. Implemented by a client in `control/node`, and by fakes in tests. */

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
	/** Rows that the tables hold; absent for all. */
	readonly scope?: TableScope | undefined;
	readonly directory: EntryDirectory;
}

/** A subscription to the keepers, direct or by an entry, that moves on when its server is lost, cut off or stale. */
export interface IControlPlane extends IDisposable {
	/** The newest state; its revision and epoch never go back. */
	readonly state: ControlState;
	/** Fires after each change of {@link state}. */
	readonly onDidChangeState: Event<ControlState>;
	/** The newest state with its recent changes, from which others can be served. */
	readonly source: IStateSource;
	/** Greatest possible age of {@link state}; infinite before the first snapshot. */
	ageMs(): number;
	/** Publishes what this process is; the revision in force is added by the implementation's caller. */
	setStatus(status: MemberStatus): void;
	/** Reports processes that subscribe to this one, from now on. */
	startReports(records: () => Iterable<MemberRecord>): void;
	/** Reports soon, because one of those processes has changed. */
	reportSoon(): void;
	/** Records a claim durably. Never rejects: what can't be told is `unknown`. */
	claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome>;
	/** Takes back a claim of a submission of which no task has started. */
	releaseClaim(request: ClaimRequest): void;
}
