/** Sends state and freshness to the processes that subscribe to a keeper or an entry, and tracks their leases. */

import { match, P } from 'ts-pattern';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection, Message } from '../../services/transport/common/transport.js';
import type {
	ClaimMessage,
	KeeperLeavingMessage,
	MemberReportsMessage,
	MemberStatus,
	RenewLeaseMessage,
	ReleaseClaimsMessage,
	SubscribeMessage,
} from '../../protocol/common/keeperMessages.js';
import { subscriberToKeeperSchema } from '../../protocol/common/keeperMessageSchemas.js';
import type { MemberRecord, MemberRegistry } from '../common/memberRegistry.js';
import { StateFeed } from '../common/stateFeed.js';
import type { IStateSource } from '../common/stateSource.js';
import { describeValidationErrors } from '../common/validationErrors.js';

/** Messages of subscribers that only a keeper handles. */
export type KeeperOnlyMessage = ClaimMessage | ReleaseClaimsMessage | MemberReportsMessage;

/** Options of a {@link SubscriptionService}. */
export interface SubscriptionServiceOptions {
	/** Process id of the keeper or entry that runs the service. */
	readonly ownId: string;
	readonly source: IStateSource;
	readonly registry: MemberRegistry;
	readonly clock: IClock;
	readonly log: ILogService;
	/** Returns the upper bound of the age of the source's state, in milliseconds. */
	readonly getMaxStateAgeMs: () => number;
	/** Maximum number of subscribers; further ones are told to use another server. */
	readonly maxSubscribers: number;
	/** Handles a message that only a keeper handles. Returns whether the sender is allowed to send it. */
	readonly handleKeeperMessage: (connection: IConnection, message: KeeperOnlyMessage) => boolean;
}

const leavingMessage: KeeperLeavingMessage = { kind: 'keeperLeaving' };

/** Holds the subscriptions of one keeper or entry. */
export class SubscriptionService extends Disposable {
	private readonly _onDidChangeMembers = this._register(new Emitter<undefined>());
	/** Fires when a process has subscribed, left or changed its status. */
	readonly onDidChangeMembers = this._onDidChangeMembers.event;

	private readonly _feeds = new Map<IConnection, StateFeed>();
	private readonly _connections = new Set<IConnection>();
	private _isLeaving = false;

	constructor(private readonly _options: SubscriptionServiceOptions) {
		super();
		this._register(
			toDisposable(() => {
				for (const connection of [...this._connections]) {
					connection.dispose();
				}
			}),
		);
	}

	/** Number of subscribed processes. */
	get size(): number {
		return this._feeds.size;
	}

	/** Accepts a connection from a process that may subscribe. */
	accept(connection: IConnection): void {
		this._connections.add(connection);
		connection.onDidReceive((message) => {
			this._handleMessage(connection, message);
		});
		connection.onDidClose((reason) => {
			this._connections.delete(connection);
			if (this._feeds.delete(connection)) {
				const { processId } = connection.peer;
				this._options.log.info('subscriber.disconnected', { processId, reason });
			}
		});
	}

	/** Sends the latest changes to every subscriber that does not have them yet. */
	publish(): void {
		for (const feed of this._feeds.values()) {
			feed.sendChanges();
		}
	}

	/** Asks every subscriber to use another server, and accepts no new subscription. */
	askSubscribersToMove(): void {
		this._isLeaving = true;
		for (const connection of this._feeds.keys()) {
			connection.send(leavingMessage);
		}
	}

	private _handleMessage(connection: IConnection, received: Message): void {
		const parsed = subscriberToKeeperSchema.safeParse(received);
		if (!parsed.success) {
			this._rejectMessage(connection, received, describeValidationErrors(parsed.error));
			return;
		}
		match(parsed.data)
			.with({ kind: 'subscribe' }, (message) => {
				this._subscribe(connection, message);
			})
			.with({ kind: 'memberStatus' }, ({ status, probe }) => {
				this._renewLease(connection, probe, status);
			})
			.with({ kind: 'renewLease' }, (message) => {
				this._renewUnchangedStatus(connection, message);
			})
			.with({ kind: 'leave' }, () => {
				this._markLeft(connection);
			})
			.with({ kind: P.union('claim', 'releaseClaims', 'memberReports') }, (message) => {
				if (!this._options.handleKeeperMessage(connection, message)) {
					this._rejectMessage(
						connection,
						message,
						'The sender is not allowed to send this message to this process.',
					);
				}
			})
			.exhaustive();
	}

	private _rejectMessage(connection: IConnection, { kind }: Message, reason: string): void {
		const { processId } = connection.peer;
		this._options.log.warn('subscriber.malformedMessage', { processId, kind, reason });
		connection.dispose();
	}

	/** Renews a lease when at most the revision in force has changed in the status. */
	private _renewUnchangedStatus(connection: IConnection, message: RenewLeaseMessage): void {
		const { probe, revisionInForce, ageMs } = message;
		const status = this._getRecord(connection)?.status;
		if (status !== undefined) {
			const isSame = status.revisionInForce === revisionInForce;
			this._renewLease(connection, probe, isSame ? status : { ...status, revisionInForce }, ageMs);
		}
	}

	private _subscribe(connection: IConnection, message: SubscribeMessage): void {
		const { source, getMaxStateAgeMs: ageMs, log, clock, registry, ownId, maxSubscribers } = this._options;
		const hasRoom = this._feeds.has(connection) || this._feeds.size < maxSubscribers;
		if (this._isLeaving || !hasRoom) {
			connection.send(leavingMessage);
			return;
		}
		const send = connection.send.bind(connection);
		const feed = new StateFeed(source, ageMs, send, message);
		this._feeds.set(connection, feed);
		const nowMs = clock.nowMs();
		const { processId, incarnation } = connection.peer;
		const role = connection.peer.role === 'subscriber' ? 'agent' : connection.peer.role;
		registry.put({
			processId,
			role,
			incarnation,
			keeperId: ownId,
			subscribedAtMs: nowMs,
			heardAtMs: nowMs,
			hasLeft: false,
			status: message.status,
		});
		log.info('subscriber.subscribed', { processId, role, revision: message.revision });
		feed.sendChanges();
		feed.sendFreshness();
		this._onDidChangeMembers.fire(undefined);
	}

	private _renewLease(connection: IConnection, probe: number, status: MemberStatus, ageMs?: number): void {
		const record = this._getRecord(connection);
		const feed = this._feeds.get(connection);
		if (record === undefined || feed === undefined) {
			return;
		}
		const heardAtMs = this._options.clock.nowMs();
		this._options.registry.put({ ...record, heardAtMs, ageMs: ageMs ?? record.ageMs, status });
		feed.recordProbe(probe);
		feed.sendChanges();
		feed.sendFreshness();
		if (status !== record.status) {
			this._onDidChangeMembers.fire(undefined);
		}
	}

	private _markLeft(connection: IConnection): void {
		const record = this._getRecord(connection);
		if (record === undefined) {
			return;
		}
		this._options.registry.put({ ...record, hasLeft: true });
		this._options.log.info('subscriber.left', { processId: record.processId });
		this._onDidChangeMembers.fire(undefined);
	}

	/** Returns the record of a connection's process, or undefined when it belongs to another incarnation. */
	private _getRecord(connection: IConnection): MemberRecord | undefined {
		const { processId, incarnation } = connection.peer;
		const record = this._options.registry.get(this._options.ownId, processId);
		return record?.incarnation === incarnation ? record : undefined;
	}
}
