/** An entry as a process: sockets and timers around the core. */

import { drainMarginMs } from '../../declarations/common/drainRule.js';
import { randomUUID } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import { waitFor } from '../../base/common/async.js';
import { monotonicClock } from '../../base/common/clock.js';
import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ControlState, IControlPlane } from '../../control/common/controlPlane.js';
import { ControlRelay } from '../../control/node/controlRelay.js';
import type { IDaemon } from '../../services/daemon/node/daemon.js';
import type { ILogService } from '../../services/log/common/log.js';
import { nullMetricsService, type IMetricsService } from '../../services/metrics/common/metrics.js';
import { SettingsError } from '../../services/settings/common/settingsError.js';
import {
	defaultConnectionLimits,
	type ConnectionLimits,
	type PeerIdentity,
} from '../../services/transport/common/transport.js';
import { drainServer, ownServer } from '../../services/http/node/httpServer.js';
import { formatAddress } from '../../services/transport/node/address.js';
import { listenOn } from '../../services/transport/node/listen.js';
import type { ConnectionOptions } from '../../services/transport/node/frameConnection.js';
import type { ClaimRequest, MemberStatus } from '../../protocol/common/keeperMessages.js';
import { EntryCore } from '../common/entryCore.js';
import type { EntryStats } from '../common/entryStats.js';
import type { EntrySettings } from '../common/entrySettings.js';
import { createPolicy } from '../common/policies/createPolicy.js';
import { describeDrain } from '../common/systems/admissionSystem.js';
import type { EntryInput, EntryOutputs } from '../common/tickTypes.js';
import { createEntryOperatorApi } from './entryOperatorApi.js';
import { OutcomeBook } from './outcomeBook.js';
import { PeerHub } from './peerHub.js';
import { ReaderApi } from './readerApi.js';
import { TickLoop } from './tickLoop.js';

/** Time that the keepers get to record a claim. */
const claimTimeoutMs = 2000;
/** Time for which a stopping entry still answers, so that the balancer sees that it is not ready. */
const drainNoticeMs = 300;

/** Time that the other entries get to learn that this one is no longer a home. */
const handOverTimeoutMs = 2000;

/** What an entry is started with. */
export interface EntryDaemonOptions {
	readonly settings: EntrySettings;
	readonly log: ILogService;
	/** Connects to the keepers as this process. */
	readonly connectControl: (options: ConnectionOptions) => IControlPlane;
	readonly limits?: ConnectionLimits;
	readonly metrics?: IMetricsService;
}

/** A running entry. */
export class EntryDaemon extends Disposable implements IDaemon {
	private readonly _core: EntryCore;
	private readonly _api: ReaderApi;
	private readonly _loop: TickLoop;
	private readonly _outcomes: OutcomeBook;
	private readonly _relay: ControlRelay;
	private _isDraining = false;
	private _loggedRevision = 0;
	/** Kept, because a server that is closing has no address any more. */
	private readonly _httpAddress: string;

	private constructor(
		private readonly _options: EntryDaemonOptions,
		private readonly _identity: PeerIdentity,
		private readonly _control: IControlPlane,
		private readonly _hub: PeerHub,
		private readonly _server: Server,
		inputs: InputGate,
	) {
		super();
		const { settings } = _options;
		const bound = _server.address() as AddressInfo;
		this._httpAddress = formatAddress(bound.address, bound.port);
		this._register(_control);
		this._register(_hub);
		this._relay = this._register(
			new ControlRelay({
				control: _control,
				ownId: settings.processId,
				clock: monotonicClock,
				log: _options.log,
				maxSubscribers: settings.maxRelayedAgents,
			}),
		);
		_hub.serveSubscribers((connection) => {
			this._relay.accept(connection);
		});
		this._core = new EntryCore(
			{ ...settings, incarnation: _identity.incarnation },
			createPolicy(settings.policy),
			Math.floor(Math.random() * 2 ** 31),
		);
		this._loop = this._register(
			new TickLoop({
				core: this._core,
				clock: monotonicClock,
				tablesAgeMs: () => _control.ageMs(),
				perform: (outputs) => {
					this._perform(outputs);
				},
			}),
		);
		inputs.open((input) => {
			this._loop.push(input);
		});
		this._api = new ReaderApi(
			{
				tables: () => _control.state.tables,
				notReadyReason: () => this._notReadyReason(),
				hasFreshTables: () => !this._core.tables.isStale,
				recordOutcome: (route, answer, responseMs) => {
					this._outcomes.record(route, answer, responseMs);
				},
				push: (input) => {
					this._loop.push(input);
				},
			},
			settings.maxBodyBytes,
		);
		this._outcomes = this._register(
			new OutcomeBook(_identity, () => _control.state, _options.metrics ?? nullMetricsService),
		);
		this._serve();
		this._followControl();
	}

	/**
	 * Starts an entry. It is ready for readers once it has fresh tables.
	 *
	 * @throws TransportError or SettingsError when an address can't be bound
	 * @example
	 * const daemon = await EntryDaemon.start({ settings, log, connectControl });
	 */
	static async start(options: EntryDaemonOptions): Promise<EntryDaemon> {
		const { settings, log } = options;
		const identity: PeerIdentity = {
			role: 'entry',
			processId: settings.processId,
			incarnation: randomUUID(),
		};
		const connection: ConnectionOptions = {
			identity,
			secret: settings.sharedSecret,
			limits: options.limits ?? defaultConnectionLimits,
		};
		const inputs = new InputGate();
		const hub = await PeerHub.listen(settings.peerAddress, connection, log, (input) => {
			inputs.push(input);
		});
		const server = await listenHttp(settings.httpAddress);
		const daemon = new EntryDaemon(
			options,
			identity,
			options.connectControl(connection),
			hub,
			server,
			inputs,
		);
		log.info('process.ready', { httpAddress: daemon.httpAddress, peerAddress: daemon.peerAddress });
		return daemon;
	}

	/** Address that readers use. */
	get httpAddress(): string {
		return this._httpAddress;
	}

	/** Counters since the start. */
	get counters(): EntryStats {
		return this._core.tables.stats;
	}

	/** Identity of this run. */
	get incarnation(): string {
		return this._identity.incarnation;
	}

	/** Address that agents and other entries connect to. */
	get peerAddress(): string {
		return this._hub.address;
	}

	async drain(): Promise<void> {
		this._isDraining = true;
		this._publishStatus();
		this._relay.leave();
		this._loop.push({
			kind: 'drain',
			answerWithinMs: Math.max(0, this._options.settings.drainTimeoutMs - drainMarginMs),
		});
		const untilMs = performance.now() + drainNoticeMs;
		const { jobs } = this._core.tables;
		const handOverUntilMs = performance.now() + handOverTimeoutMs;
		await waitFor('every job is answered', this._options.settings.drainTimeoutMs, () => {
			const isHandedOver = !this._isHome() || performance.now() >= handOverUntilMs;
			const isIdle = jobs.size === 0 && this._api.waitingCount === 0;
			return performance.now() >= untilMs && isHandedOver && isIdle;
		});
		await drainServer(this._server);
	}

	/** Whether other entries may still relay jobs to this one. */
	private _isHome(): boolean {
		const { entries } = this._control.state.directory;
		const own = entries.find((entry) => entry.processId === this._identity.processId);
		return own?.isDraining === false && entries.length > 1;
	}

	private _serve(): void {
		const app = this._api.createApp();
		const host = { stats: () => this._stats(), ledger: () => this._outcomes.read() };
		app.route('/', createEntryOperatorApi(host, this._options.settings.operatorToken));
		const listener = getRequestListener(app.fetch, {});
		this._server.on('request', (request, response) => {
			void listener(request, response);
		});
		this._register(ownServer(this._server));
	}

	private _followControl(): void {
		this._register(
			this._control.onDidChangeState((state) => {
				this._applyState(state);
			}),
		);
		this._applyState(this._control.state);
	}

	private _applyState(state: ControlState): void {
		this._loop.push({ kind: 'controlState', state });
		this._hub.follow(state.directory.entries);
		this._publishStatus();
	}

	private _publishStatus(): void {
		const { settings } = this._options;
		const { tables } = this._control.state;
		const isDrained = tables.drains.some((row) => row.name === settings.processId);
		const status: MemberStatus = {
			peerAddress: settings.advertisedPeerAddress ?? this.peerAddress,
			httpAddress: this.httpAddress,
			dataCentre: settings.dataCentre,
			rack: settings.rack,
			isDraining: this._isDraining || isDrained,
			revisionInForce: tables.revision,
			drainTimeoutMs: settings.drainTimeoutMs,
		};
		this._control.setStatus(status);
	}

	private _perform(outputs: EntryOutputs): void {
		this._logRevision();
		this._hub.send(outputs.frames);
		this._api.answer(outputs.answers);
		for (const claim of outputs.claims) {
			this._claim(claim);
		}
		for (const release of outputs.releases) {
			this._control.releaseClaim(release);
		}
		for (const { level, event, fields } of outputs.events) {
			this._options.log[level](event, fields);
		}
	}

	/** One event for each revision that the core works with, so that a run's revisions can be followed in its log. */
	private _logRevision(): void {
		const { revision } = this._core.tables;
		if (revision !== this._loggedRevision) {
			this._options.log.info('tables.inForce', { revision, previousRevision: this._loggedRevision });
			this._loggedRevision = revision;
		}
	}

	private _claim(claim: ClaimRequest): void {
		void this._control.claim(claim, claimTimeoutMs).then((outcome) => {
			this._loop.push({ kind: 'claimAnswered', claim, outcome });
		});
	}

	private _notReadyReason(): string | undefined {
		if (this._isDraining || this._core.tables.isDraining) {
			const isStopping = this._isDraining || this._core.tables.isStopping;
			return describeDrain({ isStopping });
		}
		if (this._core.tables.isStale) {
			return 'The entry has lost touch with the keepers.';
		}
		return undefined;
	}

	private _stats(): object {
		const { stats, jobs, epoch, revision, workers, pools } = this._core.tables;
		const { user, system } = process.cpuUsage();
		return {
			processId: this._identity.processId,
			policy: this._options.settings.policy,
			revision,
			epoch,
			tablesAgeMs: Math.round(this._control.ageMs()),
			openJobs: jobs.size,
			workers: workers.size,
			relayedAgents: this._relay.size,
			pools: [...pools.values()].map((pool) => ({
				name: pool.name,
				home: pool.home.kind,
				queuedTasks: pool.queuedTasks,
				meanRunMs: Math.round(pool.meanRunMs),
			})),
			counters: stats,
			cpuMs: (user + system) / 1000,
			rssBytes: process.memoryUsage.rss(),
		};
	}
}

/** Holds input back until the loop that takes it exists. */
class InputGate {
	private _held: EntryInput[] = [];
	private _target: ((input: EntryInput) => void) | undefined;

	push(input: EntryInput): void {
		if (this._target === undefined) {
			this._held.push(input);
			return;
		}
		this._target(input);
	}

	open(target: (input: EntryInput) => void): void {
		this._target = target;
		for (const input of this._held) {
			target(input);
		}
		this._held = [];
	}
}

async function listenHttp(address: string): Promise<Server> {
	const server = createServer();
	try {
		await listenOn(server, address);
	} catch (error) {
		const message = `${describeError(error)} Choose a free one.`;
		throw new SettingsError([{ file: 'settings', key: 'httpAddress', message }]);
	}
	return server;
}
