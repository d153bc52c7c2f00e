/** Joins the claims of all subscribers into few commands, so that one synced write serves many claims. */

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

/** Claims and releases in one command; keeps a command under a few hundred kilobytes. */
const maxBatch = 2000;

/** Commands that may be on their way; more would only split the batches. */
const maxInFlight = 4;

/** Claims that may wait. Beyond it they are answered `unknown` at once, so that memory stays bounded. */
const maxWaiting = 50_000;

const proposeTimeoutMs = 2000;

interface Waiting {
	readonly connection: IConnection;
	readonly request: ClaimRequest;
	readonly isRelease: boolean;
}

/** Gathers claims and releases while earlier ones are being written. */
export class ClaimBatcher extends Disposable {
	private _waiting: Waiting[] = [];
	private _inFlight = 0;
	private _isScheduled = false;

	constructor(
		private readonly _log: IReplicatedLog,
		private readonly _events: ILogService,
		private readonly _metrics: KeeperMetrics,
	) {
		super();
	}

	/** Claims and releases that wait to be written. */
	get waitingCount(): number {
		return this._waiting.length;
	}

	/** Queues claims; each is answered on its connection. */
	claim(connection: IConnection, claims: readonly ClaimRequest[]): void {
		const room = Math.max(0, maxWaiting - this._waiting.length);
		this._add(connection, claims.slice(0, room), false);
		const refused = claims.slice(room).map((claim) => toAnswer(claim, 'unknown'));
		if (refused.length > 0) {
			this._metrics.noteClaims(refused.map(({ outcome }) => outcome));
			send(connection, refused, []);
		}
	}

	/** Queues releases; one that is not answered is sent again by its subscriber. */
	release(connection: IConnection, releases: readonly ClaimRequest[]): void {
		const room = Math.max(0, maxWaiting - this._waiting.length);
		this._add(connection, releases.slice(0, room), true);
	}

	/** Resolves once nothing waits and nothing is on its way. */
	async flush(): Promise<void> {
		while (this._inFlight > 0 || this._waiting.length > 0) {
			await new Promise<void>((resolve) => setTimeout(resolve, 5));
		}
	}

	private _add(connection: IConnection, requests: readonly ClaimRequest[], isRelease: boolean): void {
		for (const request of requests) {
			this._waiting.push({ connection, request, isRelease });
		}
		this._schedule();
	}

	private _schedule(): void {
		if (this._isScheduled || this._inFlight >= maxInFlight || this._waiting.length === 0) {
			return;
		}
		this._isScheduled = true;
		setImmediate(() => {
			this._isScheduled = false;
			this._propose().catch((error: unknown) => {
				this._events.error('claims.failed', { message: describeError(error) });
			});
		});
	}

	private async _propose(): Promise<void> {
		const batch = this._waiting.slice(0, maxBatch);
		if (batch.length === 0 || this._isDisposed) {
			return;
		}
		this._waiting = this._waiting.slice(maxBatch);
		this._inFlight += 1;
		// Full batches need not wait for this one.
		this._schedule();
		try {
			await this._record(batch);
		} finally {
			this._inFlight -= 1;
			this._schedule();
		}
	}

	private async _record(batch: readonly Waiting[]): Promise<void> {
		const claims = batch.filter((waiting) => !waiting.isRelease);
		const releases = batch.filter((waiting) => waiting.isRelease);
		const command = encodeValue({
			kind: 'recordClaims',
			claims: claims.map((waiting) => waiting.request),
			releases: releases.map((waiting) => waiting.request),
		});
		const result = await this._log.propose(command, proposeTimeoutMs);
		const outcomes = result.isOk()
			? (decodeValue(result.value) as KeeperCommandResults['recordClaims']).outcomes
			: undefined;
		const answers = new Map<IConnection, { answers: ClaimAnswer[]; released: ReleaseAnswer[] }>();
		const answersOf = (connection: IConnection) => {
			const present = answers.get(connection) ?? { answers: [], released: [] };
			answers.set(connection, present);
			return present;
		};
		this._metrics.noteClaims(outcomes ?? claims.map(() => 'unknown'));
		claims.forEach(({ connection, request }, index) => {
			answersOf(connection).answers.push(toAnswer(request, outcomes?.[index] ?? 'unknown'));
		});
		if (outcomes !== undefined) {
			for (const { connection, request } of releases) {
				answersOf(connection).released.push(toRelease(request));
			}
		}
		for (const [connection, { answers: claimed, released }] of answers) {
			send(connection, claimed, released);
		}
	}
}

function toAnswer({ submissionId, claimNumber }: ClaimRequest, outcome: ClaimOutcome): ClaimAnswer {
	return { submissionId, claimNumber, outcome };
}

function toRelease({ submissionId, claimNumber }: ClaimRequest): ReleaseAnswer {
	return { submissionId, claimNumber };
}

function send(
	connection: IConnection,
	answers: readonly ClaimAnswer[],
	released: readonly ReleaseAnswer[],
): void {
	const message: ClaimAnswersMessage = { kind: 'claimAnswers', answers, released };
	connection.send(message);
}
