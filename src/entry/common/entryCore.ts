/**
 * The core of an entry: systems that run over the tables in a fixed order, once a tick.
 *
 * A tick is a function of the tables, the inputs and the clock to the outputs: no socket, timer or disk is touched,
 * so a session can be replayed from its record.
 */

import { match } from 'ts-pattern';
import { SeededRandom } from '../../base/common/random.js';
import { EntryTables, type EntryCoreOptions } from './entryTables.js';
import { countAnswer, dropQueued, finishJob, hasIdleQueue } from './jobLife.js';
import type { TablesStamp } from './outbox.js';
import type { PlacementPolicy } from './policies/placementPolicy.js';
import { submitLocally } from './systems/admissionSystem.js';
import { cancelByJobId, dropReader } from './systems/cancelSystem.js';
import { applyControlState } from './systems/controlSystem.js';
import {
	answerJobsOfEndedDrain,
	answerLateJobs,
	refuseHopelessJobs,
	refuseSupersededJobs,
} from './systems/deadlineSystem.js';
import { mayGoOn, stopLateHandOvers, takeEarlyHandOver } from './systems/handOverSystem.js';
import { acknowledgeOldOutcomes, applyOutcomes } from './systems/outcomeSystem.js';
import { placeTasks } from './systems/placementSystem.js';
import { followGranter, noteBlindness } from './systems/quotaGranterSystem.js';
import { leaseQuotas } from './systems/quotaSystem.js';
import { applyEntryMessage } from './systems/relaySystem.js';
import {
	applyClaim,
	leavePool,
	routeJob,
	routeWaitingJobs,
	type RoutingContext,
} from './systems/routingSystem.js';
import { applyAgentState, closeSession, forgetLostWorkers } from './systems/sessionSystem.js';
import { applyKnownSubmissions, assumeHome, searchWaitingJobs } from './systems/searchSystem.js';
import { settleHomes, updateHomes } from './systems/tenureSystem.js';
import { emptyOutputs, type EntryInput, type EntryOutputs, type TickClock } from './tickTypes.js';
import { verdictOf } from './verdict.js';

/** Longest time between ticks: waits that no deadline covers are looked at this often. */
const maxTickIntervalMs = 100;
/** Time between looks at what changes slowly. */
const slowIntervalMs = 250;

/** Age that stands for all greater ones: tables that were never confirmed are infinitely old, which no frame can say. */
const maxStampedAgeMs = 86_400_000;

function stampOf({ revision, epoch, tablesAgeMs }: EntryTables): TablesStamp {
	return { revision, epoch, ageMs: Math.ceil(Math.min(tablesAgeMs, maxStampedAgeMs)) };
}

/** The core of one entry. */
export class EntryCore {
	readonly tables: EntryTables;
	private _nextSlowMs = 0;

	/** @param seed of the random choices; the same seed and inputs give the same outputs */
	constructor(
		options: EntryCoreOptions,
		private readonly _policy: PlacementPolicy,
		seed: number,
	) {
		this.tables = new EntryTables(options, new SeededRandom(seed));
	}

	/**
	 * Runs all systems once.
	 *
	 * @param inputs what has happened since the last tick, in order
	 * @example
	 * const outputs = core.tick([{ kind: 'submit', readerId: 1, jobId, submission }], { nowMs, tablesAgeMs: 0 });
	 */
	tick(inputs: readonly EntryInput[], clock: TickClock): EntryOutputs {
		const { tables } = this;
		const outputs = emptyOutputs();
		const { nowMs: lastTickMs, tablesAgeMs: lastAgeMs } = tables;
		tables.nowMs = clock.nowMs;
		tables.tablesAgeMs = clock.tablesAgeMs;
		noteBlindness(tables, lastTickMs, lastAgeMs);
		tables.startedMs ??= clock.nowMs;
		this._noteFreshness(clock, outputs);
		const context: RoutingContext = { tables, outputs, usesHome: this._policy.usesHome };
		for (const input of inputs) {
			this._apply(context, input);
		}
		answerLateJobs(tables, outputs);
		answerJobsOfEndedDrain(tables, outputs);
		if (tables.nowMs >= this._nextSlowMs) {
			this._nextSlowMs = tables.nowMs + slowIntervalMs;
			acknowledgeOldOutcomes(tables);
			forgetLostWorkers(tables);
			refuseHopelessJobs(tables);
			refuseSupersededJobs(tables);
		}
		if (this._policy.usesHome) {
			settleHomes(tables);
			stopLateHandOvers(tables);
			routeWaitingJobs(context);
		}
		placeTasks(tables, this._policy);
		if (leaseQuotas(tables, this._policy.usesHome)) {
			placeTasks(tables, this._policy);
		}
		this._answerJobs(outputs);
		tables.outbox.flush(stampOf(tables), outputs.frames);
		outputs.nextTickMs = Math.min(tables.deadlines.nextMs, tables.nowMs + maxTickIntervalMs);
		return outputs;
	}

	private _apply(context: RoutingContext, input: EntryInput): void {
		const { tables, outputs } = context;
		match(input)
			.with({ kind: 'submit' }, (submit) => {
				this._submit(context, submit);
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
				const hasMissed = applyControlState(tables, state);
				tables.mayHomesHaveMoved = true;
				followGranter(tables);
				this._followHomes(context, hasMissed);
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
				applyClaim(context, claim, outcome);
			})
			.with({ kind: 'readerGone' }, ({ readerId }) => {
				dropReader(tables, readerId);
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

	private _submit(context: RoutingContext, submit: Extract<EntryInput, { kind: 'submit' }>): void {
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

	private _followHomes(context: RoutingContext, hasMissedDirectories: boolean): void {
		if (!this._policy.usesHome) {
			return;
		}
		const { tables, outputs } = context;
		if (!mayGoOn(tables, hasMissedDirectories)) {
			// The homes that this entry handed its pools to have taken over what it went on with.
			for (const pool of tables.pools.values()) {
				if (pool.home.kind !== 'self') {
					leavePool(context, pool, false);
				}
			}
		}
		for (const { pool, before } of updateHomes(tables, outputs, hasMissedDirectories)) {
			if (pool.home.kind === 'self') {
				for (const worker of tables.workersOf(pool.name).members()) {
					assumeHome(tables, worker);
				}
				searchWaitingJobs(tables, pool.name);
				takeEarlyHandOver(tables, pool);
			} else {
				const mayGoOnHere = before.kind === 'self' && mayGoOn(tables, hasMissedDirectories);
				leavePool(context, pool, mayGoOnHere);
			}
		}
	}

	private _noteFreshness(clock: TickClock, outputs: EntryOutputs): void {
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

	private _answerJobs(outputs: EntryOutputs): void {
		const { tables } = this;
		for (const job of tables.changedJobs) {
			if (job.phase === 'answered' || job.phase === 'relayed') {
				continue;
			}
			if (hasIdleQueue(job)) {
				dropQueued(tables, job);
			}
			const answer = verdictOf(job);
			if (answer !== undefined) {
				finishJob(tables, outputs, job, answer);
			}
		}
		tables.changedJobs.clear();
	}
}
