/** Serves the processes that subscribe to this keeper: state, freshness, leases and claims. */

import { match } from 'ts-pattern';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import type { ILogService } from '../../platform/log/common/log.js';
import type { IConnection, Message } from '../../platform/transport/common/transport.js';
import type {
	KeeperLeavingMessage,
	MemberStatus,
	SubscribeMessage,
} from '../../protocol/common/keeperMessages.js';
import { memberToKeeperSchema } from '../../protocol/common/keeperMessageSchemas.js';
import type { KeeperStateMachine } from '../common/keeperStateMachine.js';
import type { MemberRecord, MemberRegistry } from '../common/memberRegistry.js';
import type { ClaimBatcher } from './claimBatcher.js';
import { Subscriber } from './subscriber.js';

/** What the service works on. */
export interface SubscriptionServices {
	readonly keeperId: string;
	readonly machine: KeeperStateMachine;
	readonly registry: MemberRegistry;
	readonly claims: ClaimBatcher;
	readonly clock: IClock;
	readonly log: ILogService;
	/** Greatest possible age of this keeper's state. */
	readonly ageMs: () => number;
}

const leavingMessage: KeeperLeavingMessage = { kind: 'keeperLeaving' };

/** Holds the subscriptions of this keeper. */
export class SubscriptionService extends Disposable {
	private readonly _onDidChangeMembers = this._register(new Emitter<undefined>());
	/** Fires when a process has subscribed, left, or changed its status. */
	readonly onDidChangeMembers = this._onDidChangeMembers.event;

	private readonly _subscribers = new Map<IConnection, Subscriber>();
	private _isLeaving = false;

	constructor(private readonly _services: SubscriptionServices) {
		super();
		this._register(
			toDisposable(() => {
				for (const connection of [...this._subscribers.keys()]) {
					connection.dispose();
				}
			}),
		);
	}

	/** Number of processes that are subscribed. */
	get size(): number {
		return this._subscribers.size;
	}

	/** Takes a connection from an entry, an agent or a program that only reads. */
	accept(connection: IConnection): void {
		if (this._isLeaving) {
			connection.send(leavingMessage);
		}
		connection.onDidReceive((message) => {
			this._receive(connection, message);
		});
		connection.onDidClose((reason) => {
			if (this._subscribers.delete(connection)) {
				const { processId } = connection.peer;
				this._services.log.info('subscriber.disconnected', { processId, reason });
			}
		});
	}

	/** Sends what has changed to every subscriber that does not have it yet. */
	publish(): void {
		for (const subscriber of this._subscribers.values()) {
			subscriber.sendChanges();
		}
	}

	/** Asks every subscriber to move to another keeper. */
	leave(): void {
		this._isLeaving = true;
		for (const connection of this._subscribers.keys()) {
			connection.send(leavingMessage);
		}
	}

	private _receive(connection: IConnection, received: Message): void {
		const parsed = memberToKeeperSchema.safeParse(received);
		if (!parsed.success) {
			const { processId } = connection.peer;
			const { kind } = received;
			const reason = parsed.error.issues
				.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
				.join('; ');
			this._services.log.warn('subscriber.malformedMessage', { processId, kind, reason });
			connection.dispose();
			return;
		}
		match(parsed.data)
			.with({ kind: 'subscribe' }, (message) => {
				this._subscribe(connection, message);
			})
			.with({ kind: 'memberStatus' }, ({ status, probe }) => {
				this._renew(connection, probe, status);
			})
			.with({ kind: 'renewLease' }, ({ probe, revisionInForce }) => {
				this._renewUnchanged(connection, probe, revisionInForce);
			})
			.with({ kind: 'leave' }, () => {
				this._leave(connection);
			})
			.with({ kind: 'claim' }, ({ claims }) => {
				this._services.claims.claim(connection, claims);
			})
			.with({ kind: 'releaseClaims' }, ({ claims }) => {
				this._services.claims.release(connection, claims);
			})
			.exhaustive();
	}

	/** Renews a lease whose status is as it was, but perhaps for the revision. */
	private _renewUnchanged(connection: IConnection, probe: number, revisionInForce: number): void {
		const status = this._recordOf(connection)?.status;
		if (status !== undefined) {
			const isSame = status.revisionInForce === revisionInForce;
			this._renew(connection, probe, isSame ? status : { ...status, revisionInForce });
		}
	}

	private _subscribe(connection: IConnection, message: SubscribeMessage): void {
		const { machine, ageMs, log, clock, registry, keeperId } = this._services;
		const subscriber = new Subscriber(connection, machine, ageMs, message);
		this._subscribers.set(connection, subscriber);
		const nowMs = clock.nowMs();
		const { processId, role, incarnation } = connection.peer;
		registry.put({
			processId,
			role,
			incarnation,
			keeperId,
			subscribedAtMs: nowMs,
			heardAtMs: nowMs,
			hasLeft: false,
			status: message.status,
		});
		log.info('subscriber.subscribed', { processId, role, revision: message.revision });
		subscriber.sendChanges();
		subscriber.sendFreshness();
		this._onDidChangeMembers.fire(undefined);
	}

	private _renew(connection: IConnection, probe: number, status: MemberStatus): void {
		const record = this._recordOf(connection);
		const subscriber = this._subscribers.get(connection);
		if (record === undefined || subscriber === undefined) {
			return;
		}
		this._services.registry.put({ ...record, heardAtMs: this._services.clock.nowMs(), status });
		subscriber.noteProbe(probe);
		subscriber.sendChanges();
		subscriber.sendFreshness();
		if (status !== record.status) {
			this._onDidChangeMembers.fire(undefined);
		}
	}

	private _leave(connection: IConnection): void {
		const record = this._recordOf(connection);
		if (record === undefined) {
			return;
		}
		this._services.registry.put({ ...record, hasLeft: true });
		this._services.log.info('subscriber.left', { processId: record.processId });
		this._onDidChangeMembers.fire(undefined);
	}

	/** The record of a connection's process, unless a later run of the process has taken its place. */
	private _recordOf(connection: IConnection): MemberRecord | undefined {
		const { processId, incarnation } = connection.peer;
		const record = this._services.registry.get(this._services.keeperId, processId);
		return record?.incarnation === incarnation ? record : undefined;
	}
}
