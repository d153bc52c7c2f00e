/** Daemon of the agent: connects the core to sockets, timers and the worker platform. */

import { delay } from '../../base/common/async.js';
import type { IClock } from '../../base/common/clock.js';
import { Disposable, toDisposable } from '../../base/common/disposable.js';
import type { IControlPlane } from '../../control/common/controlPlane.js';
import type { IDaemon } from '../../services/daemon/node/daemon.js';
import type { IMetricsService } from '../../services/metrics/common/metrics.js';
import type { ILogService } from '../../services/log/common/log.js';
import { defaultConnectionLimits, type PeerIdentity } from '../../services/transport/common/transport.js';
import { nextDeadlineMs, runTick } from '../common/agentCore.js';
import type { AgentInput, AgentOutput } from '../common/agentInputs.js';
import { AgentMetrics } from '../common/agentMetrics.js';
import type { AgentSettings } from '../common/agentSettings.js';
import { AgentTables, type PublishedState } from '../common/agentTables.js';
import type { Announcement } from '../common/announcement.js';
import type { WorkerPlatform } from '../common/workerPlatform.js';
import { AnnounceServer, type IAnnounceServerDelegate, type UpstreamStatus } from './announceServer.js';
import { EntryConnections } from './entryConnections.js';

/** Longest time that a drain waits for the entries to acknowledge the last outcomes. */
const maxAcknowledgementWaitMs = 2000;
/** Time between two checks of whether a drain is complete. */
const drainPollIntervalMs = 20;
/** Time between heartbeats to an entry; a third of the silence after which the entry considers the agent lost. */
const heartbeatIntervalMs = 500;
/** Time between two reports of the gauges to the metrics service. */
const gaugeIntervalMs = 10_000;
/** Longest delay of the deadline timer. */
const maxTimerDelayMs = 60_000;

/** Services that the daemon uses. It owns the control plane and the platform, and disposes them. */
export interface AgentServices {
	readonly identity: PeerIdentity;
	readonly controlPlane: IControlPlane;
	readonly platform: WorkerPlatform;
	readonly clock: IClock;
	readonly log: ILogService;
	readonly metrics: IMetricsService;
}

/** Runs an agent: collects inputs, runs the ticks of the core, and executes their outputs. */
export class AgentDaemon extends Disposable implements IDaemon, IAnnounceServerDelegate {
	private readonly _tables: AgentTables;
	private readonly _entryConnections: EntryConnections;
	private readonly _metrics: AgentMetrics;
	/** Inputs of the next tick. */
	private _pendingInputs: AgentInput[] = [];
	private _isTickScheduled = false;
	private _deadlineTimer: NodeJS.Timeout | undefined;
	/** Time at which the deadline timer fires; infinite when it isn't set. */
	private _timerDueAtMs = Infinity;
	private _lastPublishedState: PublishedState | undefined;

	private constructor(
		private readonly _settings: AgentSettings,
		private readonly _services: AgentServices,
	) {
		super();
		const { identity, controlPlane, platform, log } = _services;
		this._register(controlPlane);
		this._register(platform);
		this._tables = new AgentTables({ ..._settings, incarnation: identity.incarnation });
		this._metrics = new AgentMetrics(_services.metrics, this._tables);
		const connectionLimits = { ...defaultConnectionLimits, heartbeatIntervalMs };
		const connectionOptions = { identity, secret: _settings.sharedSecret, limits: connectionLimits };
		this._entryConnections = this._register(new EntryConnections(connectionOptions, log));
		const gaugeTimer = setInterval(() => {
			this._metrics.sendGauges();
		}, gaugeIntervalMs);
		this._register(
			toDisposable(() => {
				clearTimeout(this._deadlineTimer);
				clearInterval(gaugeTimer);
			}),
		);
		this._subscribeToEvents();
	}

	/**
	 * Starts an agent and resolves once it accepts announcements.
	 *
	 * @throws TransportError when the announce address can't be bound
	 * @example
	 * const daemon = await AgentDaemon.start(settings, services);
	 */
	static async start(settings: AgentSettings, services: AgentServices): Promise<AgentDaemon> {
		const daemon = new AgentDaemon(settings, services);
		const server = await AnnounceServer.listen(settings.announceAddress, daemon);
		daemon._attachAnnounceServer(server);
		const { processId, incarnation } = services.identity;
		services.log.info('process.ready', { announceAddress: server.address, processId, incarnation });
		return daemon;
	}

	getUpstreamStatus(): UpstreamStatus {
		const { options, upstream, tasks, publishedState: published } = this._tables;
		return {
			agentId: options.processId,
			agentIncarnation: options.incarnation,
			upstreamId: upstream?.upstreamId,
			isLeaving: published.isLeaving,
			queuedTasks: tasks.queue.length,
			runningTasks: tasks.runningCount,
		};
	}

	findConflict(announcement: Announcement): string | undefined {
		const { upstream } = this._tables;
		if (upstream === undefined || upstream.address === announcement.address) {
			return undefined;
		}
		if (upstream.upstreamId === announcement.upstreamId || upstream.isWithdrawn) {
			return undefined;
		}
		return `Upstream ${upstream.upstreamId} at ${upstream.address} is already announced to this agent; each upstream needs its own agent.`;
	}

	async drain(): Promise<void> {
		this._enqueueInput({ kind: 'drainAsked' });
		const { tasks } = this._tables;
		do {
			await delay(drainPollIntervalMs);
		} while (tasks.runningCount > 0 || tasks.queue.length > 0);
		const deadlineMs = this._services.clock.nowMs() + maxAcknowledgementWaitMs;
		while (this._hasUnacknowledgedOutcomes() && this._services.clock.nowMs() < deadlineMs) {
			await delay(drainPollIntervalMs);
		}
		this._entryConnections.endAll();
	}

	/** Turns the events of the control plane, the platform and the entry connections into inputs of the core. */
	private _subscribeToEvents(): void {
		const { controlPlane, platform } = this._services;
		let hasReceivedDirectory = false;
		const handleControlState = (): void => {
			const { tables, scope, directory } = controlPlane.state;
			// Tables with other rows can arrive under the same revision, so the objects are compared.
			if (tables !== this._tables.declarations) {
				this._enqueueInput({ kind: 'tablesChanged', tables, scope });
			}
			if (directory.epoch > 0 && !hasReceivedDirectory) {
				hasReceivedDirectory = true;
				this._enqueueInput({ kind: 'directorySeen', epoch: directory.epoch });
			}
			this._entryConnections.updateEntries(directory.entries);
		};
		this._register(controlPlane.onDidChangeState(handleControlState));
		this._register(
			platform.onDidReport((report) => {
				this._enqueueInput(report);
			}),
		);
		this._register(
			this._entryConnections.onDidConnect((connection) => {
				this._enqueueInput({ kind: 'entryConnected', ...connection });
			}),
		);
		this._register(
			this._entryConnections.onDidClose((connectionId) => {
				this._enqueueInput({ kind: 'entryClosed', connectionId });
			}),
		);
		this._register(
			this._entryConnections.onDidReceive((received) => {
				this._enqueueInput({
					kind: 'entryMessage',
					...received,
					tablesAgeMs: controlPlane.getMaxStateAgeMs(),
				});
			}),
		);
		handleControlState();
	}

	/** Turns the events of the announce server into inputs, and publishes the first status to the keepers. */
	private _attachAnnounceServer(server: AnnounceServer): void {
		this._register(server);
		this._register(
			server.onDidAnnounce((announcement) => {
				this._enqueueInput({ kind: 'announced', announcement });
			}),
		);
		this._register(
			server.onDidWithdraw(() => {
				this._enqueueInput({ kind: 'withdrawn' });
			}),
		);
		this._publishStatus();
	}

	/** Queues an input for the next tick, which handles all inputs of one turn of the event loop. */
	private _enqueueInput(input: AgentInput): void {
		this._pendingInputs.push(input);
		if (this._isTickScheduled || this._isDisposed) {
			return;
		}
		this._isTickScheduled = true;
		setImmediate(() => {
			this._runTick();
		});
	}

	private _runTick(): void {
		this._isTickScheduled = false;
		if (this._isDisposed) {
			return;
		}
		const inputs = this._pendingInputs;
		this._pendingInputs = [];
		const nowMs = this._services.clock.nowMs();
		const outputs = runTick(this._tables, inputs, nowMs);
		for (const output of outputs) {
			this._executeOutput(output);
		}
		this._metrics.countOutputs(outputs);
		this._publishStatus();
		this._setDeadlineTimer(nowMs);
	}

	/** Sets the timer to the next deadline of the core, unless it already fires before then. */
	private _setDeadlineTimer(nowMs: number): void {
		const dueAtMs = Math.min(nextDeadlineMs(this._tables), nowMs + maxTimerDelayMs);
		// A timer that fires early costs one idle tick; setting a new timer in every tick would cost more.
		if (this._timerDueAtMs <= dueAtMs) {
			return;
		}
		clearTimeout(this._deadlineTimer);
		this._timerDueAtMs = dueAtMs;
		const delayMs = Math.max(1, Math.ceil(dueAtMs - nowMs));
		this._deadlineTimer = setTimeout(() => {
			this._timerDueAtMs = Infinity;
			this._runTick();
		}, delayMs);
	}

	private _executeOutput(output: AgentOutput): void {
		const { platform, log } = this._services;
		switch (output.kind) {
			case 'send':
				this._entryConnections.send(output.connectionId, output.message);
				return;
			case 'startRun':
				platform.start(output.run);
				return;
			case 'stopRun':
				platform.stop(output.runId);
				return;
			case 'abandonRun':
				platform.abandon(output.runId);
				return;
			case 'throttleRun':
				platform.throttle(output.runId, output.share);
				return;
			case 'checkpointRun':
				platform.checkpoint(output.runId);
				return;
			case 'sampleUsage':
				platform.sampleUsage();
				return;
			case 'useUpstream':
				platform.setUpstream(output.address, output.connections);
				return;
			case 'log':
				log[output.level](output.event, output.fields);
		}
	}

	/** Sends the status of the agent to the keepers when its published state has changed. */
	private _publishStatus(): void {
		const { publishedState: published, options } = this._tables;
		if (published === this._lastPublishedState) {
			return;
		}
		const previousRevision = this._lastPublishedState?.revision ?? 0;
		if (published.revision !== previousRevision) {
			this._services.log.info('tables.inForce', { revision: published.revision, previousRevision });
		}
		this._lastPublishedState = published;
		this._services.controlPlane.setStatus({
			dataCentre: options.dataCentre,
			rack: options.rack,
			isDraining: published.isLeaving,
			revisionInForce: published.revision,
			drainTimeoutMs: this._settings.drainTimeoutMs,
			offer: published.offer,
		});
	}

	/** Returns whether an outcome still waits for the acknowledgement of a connected entry. */
	private _hasUnacknowledgedOutcomes(): boolean {
		for (const entry of this._tables.entries.values()) {
			for (const record of this._tables.tasks.getUnacknowledged(entry)) {
				return record.end !== undefined;
			}
		}
		return false;
	}
}
