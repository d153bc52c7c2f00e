/** Runs an entry as a process: connects its core to sockets, timers and the keepers. */

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
import { drainServer, toServerDisposable } from '../../services/http/node/httpServer.js';
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
import { JobOutcomeTracker } from './jobOutcomeTracker.js';
import { PeerConnections } from './peerConnections.js';
import { ReaderApi } from './readerApi.js';
import { TickLoop } from './tickLoop.js';

/** Time limit for the keepers to record a claim. */
const claimTimeoutMs = 2000;
/** Minimum duration of a drain. The entry still answers, so that the balancer sees the readiness check fail. */
const drainNoticeMs = 300;

/** Maximum time that a drain waits until other entries no longer relay jobs to this one. */
const handOverTimeoutMs = 2000;

/** Options of {@link EntryDaemon.start}. */
export interface EntryDaemonOptions {
	readonly settings: EntrySettings;
	readonly log: ILogService;
	/** Creates this process's subscription to the keepers. */
	readonly createControlPlane: (options: ConnectionOptions) => IControlPlane;
	readonly limits?: ConnectionLimits;
	readonly metrics?: IMetricsService;
}

/** Connects an {@link EntryCore} to readers, agents, other entries and the keepers. */
export class EntryDaemon extends Disposable implements IDaemon {
	private readonly _core: EntryCore;
	private readonly _readerApi: ReaderApi;
	private readonly _tickLoop: TickLoop;
	private readonly _jobOutcomes: JobOutcomeTracker;
	private readonly _controlRelay: ControlRelay;
	private _isDraining = false;
	private _loggedRevision = 0;
	/** Stored, because a server that is closing no longer has an address. */
	private readonly _httpAddress: string;

	private constructor(
		private readonly _options: EntryDaemonOptions,
		private readonly _identity: PeerIdentity,
		private readonly _control: IControlPlane,
		private readonly _peers: PeerConnections,
		private readonly _server: Server,
		inputs: InputBuffer,
	) {
		super();
		const { settings } = _options;
		const boundAddress = _server.address() as AddressInfo;
		this._httpAddress = formatAddress(boundAddress.address, boundAddress.port);
		this._register(_control);
		this._register(_peers);
		this._controlRelay = this._register(
			new ControlRelay({
				control: _control,
				ownId: settings.processId,
				clock: monotonicClock,
				log: _options.log,
				maxSubscribers: settings.maxRelayedAgents,
			}),
		);
		_peers.setSubscriberHandler((connection) => {
			this._controlRelay.accept(connection);
		});
		this._core = new EntryCore(
			{ ...settings, incarnation: _identity.incarnation },
			createPolicy(settings.policy),
			Math.floor(Math.random() * 2 ** 31),
		);
		this._tickLoop = this._register(
			new TickLoop({
				core: this._core,
				clock: monotonicClock,
				tablesAgeMs: () => _control.getMaxStateAgeMs(),
				performOutputs: (outputs) => {
					this._performOutputs(outputs);
				},
			}),
		);
		inputs.connect((input) => {
			this._tickLoop.push(input);
		});
		this._readerApi = new ReaderApi(
			{
				currentTables: () => _control.state.tables,
				notReadyReason: () => this._notReadyReason(),
				hasFreshTables: () => !this._core.tables.isStale,
				recordOutcome: (route, answer, responseMs) => {
					this._jobOutcomes.record(route, answer, responseMs);
				},
				pushInput: (input) => {
					this._tickLoop.push(input);
				},
			},
			settings.maxBodyBytes,
		);
		this._jobOutcomes = this._register(
			new JobOutcomeTracker(_identity, () => _control.state, _options.metrics ?? nullMetricsService),
		);
		this._serveHttp();
		this._followControlState();
	}

	/**
	 * Starts an entry. Its readiness check succeeds once its tables are fresh.
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
		const connectionOptions: ConnectionOptions = {
			identity,
			secret: settings.sharedSecret,
			limits: options.limits ?? defaultConnectionLimits,
		};
		const inputs = new InputBuffer();
		const peers = await PeerConnections.listen(settings.peerAddress, connectionOptions, log, (input) => {
			inputs.push(input);
		});
		const server = await listenForHttp(settings.httpAddress);
		const daemon = new EntryDaemon(
			options,
			identity,
			options.createControlPlane(connectionOptions),
			peers,
			server,
			inputs,
		);
		log.info('process.ready', { httpAddress: daemon.httpAddress, peerAddress: daemon.peerAddress });
		return daemon;
	}

	/** HTTP address for readers, the balancer and operators. */
	get httpAddress(): string {
		return this._httpAddress;
	}

	/** Counters since the process started. */
	get counters(): EntryStats {
		return this._core.tables.stats;
	}

	/** Identifier of this run of the process, chosen at random. */
	get incarnation(): string {
		return this._identity.incarnation;
	}

	/** Address that agents and other entries connect to. */
	get peerAddress(): string {
		return this._peers.address;
	}

	async drain(): Promise<void> {
		this._isDraining = true;
		this._publishStatus();
		this._controlRelay.askSubscribersToMove();
		this._tickLoop.push({
			kind: 'drain',
			answerWithinMs: Math.max(0, this._options.settings.drainTimeoutMs - drainMarginMs),
		});
		const noticeUntilMs = performance.now() + drainNoticeMs;
		const { jobs } = this._core.tables;
		const handOverUntilMs = performance.now() + handOverTimeoutMs;
		await waitFor('every job is answered', this._options.settings.drainTimeoutMs, () => {
			const isHandOverDone = !this._mayReceiveRelayedJobs() || performance.now() >= handOverUntilMs;
			const isIdle = jobs.size === 0 && this._readerApi.waitingReaderCount === 0;
			return performance.now() >= noticeUntilMs && isHandOverDone && isIdle;
		});
		await drainServer(this._server);
	}

	/** Whether other entries may still relay jobs to this one. */
	private _mayReceiveRelayedJobs(): boolean {
		const { entries } = this._control.state.directory;
		const ownMember = entries.find((entry) => entry.processId === this._identity.processId);
		return ownMember?.isDraining === false && entries.length > 1;
	}

	private _serveHttp(): void {
		const app = this._readerApi.createApp();
		const operatorHost = {
			readStats: () => this._readStats(),
			readOutcomes: () => this._jobOutcomes.readLedger(),
		};
		app.route('/', createEntryOperatorApi(operatorHost, this._options.settings.operatorToken));
		const requestListener = getRequestListener(app.fetch, {});
		this._server.on('request', (request, response) => {
			void requestListener(request, response);
		});
		this._register(toServerDisposable(this._server));
	}

	private _followControlState(): void {
		this._register(
			this._control.onDidChangeState((state) => {
				this._applyControlState(state);
			}),
		);
		this._applyControlState(this._control.state);
	}

	private _applyControlState(state: ControlState): void {
		this._tickLoop.push({ kind: 'controlState', state });
		this._peers.connectToEntries(state.directory.entries);
		this._publishStatus();
	}

	private _publishStatus(): void {
		const { settings } = this._options;
		const { tables } = this._control.state;
		const isDrainedByOperator = tables.drains.some((row) => row.name === settings.processId);
		const status: MemberStatus = {
			peerAddress: settings.advertisedPeerAddress ?? this.peerAddress,
			httpAddress: this.httpAddress,
			dataCentre: settings.dataCentre,
			rack: settings.rack,
			isDraining: this._isDraining || isDrainedByOperator,
			revisionInForce: tables.revision,
			drainTimeoutMs: settings.drainTimeoutMs,
		};
		this._control.setStatus(status);
	}

	private _performOutputs(outputs: EntryOutputs): void {
		this._logRevisionChange();
		this._peers.send(outputs.frames);
		this._readerApi.deliverAnswers(outputs.answers);
		for (const claim of outputs.claims) {
			this._sendClaim(claim);
		}
		for (const release of outputs.releases) {
			this._control.releaseClaim(release);
		}
		for (const { level, event, fields } of outputs.events) {
			this._options.log[level](event, fields);
		}
	}

	/** Logs each new revision of the core's tables, so that the log shows which revisions a run has used. */
	private _logRevisionChange(): void {
		const { revision } = this._core.tables;
		if (revision !== this._loggedRevision) {
			this._options.log.info('tables.inForce', { revision, previousRevision: this._loggedRevision });
			this._loggedRevision = revision;
		}
	}

	private _sendClaim(claim: ClaimRequest): void {
		void this._control.claim(claim, claimTimeoutMs).then((outcome) => {
			this._tickLoop.push({ kind: 'claimAnswered', claim, outcome });
		});
	}

	private _notReadyReason(): string | undefined {
		if (this._isDraining || this._core.tables.isDraining) {
			const isStopping = this._isDraining || this._core.tables.isStopping;
			return describeDrain({ isStopping });
		}
		if (this._core.tables.isStale) {
			return 'The entry has lost contact with the keepers.';
		}
		return undefined;
	}

	private _readStats(): object {
		const { stats, jobs, epoch, revision, workers, pools } = this._core.tables;
		const { user, system } = process.cpuUsage();
		return {
			processId: this._identity.processId,
			policy: this._options.settings.policy,
			revision,
			epoch,
			tablesAgeMs: Math.round(this._control.getMaxStateAgeMs()),
			openJobs: jobs.size,
			workers: workers.size,
			relayedAgents: this._controlRelay.size,
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

/** Buffers inputs until the tick loop that receives them exists. */
class InputBuffer {
	private _buffered: EntryInput[] = [];
	private _receiver: ((input: EntryInput) => void) | undefined;

	push(input: EntryInput): void {
		if (this._receiver === undefined) {
			this._buffered.push(input);
			return;
		}
		this._receiver(input);
	}

	connect(receiver: (input: EntryInput) => void): void {
		this._receiver = receiver;
		for (const input of this._buffered) {
			receiver(input);
		}
		this._buffered = [];
	}
}

async function listenForHttp(address: string): Promise<Server> {
	const server = createServer();
	try {
		await listenOn(server, address);
	} catch (error) {
		const message = `${describeError(error)} Choose another address or port.`;
		throw new SettingsError([{ file: 'settings', key: 'httpAddress', message }]);
	}
	return server;
}
