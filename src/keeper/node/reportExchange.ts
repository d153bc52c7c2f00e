/** Exchanges reports about subscribers between keepers, so that each keeper knows the status of the whole system. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import { FrameConnector } from '../../services/transport/node/frameConnector.js';
import { memberReportsSchema } from '../../protocol/common/keeperMessageSchemas.js';
import type { IReplicatedLog } from '../../replication/common/replicatedLog.js';
import type { MemberRegistry, ReportSource } from '../../control/common/memberRegistry.js';
import { ReportWriter } from '../../control/common/reportWriter.js';
import type { SilentKeeper } from '../common/systemStatus.js';

/** Interval between reports when nothing changes. */
const reportIntervalMs = 200;

/** Delay of a report after a change, so that changes within this time share one report. */
const changeBatchDelayMs = 5;

/** Time without a report after which another keeper's subscribers count as unknown. */
const keeperSilenceThresholdMs = 1000;

/** Options of {@link ReportExchange}. */
export interface ReportExchangeOptions {
	readonly keeperId: string;
	readonly replicatedLog: IReplicatedLog;
	readonly registry: MemberRegistry;
	readonly clock: IClock;
	/** Options of the connections to other keepers. The role in the identity is `reporter`. */
	readonly connection: ConnectionOptions;
}

/** Another keeper that this one reports to. The report writer belongs to the present connection. */
interface PeerKeeper {
	readonly connector: FrameConnector;
	reportWriter: ReportWriter | undefined;
}

/** Sends reports to every other member of the group, and receives theirs. */
export class ReportExchange extends Disposable {
	private readonly _onDidReceive = this._register(new Emitter<undefined>());
	/** Fires when another keeper has reported a changed entry. There are too many agents to fire for each of them. */
	readonly onDidReceive = this._onDidReceive.event;

	/** Other keepers by process id. */
	private readonly _peers = new Map<string, PeerKeeper>();
	/** Clock time of the last report, by keeper. */
	private readonly _lastReportAtMs = new Map<string, number>();
	private _reportTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _options: ReportExchangeOptions) {
		super();
		this._register(
			_options.replicatedLog.onDidChangeStatus(() => {
				this._updateConnections();
			}),
		);
		const timer = setInterval(() => {
			this._sendToAll();
		}, reportIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				clearTimeout(this._reportTimer);
				for (const peer of this._peers.values()) {
					peer.connector.dispose();
				}
			}),
		);
		this._updateConnections();
	}

	/** Accepts a connection on which another keeper sends its reports. */
	accept(connection: IConnection): void {
		const source: ReportSource = {
			keeperId: connection.peer.processId,
			openedAtMs: this._options.clock.nowMs(),
			reportedIds: new Set(),
		};
		connection.onDidReceive((message) => {
			this._handleReport(connection, source, message);
		});
	}

	/** Schedules a report after a change of a subscriber, unless one is scheduled already. */
	scheduleReport(): void {
		this._reportTimer ??= setTimeout(() => {
			this._reportTimer = undefined;
			this._sendToAll();
		}, changeBatchDelayMs);
	}

	/** Returns the other members of the group that have not reported for {@link keeperSilenceThresholdMs}. */
	silentKeepers(): SilentKeeper[] {
		const nowMs = this._options.clock.nowMs();
		return this._options.replicatedLog.status.members
			.filter((member) => member.processId !== this._options.keeperId)
			.map(({ processId }) => ({
				processId,
				silentForMs: nowMs - (this._lastReportAtMs.get(processId) ?? -Infinity),
			}))
			.filter((keeper) => keeper.silentForMs > keeperSilenceThresholdMs);
	}

	/** Connects to new members and members with a new address, and disconnects from former ones. */
	private _updateConnections(): void {
		const members = this._options.replicatedLog.status.members.filter(
			(member) => member.processId !== this._options.keeperId,
		);
		const addresses = new Map(members.map((member) => [member.processId, member.address]));
		for (const [processId, peer] of [...this._peers]) {
			if (addresses.get(processId) !== peer.connector.address) {
				peer.connector.dispose();
				this._peers.delete(processId);
			}
		}
		for (const [processId, address] of addresses) {
			if (!this._peers.has(processId)) {
				this._peers.set(processId, this._connect(address));
			}
		}
	}

	private _connect(address: string): PeerKeeper {
		const connector = new FrameConnector(address, this._options.connection);
		const peer: PeerKeeper = { connector, reportWriter: undefined };
		connector.onDidConnect(() => {
			peer.reportWriter = new ReportWriter();
			this._sendTo(peer);
		});
		return peer;
	}

	private _sendToAll(): void {
		for (const peer of this._peers.values()) {
			this._sendTo(peer);
		}
	}

	private _sendTo(peer: PeerKeeper): void {
		const connection = peer.connector.connection;
		if (connection === undefined || peer.reportWriter === undefined) {
			return;
		}
		const { registry, keeperId, clock } = this._options;
		connection.send(peer.reportWriter.write(registry.getSubscribers(keeperId), clock.nowMs()));
	}

	/** Records a report in the registry. Closes the connection if the message is malformed. */
	private _handleReport(connection: IConnection, source: ReportSource, message: Message): void {
		const parsed = memberReportsSchema.safeParse(message);
		if (!parsed.success) {
			connection.dispose();
			return;
		}
		const { registry, clock } = this._options;
		const report = parsed.data;
		const nowMs = clock.nowMs();
		this._lastReportAtMs.set(connection.peer.processId, nowMs);
		registry.applyReport(source, report, nowMs);
		if (report.members.some(({ role }) => role === 'entry')) {
			this._onDidReceive.fire(undefined);
		}
	}
}
