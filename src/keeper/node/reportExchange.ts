/** Keepers tell each other about their subscribers, so that each can answer for the whole system. */

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

/** Time between reports when nothing changes. */
const reportIntervalMs = 200;

/** Changes within this time share a report. */
const changeDelayMs = 5;

/** Silence of another keeper after which its subscribers count as unknown. */
const silentKeeperMs = 1000;

/** What the exchange works on. */
export interface ReportServices {
	readonly keeperId: string;
	readonly log: IReplicatedLog;
	readonly registry: MemberRegistry;
	readonly clock: IClock;
	/** Options of connections to other keepers; the role is `reporter`. */
	readonly connection: ConnectionOptions;
}

/** A connection to another keeper, with what was reported on it. */
interface Peer {
	readonly connector: FrameConnector;
	writer: ReportWriter | undefined;
}

/** Sends reports to every other member of the group, and takes theirs. */
export class ReportExchange extends Disposable {
	private readonly _onDidReceive = this._register(new Emitter<undefined>());
	/** Fires when another keeper has reported a change of an entry. Agents are too many to act on each. */
	readonly onDidReceive = this._onDidReceive.event;

	private readonly _peers = new Map<string, Peer>();
	private readonly _lastReportMs = new Map<string, number>();
	private _changeTimer: NodeJS.Timeout | undefined;

	constructor(private readonly _services: ReportServices) {
		super();
		this._register(
			_services.log.onDidChangeStatus(() => {
				this._connectToMembers();
			}),
		);
		const timer = setInterval(() => {
			this._send();
		}, reportIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				clearTimeout(this._changeTimer);
				for (const peer of this._peers.values()) {
					peer.connector.dispose();
				}
			}),
		);
		this._connectToMembers();
	}

	/** Takes a connection on which another keeper reports. */
	accept(connection: IConnection): void {
		const source: ReportSource = {
			keeperId: connection.peer.processId,
			openedAtMs: this._services.clock.nowMs(),
			reported: new Set(),
		};
		connection.onDidReceive((message) => {
			this._receive(connection, source, message);
		});
	}

	/** Reports soon, because a subscriber has changed. */
	reportSoon(): void {
		this._changeTimer ??= setTimeout(() => {
			this._changeTimer = undefined;
			this._send();
		}, changeDelayMs);
	}

	/** Other members of the group that have not reported lately. */
	silentKeepers(): SilentKeeper[] {
		const nowMs = this._services.clock.nowMs();
		return this._services.log.status.members
			.filter((member) => member.processId !== this._services.keeperId)
			.map(({ processId }) => ({
				processId,
				silentForMs: nowMs - (this._lastReportMs.get(processId) ?? -Infinity),
			}))
			.filter((keeper) => keeper.silentForMs > silentKeeperMs);
	}

	private _connectToMembers(): void {
		const members = this._services.log.status.members.filter(
			(member) => member.processId !== this._services.keeperId,
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

	private _connect(address: string): Peer {
		const connector = new FrameConnector(address, this._services.connection);
		const peer: Peer = { connector, writer: undefined };
		connector.onDidConnect(() => {
			peer.writer = new ReportWriter();
			this._sendTo(peer);
		});
		return peer;
	}

	private _send(): void {
		for (const peer of this._peers.values()) {
			this._sendTo(peer);
		}
	}

	private _sendTo(peer: Peer): void {
		const connection = peer.connector.connection;
		if (connection === undefined || peer.writer === undefined) {
			return;
		}
		const { registry, keeperId, clock } = this._services;
		connection.send(peer.writer.write(registry.recordsOf(keeperId), clock.nowMs()));
	}

	private _receive(connection: IConnection, source: ReportSource, message: Message): void {
		const parsed = memberReportsSchema.safeParse(message);
		if (!parsed.success) {
			connection.dispose();
			return;
		}
		const { registry, clock } = this._services;
		const report = parsed.data;
		const nowMs = clock.nowMs();
		this._lastReportMs.set(connection.peer.processId, nowMs);
		registry.takeReport(source, report, nowMs);
		if (report.members.some(({ role }) => role === 'entry')) {
			this._onDidReceive.fire(undefined);
		}
	}
}
