/** Subscribes a process to one keeper at a time, and moves to another when that one is lost, silent or stale. */

import { match } from 'ts-pattern';
import { backoffMs, type BackoffOptions } from '../../base/common/async.js';
import { monotonicClock, type IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import { Emitter } from '../../base/common/event.js';
import { rendezvousOrder } from '../../base/common/rendezvous.js';
import type { ILogService } from '../../platform/log/common/log.js';
import {
	defaultConnectionLimits,
	type ConnectionLimits,
	type IConnection,
	type Message,
	type PeerIdentity,
} from '../../platform/transport/common/transport.js';
import { FrameConnector } from '../../platform/transport/node/frameConnector.js';
import type {
	ClaimOutcome,
	ClaimRequest,
	KeeperToMemberMessage,
	MemberStatus,
	MemberToKeeperMessage,
} from '../../protocol/common/keeperMessages.js';
import type { ControlState, IControlPlane } from '../common/controlPlane.js';
import { ControlStateStore, type StateMessage } from '../common/controlStateStore.js';
import type { KeeperEndpoint } from '../common/keeperEndpoint.js';
import { PendingClaims } from '../common/pendingClaims.js';
import { ProbeBook } from '../common/probeBook.js';

/** Time between renewals of the lease. */
const renewIntervalMs = 250;

/** Time between looks at whether the keeper is fresh. */
const watchIntervalMs = 50;

/** Age of the state beyond which another keeper is tried; doubles while no keeper proves to be fresher. */
const moveAfterMs = 700;
const maxMoveAfterMs = 6000;

/** Wait before the next keeper is tried. */
const moveBackoff: BackoffOptions = { firstMs: 20, maxMs: 1000 };

/** Wait before a claim is sent again that a keeper could not record. */
const claimRetryMs = 50;

/** Time that a farewell may take to be handed to the network. */
const leaveTimeoutMs = 100;

/** What a client is made of. */
export interface ControlPlaneOptions {
	readonly keepers: readonly KeeperEndpoint[];
	readonly identity: PeerIdentity;
	readonly secret: string;
	readonly log: ILogService;
	readonly limits?: ConnectionLimits;
	readonly clock?: IClock;
	/** Returns a number from 0 up to 1; spreads the retries of many processes. */
	readonly random?: () => number;
}

/** The subscription of one process. It connects once {@link setStatus} has been called. */
export class ControlPlaneClient extends Disposable implements IControlPlane {
	private readonly _onDidChangeState = this._register(new Emitter<ControlState>());
	readonly onDidChangeState = this._onDidChangeState.event;

	private readonly _copy = new ControlStateStore();
	private readonly _claims = new PendingClaims();
	private readonly _probes = new ProbeBook();
	private readonly _clock: IClock;
	private readonly _random: () => number;
	/** Keepers in the order in which this process tries them; it differs between processes, to spread their load. */
	private readonly _keepers: readonly KeeperEndpoint[];

	private _status: MemberStatus | undefined;
	private _sentStatus: MemberStatus | undefined;
	private _connector: FrameConnector | undefined;
	private _keeperIndex = 0;
	/** Moves since a keeper last proved to be fresh. */
	private _movesInVain = 0;
	/** Time at which the present keeper was chosen, or last proved that its state is as new as the store's. */
	private _keeperFreshAtMs = 0;
	private _lastProbeAtMs = -Infinity;
	private _moveTimer: NodeJS.Timeout | undefined;
	private _claimTimer: NodeJS.Timeout | undefined;
	private _isFlushScheduled = false;

	constructor(private readonly _options: ControlPlaneOptions) {
		super();
		this._clock = _options.clock ?? monotonicClock;
		this._random = _options.random ?? Math.random;
		this._keepers = orderKeepers(_options.identity.processId, _options.keepers);
		const timer = setInterval(() => {
			this._watch();
		}, watchIntervalMs);
		this._register(
			toDisposable(() => {
				clearInterval(timer);
				clearTimeout(this._moveTimer);
				clearTimeout(this._claimTimer);
				this._connector?.dispose();
				this._claims.dispose();
			}),
		);
	}

	get state(): ControlState {
		return this._copy.state;
	}

	/** Keeper that the process is subscribed to, or tries to be. */
	get keeperId(): string {
		return this._keeper.processId;
	}

	ageMs(): number {
		return this._clock.nowMs() - this._copy.confirmedAtMs;
	}

	setStatus(status: MemberStatus): void {
		this._status = status;
		if (this._connector === undefined && this._moveTimer === undefined) {
			this._connect();
			return;
		}
		this._sendStatus();
	}

	async claim(request: ClaimRequest, timeoutMs: number): Promise<ClaimOutcome> {
		const { claimNumber, outcome } = this._claims.claim(request);
		const timer = setTimeout(() => {
			this._claims.giveUp(claimNumber);
		}, timeoutMs);
		this._flushSoon();
		try {
			return await outcome;
		} finally {
			clearTimeout(timer);
		}
	}

	releaseClaim(request: ClaimRequest): void {
		this._claims.release(request);
		this._flushSoon();
	}

	/** Tells the keepers that this process stops, so that they need not wait for its lease to end. */
	async leave(): Promise<void> {
		const connection = this._connector?.connection;
		if (connection === undefined) {
			return;
		}
		const closed = new Promise<void>((resolve) => {
			connection.onDidClose(() => {
				resolve();
			});
			setTimeout(resolve, leaveTimeoutMs);
		});
		this._send({ kind: 'leave' });
		this._status = undefined;
		connection.end();
		await closed;
	}

	private get _keeper(): KeeperEndpoint {
		const keeper = this._keepers[this._keeperIndex];
		if (keeper === undefined) {
			throw new RangeError('A process needs at least one keeper in its settings.');
		}
		return keeper;
	}

	private _connect(): void {
		const { identity, secret, limits } = this._options;
		const connector = new FrameConnector(this._keeper.address, {
			identity,
			secret,
			limits: limits ?? defaultConnectionLimits,
		});
		this._connector = connector;
		this._keeperFreshAtMs = this._clock.nowMs();
		connector.onDidConnect((connection) => {
			connection.onDidReceive((message) => {
				this._receive(connection, message);
			});
			this._subscribe();
		});
		connector.onDidFail((reason) => {
			if (this._connector === connector) {
				this._move(reason);
			}
		});
	}

	/** Leaves the present keeper and tries the next one after a short random wait. */
	private _move(reason: string): void {
		if (this._isDisposed || this._moveTimer !== undefined) {
			return;
		}
		const leftId = this._keeper.processId;
		const connector = this._connector;
		this._connector = undefined;
		connector?.dispose();
		this._claims.resetSent();
		this._keeperIndex = (this._keeperIndex + 1) % this._keepers.length;
		const waitMs = backoffMs(moveBackoff, this._movesInVain, this._random);
		this._movesInVain += 1;
		if (this._movesInVain === 1) {
			this._options.log.info('control.moved', { from: leftId, to: this._keeper.processId, reason });
		}
		this._moveTimer = setTimeout(() => {
			this._moveTimer = undefined;
			if (this._status !== undefined) {
				this._connect();
			}
		}, waitMs);
	}

	private _subscribe(): void {
		if (this._status === undefined) {
			return;
		}
		const { tables, directory } = this._copy.state;
		this._sentStatus = this._status;
		this._claims.resetSent();
		this._send({
			kind: 'subscribe',
			revision: tables.revision,
			epoch: directory.epoch,
			historyId: this._copy.historyId,
			status: this._status,
			probe: this._nextProbe(),
		});
		this._flushClaims();
	}

	private _watch(): void {
		const nowMs = this._clock.nowMs();
		if (nowMs - this._lastProbeAtMs >= renewIntervalMs) {
			this._renew();
		}
		if (this._isKeeperStale(nowMs)) {
			// A process that was itself stopped reads what has arrived before it judges its keeper.
			setImmediate(() => {
				if (this._isKeeperStale(this._clock.nowMs())) {
					this._move('The keeper is silent or its state is stale.');
				}
			});
		}
	}

	private _isKeeperStale(nowMs: number): boolean {
		if (this._connector === undefined) {
			return false;
		}
		const limitMs = Math.min(maxMoveAfterMs, moveAfterMs * 2 ** Math.max(0, this._movesInVain - 1));
		return nowMs - this._keeperFreshAtMs > limitMs;
	}

	private _renew(): void {
		if (this._connector?.connection === undefined || this._status === undefined) {
			return;
		}
		const { revisionInForce } = this._status;
		this._send({ kind: 'renewLease', probe: this._nextProbe(), revisionInForce });
	}

	private _sendStatus(): void {
		const status = this._status;
		if (status === undefined || this._connector?.connection === undefined) {
			return;
		}
		const isOnlyRevision = this._sentStatus !== undefined && differsOnlyInRevision(this._sentStatus, status);
		this._sentStatus = status;
		if (isOnlyRevision) {
			this._renew();
			return;
		}
		this._send({ kind: 'memberStatus', status, probe: this._nextProbe() });
	}

	private _nextProbe(): number {
		const nowMs = this._clock.nowMs();
		this._lastProbeAtMs = nowMs;
		return this._probes.next(nowMs);
	}

	private _receive(connection: IConnection, message: Message): void {
		if (connection !== this._connector?.connection) {
			return;
		}
		match(message as KeeperToMemberMessage)
			.with({ kind: 'controlSnapshot' }, { kind: 'controlDelta' }, { kind: 'controlFreshness' }, (state) => {
				this._takeState(state);
			})
			.with({ kind: 'claimAnswers' }, (answers) => {
				if (this._claims.takeAnswers(answers)) {
					this._retryClaimsLater();
				}
			})
			.with({ kind: 'keeperLeaving' }, () => {
				this._move('The keeper stops.');
			})
			.otherwise(() => {
				this._move(`The keeper sent a message of the unknown kind "${message.kind}".`);
			});
	}

	private _takeState(message: StateMessage): void {
		const before = this._copy.confirmedAtMs;
		const result = this._copy.take(message, this._probes.sentAtMs(message.probe));
		if (result === 'gap') {
			this._subscribe();
			return;
		}
		if (result === 'otherHistory') {
			this._refuseOtherHistory(message);
			return;
		}
		if (this._copy.confirmedAtMs > before) {
			this._keeperFreshAtMs = Math.max(this._keeperFreshAtMs, this._copy.confirmedAtMs);
			this._noteFresh();
		}
		if (result === 'changed') {
			this._onDidChangeState.fire(this._copy.state);
		}
	}

	private _noteFresh(): void {
		if (this.ageMs() < moveAfterMs) {
			this._movesInVain = 0;
		}
	}

	private _refuseOtherHistory(message: StateMessage): void {
		if (message.kind !== 'controlSnapshot') {
			this._subscribe();
			return;
		}
		this._options.log.error('control.otherHistory', {
			keeperId: this._keeper.processId,
			keeperRevision: message.tables.revision,
			ownRevision: this._copy.state.tables.revision,
			remedy:
				'The keepers lost their history. Once it is restored or its loss is accepted, restart this process.',
		});
		this._move('The keeper has another history.');
	}

	private _flushSoon(): void {
		if (this._isFlushScheduled) {
			return;
		}
		this._isFlushScheduled = true;
		setImmediate(() => {
			this._isFlushScheduled = false;
			this._flushClaims();
		});
	}

	private _flushClaims(): void {
		if (this._connector?.connection === undefined) {
			return;
		}
		const releases = this._claims.takeUnsentReleases();
		const claims = this._claims.takeUnsentClaims();
		if (releases.length > 0) {
			this._send({ kind: 'releaseClaims', claims: releases });
		}
		if (claims.length > 0) {
			this._send({ kind: 'claim', claims });
		}
	}

	private _retryClaimsLater(): void {
		this._claimTimer ??= setTimeout(() => {
			this._claimTimer = undefined;
			this._flushClaims();
		}, claimRetryMs);
	}

	private _send(message: MemberToKeeperMessage): void {
		this._connector?.connection?.send(message);
	}
}

function orderKeepers(processId: string, keepers: readonly KeeperEndpoint[]): readonly KeeperEndpoint[] {
	const order = rendezvousOrder(
		processId,
		keepers.map((keeper) => keeper.processId),
	);
	return [...keepers].sort((a, b) => order.indexOf(a.processId) - order.indexOf(b.processId));
}

function differsOnlyInRevision(a: MemberStatus, b: MemberStatus): boolean {
	const { revisionInForce } = b;
	return JSON.stringify({ ...a, revisionInForce }) === JSON.stringify(b);
}
