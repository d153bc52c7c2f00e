/** Combines the claims and releases of all subscribers into few commands, so that one synced write serves many. */

import { Disposable } from '../../base/common/disposable.js';
import { describeError } from '../../base/common/errors.js';
import type { ILogService } from '../../services/log/common/log.js';
import type { IConnection } from '../../services/transport/common/transport.js';
import type {
	ClaimAnswer,
	ClaimAnswersMessage,
	ClaimOutcome,
	ClaimRequest,
	ReleaseAnswer,
} from '../../protocol/common/keeperMessages.js';
import type { IReplicatedLog } from '../../replication/common/replicatedLog.js';
import type { KeeperMetrics } from '../common/keeperMetrics.js';
import { decodeValue, encodeValue, type KeeperCommandResults } from '../common/keeperCommands.js';

/** Maximum number of claims and releases in one command, which keeps a command below a few hundred kilobytes. */
const maxRequestsPerCommand = 2000;

/** Maximum number of proposed commands without a result. More would only make the batches smaller. */
const maxCommandsInFlight = 4;

/** Maximum number of queued claims and releases, to bound memory. Further claims are answered `unknown` at once. */
const maxQueuedRequests = 50_000;

/** Time after which the result of a command counts as unknown. */
const proposeTimeoutMs = 2000;

/** A claim or release that waits to be proposed. */
interface QueuedRequest {
	readonly connection: IConnection;
	readonly request: ClaimRequest;
	readonly isRelease: boolean;
}

/** Queues claims and releases while earlier batches are being committed, and answers them on their connections. */
export class ClaimBatcher extends Disposable {
	private _queue: QueuedRequest[] = [];
	private _commandsInFlight = 0;
	private _isBatchScheduled = false;

	constructor(
		private readonly _replicatedLog: IReplicatedLog,
		private readonly _logService: ILogService,
		private readonly _metrics: KeeperMetrics,
	) {
		super();
	}

	/** Number of claims and releases that wait to be proposed. */
	get queueLength(): number {
		return this._queue.length;
	}

	/** Queues claims, each of which is answered on its connection; those beyond the limit get `unknown` at once. */
	claim(connection: IConnection, claims: readonly ClaimRequest[]): void {
		const freeSlots = Math.max(0, maxQueuedRequests - this._queue.length);
		this._enqueue(connection, claims.slice(0, freeSlots), false);
		const unknownAnswers = claims.slice(freeSlots).map((claim) => toClaimAnswer(claim, 'unknown'));
		if (unknownAnswers.length > 0) {
			this._metrics.countClaims(unknownAnswers.map(({ outcome }) => outcome));
			sendAnswers(connection, unknownAnswers, []);
		}
	}

	/** Queues releases and drops those beyond the limit: a subscriber resends a release that is not answered. */
	release(connection: IConnection, releases: readonly ClaimRequest[]): void {
		const freeSlots = Math.max(0, maxQueuedRequests - this._queue.length);
		this._enqueue(connection, releases.slice(0, freeSlots), true);
	}

	/** Resolves once the queue is empty and every proposed command has a result. */
	async flush(): Promise<void> {
		while (this._commandsInFlight > 0 || this._queue.length > 0) {
			await new Promise<void>((resolve) => setTimeout(resolve, 5));
		}
	}

	private _enqueue(connection: IConnection, requests: readonly ClaimRequest[], isRelease: boolean): void {
		for (const request of requests) {
			this._queue.push({ connection, request, isRelease });
		}
		this._scheduleBatch();
	}

	/** Schedules the next batch unless one is scheduled, too many commands are in flight, or the queue is empty. */
	private _scheduleBatch(): void {
		if (this._isBatchScheduled || this._commandsInFlight >= maxCommandsInFlight || this._queue.length === 0) {
			return;
		}
		this._isBatchScheduled = true;
		setImmediate(() => {
			this._isBatchScheduled = false;
			this._sendNextBatch().catch((error: unknown) => {
				this._logService.error('claims.failed', { message: describeError(error) });
			});
		});
	}

	/** Takes the next batch from the queue, proposes it, and answers its requests. */
	private async _sendNextBatch(): Promise<void> {
		const batch = this._queue.slice(0, maxRequestsPerCommand);
		if (batch.length === 0 || this._isDisposed) {
			return;
		}
		this._queue = this._queue.slice(maxRequestsPerCommand);
		this._commandsInFlight += 1;
		// Further requests need not wait for this batch.
		this._scheduleBatch();
		try {
			await this._commitAndAnswer(batch);
		} finally {
			this._commandsInFlight -= 1;
			this._scheduleBatch();
		}
	}

	/** Proposes a batch as one command. If it fails, claims are answered `unknown` and releases are not answered. */
	private async _commitAndAnswer(batch: readonly QueuedRequest[]): Promise<void> {
		const claims = batch.filter((queued) => !queued.isRelease);
		const releases = batch.filter((queued) => queued.isRelease);
		const command = encodeValue({
			kind: 'recordClaims',
			claims: claims.map((queued) => queued.request),
			releases: releases.map((queued) => queued.request),
		});
		const result = await this._replicatedLog.propose(command, proposeTimeoutMs);
		const outcomes = result.isOk()
			? (decodeValue(result.value) as KeeperCommandResults['recordClaims']).outcomes
			: undefined;
		const answers = new Map<IConnection, { answers: ClaimAnswer[]; released: ReleaseAnswer[] }>();
		const getOrCreateAnswers = (connection: IConnection) => {
			const connectionAnswers = answers.get(connection) ?? { answers: [], released: [] };
			answers.set(connection, connectionAnswers);
			return connectionAnswers;
		};
		this._metrics.countClaims(outcomes ?? claims.map(() => 'unknown'));
		claims.forEach(({ connection, request }, index) => {
			getOrCreateAnswers(connection).answers.push(toClaimAnswer(request, outcomes?.[index] ?? 'unknown'));
		});
		if (outcomes !== undefined) {
			for (const { connection, request } of releases) {
				getOrCreateAnswers(connection).released.push(toReleaseAnswer(request));
			}
		}
		for (const [connection, { answers: claimed, released }] of answers) {
			sendAnswers(connection, claimed, released);
		}
	}
}

function toClaimAnswer({ submissionId, claimNumber }: ClaimRequest, outcome: ClaimOutcome): ClaimAnswer {
	return { submissionId, claimNumber, outcome };
}

function toReleaseAnswer({ submissionId, claimNumber }: ClaimRequest): ReleaseAnswer {
	return { submissionId, claimNumber };
}

function sendAnswers(
	connection: IConnection,
	answers: readonly ClaimAnswer[],
	released: readonly ReleaseAnswer[],
): void {
	const message: ClaimAnswersMessage = { kind: 'claimAnswers', answers, released };
	connection.send(message);
}
