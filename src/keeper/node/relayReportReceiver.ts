/** Receives entries' reports about the agents that subscribe to them. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { MemberRegistry, ReportSource } from '../../control/common/memberRegistry.js';
import type { IConnection } from '../../services/transport/common/transport.js';
import type { MemberReportsMessage } from '../../protocol/common/keeperMessages.js';

/** Records the reported agents in the registry of processes. */
export class RelayReportReceiver extends Disposable {
	private readonly _onDidReceive = this._register(new Emitter<undefined>());
	/** Fires when an entry has reported a new or changed agent. */
	readonly onDidReceive = this._onDidReceive.event;

	/** Report source of each connection. */
	private readonly _sources = new WeakMap<IConnection, ReportSource>();

	constructor(
		private readonly _keeperId: string,
		private readonly _registry: MemberRegistry,
		private readonly _clock: IClock,
	) {
		super();
	}

	/** Records a report. Returns false and records nothing if the sender is no entry or reports on non-agents. */
	receive(connection: IConnection, report: MemberReportsMessage): boolean {
		// An entry that may report on other entries could take their place in the directory.
		if (connection.peer.role !== 'entry' || report.members.some(({ role }) => role !== 'agent')) {
			return false;
		}
		this._registry.applyReport(this._getOrCreateSource(connection), report, this._clock.nowMs());
		if (report.members.length > 0) {
			this._onDidReceive.fire(undefined);
		}
		return true;
	}

	private _getOrCreateSource(connection: IConnection): ReportSource {
		const existing = this._sources.get(connection);
		if (existing !== undefined) {
			return existing;
		}
		const source: ReportSource = {
			keeperId: this._keeperId,
			relayId: connection.peer.processId,
			openedAtMs: this._clock.nowMs(),
			reportedIds: new Set(),
		};
		this._sources.set(connection, source);
		return source;
	}
}
