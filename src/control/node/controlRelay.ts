/** Relays the keepers' state to agents that subscribe to an entry, and reports these agents to the keepers. */

import type { IClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/disposable.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection } from '../../services/transport/common/transport.js';
import type { IControlPlane } from '../common/controlPlane.js';
import { MemberRegistry } from '../common/memberRegistry.js';
import { SubscriptionService } from './subscriptionService.js';

/** Options of a {@link ControlRelay}. */
export interface ControlRelayOptions {
	/** The entry's own subscription. Each hop adds to the age of the state. */
	readonly control: IControlPlane;
	readonly ownId: string;
	readonly clock: IClock;
	readonly log: ILogService;
	/** Maximum number of subscribed agents; further ones are told to use another server. */
	readonly maxSubscribers: number;
}

/**
 * Serves subscribers from an entry's copy of the control state.
 *
 * @example
 * const relay = store.add(new ControlRelay({ control, ownId: 'entry-1', clock, log, maxSubscribers: 500 }));
 * relay.accept(connection);
 */
export class ControlRelay extends Disposable {
	private readonly _registry = new MemberRegistry();
	private readonly _subscriptions: SubscriptionService;

	constructor({ control, ownId, clock, log, maxSubscribers }: ControlRelayOptions) {
		super();
		this._subscriptions = this._register(
			new SubscriptionService({
				ownId,
				source: control.source,
				registry: this._registry,
				clock,
				log,
				getMaxStateAgeMs: () => control.getMaxStateAgeMs(),
				maxSubscribers,
				// Agents make no claims and have no subscribers to report.
				handleKeeperMessage: () => false,
			}),
		);
		control.startReports(() => {
			this._registry.prune(clock.nowMs());
			return this._registry.getSubscribers(ownId);
		});
		this._register(
			control.onDidChangeState(() => {
				this._subscriptions.publish();
			}),
		);
		this._register(
			this._subscriptions.onDidChangeMembers(() => {
				control.scheduleReport();
			}),
		);
	}

	/** Number of subscribed agents. */
	get size(): number {
		return this._subscriptions.size;
	}

	/** Accepts the connection of an agent that subscribes. */
	accept(connection: IConnection): void {
		this._subscriptions.accept(connection);
	}

	/** Asks every subscriber to use another server, because the entry stops. */
	askSubscribersToMove(): void {
		this._subscriptions.askSubscribersToMove();
	}
}
