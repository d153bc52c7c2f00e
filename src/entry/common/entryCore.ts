/**
 * The core of an entry: systems that read and update the tables, run in a fixed order once per tick.
 *
 * The outputs of a tick depend only on the tables, the inputs and the clock. The core uses no socket, timer or disk, so
 * a recorded session can be replayed.
 */

import { match } from 'ts-pattern';
import { SeededRandom } from '../../base/common/random.js';
import { EntryTables, type EntryCoreOptions } from './entryTables.js';
import { countAnswer, dropQueuedTasks, finishJob, mustDropQueuedTasks } from './jobLifecycle.js';
import type { TablesStamp } from './outbox.js';
import type { PlacementPolicy } from './policies/placementPolicy.js';
import { submitLocally } from './systems/admissionSystem.js';
import { cancelByJobId, handleReaderGone } from './systems/cancelSystem.js';
import { applyControlState } from './systems/controlSystem.js';
import {
	answerJobsOfEndedDrain,
	answerExpiredJobs,
	refuseUnplaceableJobs,
	refuseSupersededJobs,
} from './systems/deadlineSystem.js';
import {
	mayContinueStartedJobs,
	stopTimedOutHandOvers,
	acceptEarlyHandOver,
} from './systems/handOverSystem.js';
import { acknowledgeOldOutcomes, applyOutcomes } from './systems/outcomeSystem.js';
import { placeTasks } from './systems/placementSystem.js';
import { updateGranter, restartTenureAfterGap } from './systems/quotaGranterSystem.js';
import { renewQuotaLeases } from './systems/quotaLeaseSystem.js';
import { applyEntryMessage } from './systems/relaySystem.js';
import {
	applyClaimOutcome,
	moveJobsToNewHome,
	routeJob,
	routeWaitingJobs,
	type RoutingContext,
} from './systems/routingSystem.js';
import { applyAgentState, closeSession, forgetLostWorkers } from './systems/sessionSystem.js';
import { applyKnownSubmissions, announceHome, searchWaitingJobs } from './systems/searchSystem.js';
import { settleHomes, updateHomes } from './systems/tenureSystem.js';
import { createEmptyOutputs, type EntryInput, type EntryOutputs, type TickClock } from './tickTypes.js';
import { decideAnswer } from './jobAnswer.js';

/** Longest time between ticks. Waits that have no deadline of their own are checked at this interval. */
const maxTickIntervalMs = 100;
/** Interval of the checks that don't need to run in every tick. */
const housekeepingIntervalMs = 250;

/**
 * Upper limit of the age that is sent or logged. Tables that were never confirmed have an infinite age, which frames
 * can't encode.
 */
const maxStampedAgeMs = 86_400_000;

function createTablesStamp({ revision, epoch, tablesAgeMs }: EntryTables): TablesStamp {
	return { revision, epoch, ageMs: Math.ceil(Math.min(tablesAgeMs, maxStampedAgeMs)) };
}

/** The core of one entry. */
export class EntryCore {
	readonly tables: EntryTables;
	private _nextHousekeepingMs = 0;

	/** @param seed seed of the random choices; the same seed and inputs give the same outputs */
	constructor(
		options: EntryCoreOptions,
		private readonly _policy: PlacementPolicy,
		seed: number,
	) {
		this.tables = new EntryTables(options, new SeededRandom(seed));
	}

	/**
	 * Applies the inputs and runs all systems once.
	 *
	 * @param inputs events since the last tick, in order
	 * @example
	 * const outputs = core.tick([{ kind: 'submit', readerId: 1, jobId, submission }], { nowMs, tablesAgeMs: 0 });
	 */
	tick(inputs: readonly EntryInput[], clock: TickClock): EntryOutputs {
		const { tables } = this;
		const outputs = createEmptyOutputs();
		const { nowMs: lastTickMs, tablesAgeMs: lastTablesAgeMs } = tables;
		tables.nowMs = clock.nowMs;
		tables.tablesAgeMs = clock.tablesAgeMs;
		restartTenureAfterGap(tables, lastTickMs, lastTablesAgeMs);
		tables.firstTickMs ??= clock.nowMs;
		this._updateFreshness(clock, outputs);
		const context: RoutingContext = { tables, outputs, usesHome: this._policy.usesHome };
		for (const input of inputs) {
			this._applyInput(context, input);
		}
		answerExpiredJobs(tables, outputs);
		answerJobsOfEndedDrain(tables, outputs);
		if (tables.nowMs >= this._nextHousekeepingMs) {
			this._nextHousekeepingMs = tables.nowMs + housekeepingIntervalMs;
			acknowledgeOldOutcomes(tables);
			forgetLostWorkers(tables);
			refuseUnplaceableJobs(tables);
			refuseSupersededJobs(tables);
		}
		if (this._policy.usesHome) {
			settleHomes(tables);
			stopTimedOutHandOvers(tables);
			routeWaitingJobs(context);
		}
		placeTasks(tables, this._policy);
		if (renewQuotaLeases(tables, this._policy.usesHome)) {
			placeTasks(tables, this._policy);
		}
		this._answerDecidedJobs(outputs);
		tables.outbox.flush(createTablesStamp(tables), outputs.frames);
		outputs.nextTickMs = Math.min(tables.deadlines.nextDeadlineMs, tables.nowMs + maxTickIntervalMs);
		return outputs;
	}

	private _applyInput(context: RoutingContext, input: EntryInput): void {
		const { tables, outputs } = context;
		match(input)
			.with({ kind: 'submit' }, (submit) => {
				this._applySubmit(context, submit);
			})
			.with({ kind: 'agentMessage' }, ({ sessionId, message }) => {
				match(message)
					.with({ kind: 'agentState' }, (state) => {
						applyAgentState(tables, sessionId, state, outputs);
					})
					.with({ kind: 'knownSubmissions' }, (known) => {
						applyKnownSubmissions(tables, sessionId, known);
					})
					.with({ kind: 'taskOutcomes' }, (ended) => {
						applyOutcomes(tables, sessionId, ended, outputs);
					})
					.exhaustive();
			})
			.with({ kind: 'entryMessage' }, ({ sessionId, message }) => {
				applyEntryMessage(context, sessionId, message);
			})
			.with({ kind: 'controlState' }, ({ state }) => {
				const hasMissedDirectories = applyControlState(tables, state);
				tables.mayHomesHaveMoved = true;
				updateGranter(tables);
				this._applyHomeChanges(context, hasMissedDirectories);
			})
			.with({ kind: 'peerOpened' }, ({ sessionId, peer }) => {
				tables.sessions.set(sessionId, peer);
				if (peer.role === 'entry') {
					tables.entrySessions.set(peer.processId, sessionId);
					tables.mayHomesHaveMoved = true;
				}
			})
			.with({ kind: 'peerClosed' }, ({ sessionId }) => {
				closeSession(tables, sessionId, outputs);
			})
			.with({ kind: 'claimAnswered' }, ({ claim, outcome }) => {
				applyClaimOutcome(context, claim, outcome);
			})
			.with({ kind: 'readerGone' }, ({ readerId }) => {
				handleReaderGone(tables, readerId);
			})
			.with({ kind: 'cancelJob' }, ({ jobId }) => {
				cancelByJobId(tables, jobId, true);
			})
			.with({ kind: 'drain' }, ({ answerWithinMs }) => {
				tables.isStopping = true;
				tables.drainEndsAtMs = tables.nowMs + answerWithinMs;
			})
			.exhaustive();
	}

	private _applySubmit(context: RoutingContext, submit: Extract<EntryInput, { kind: 'submit' }>): void {
		const result = submitLocally(context.tables, submit);
		if (result.isErr()) {
			countAnswer(context.tables, result.error);
			context.outputs.answers.push({ readerId: submit.readerId, answer: result.error });
			return;
		}
		if (result.value !== undefined) {
			routeJob(context, result.value);
		}
	}

	private _applyHomeChanges(context: RoutingContext, hasMissedDirectories: boolean): void {
		if (!this._policy.usesHome) {
			return;
		}
		const { tables, outputs } = context;
		if (!mayContinueStartedJobs(tables, hasMissedDirectories)) {
			// The new homes of the pools have taken over the jobs that this entry had continued after handing the pools over.
			for (const pool of tables.pools.values()) {
				if (pool.home.kind !== 'self') {
					moveJobsToNewHome(context, pool, false);
				}
			}
		}
		for (const { pool, before } of updateHomes(tables, outputs, hasMissedDirectories)) {
			if (pool.home.kind === 'self') {
				for (const worker of tables.workersInPool(pool.name).members()) {
					announceHome(tables, worker);
				}
				searchWaitingJobs(tables, pool.name);
				acceptEarlyHandOver(tables, pool);
			} else {
				const mayContinueHere =
					before.kind === 'self' && mayContinueStartedJobs(tables, hasMissedDirectories);
				moveJobsToNewHome(context, pool, mayContinueHere);
			}
		}
	}

	private _updateFreshness(clock: TickClock, outputs: EntryOutputs): void {
		const { tables } = this;
		const isStale = clock.tablesAgeMs > tables.options.freshnessLimitMs;
		if (isStale !== tables.isStale) {
			tables.isStale = isStale;
			outputs.events.push({
				level: isStale ? 'warn' : 'info',
				event: isStale ? 'tables.stale' : 'tables.fresh',
				fields: { ageMs: Math.round(Math.min(clock.tablesAgeMs, maxStampedAgeMs)) },
			});
		}
	}

	private _answerDecidedJobs(outputs: EntryOutputs): void {
		const { tables } = this;
		for (const job of tables.changedJobs) {
			if (job.phase === 'answered' || job.phase === 'relayed') {
				continue;
			}
			if (mustDropQueuedTasks(job)) {
				dropQueuedTasks(tables, job);
			}
			const answer = decideAnswer(job);
			if (answer !== undefined) {
				finishJob(tables, outputs, job, answer);
			}
		}
		tables.changedJobs.clear();
	}
}
