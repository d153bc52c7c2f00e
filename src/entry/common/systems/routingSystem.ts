/**
 * Decides which entry places a job's tasks: this one, or the pool's home, to which the whole job is relayed.
 *
 * A job that another entry may also hold (because it is keyed or was relayed) is started only by the pool's home after
 * its takeover, or under a claim at the keepers. This prevents two homes from starting the same task.
 */

import type { JobAnswer } from '../../../protocol/common/jobs.js';
import type { ClaimOutcome, ClaimRequest } from '../../../protocol/common/keeperMessages.js';
import type { EntryIncarnation, EntryTables } from '../entryTables.js';
import { admitJob, dequeueJob, enqueueJob, finishJob, releaseClaim, stopJob } from '../jobLifecycle.js';
import type { JobRow, RelayTarget } from '../jobRow.js';
import type { PoolHome, PoolState } from '../poolState.js';
import type { EntryOutputs } from '../tickTypes.js';
import { alreadySubmittedAnswer, answerAtDeadline, notRunAnswer, answerRefusedJob } from '../jobAnswer.js';
import { placementRefusal } from './admissionSystem.js';
import { handOverJobs, ownerElsewhere, stopForNewHome } from './handOverSystem.js';
import { isSearchInconclusive, needsSearch, searchJob } from './searchSystem.js';

/** Time that a job waits for its home before this entry places it. */
const homeWaitMs = 500;
/** Time that a job waits for its home before it is refused, if placing it here could start its tasks twice. */
const sharedJobHomeWaitMs = 2000;
const homeRetryAfterMs = 500;

/** Tables, outputs and policy settings that the routing functions use. */
export interface RoutingContext {
	readonly tables: EntryTables;
	readonly outputs: EntryOutputs;
	/** Whether the placement policy relays jobs to a home. */
	readonly usesHome: boolean;
}

/** Accepts a job at this entry, relays it to its owner or home, or lets it wait until that entry can be reached. */
export function routeJob(context: RoutingContext, job: JobRow): void {
	const { tables, usesHome } = context;
	const pool = tables.getOrCreatePool(job.pool);
	const owner = ownerElsewhere(tables, job);
	if (owner === undefined && (!usesHome || pool.home.kind === 'self')) {
		acceptJob(context, job);
		return;
	}
	const home: PoolHome = owner === undefined ? pool.home : { kind: 'other', ...owner };
	const sessionId = home.kind === 'other' ? tables.findSession(home) : undefined;
	if (home.kind === 'other' && sessionId !== undefined) {
		relayJob(tables, job, home, sessionId);
		return;
	}
	waitForHome(tables, job);
}

/** Lets a job wait until its home can be reached. */
export function waitForHome(tables: EntryTables, job: JobRow): void {
	job.withoutHomeSinceMs ??= tables.nowMs;
	if (job.phase !== 'waitingForHome') {
		job.enterPhase('waitingForHome', tables.nowMs);
	}
	tables.jobsAwaitingRouting.add(job);
}

/** Routes jobs again that wait for a home or a takeover, and relayed jobs whose home has changed. */
export function routeWaitingJobs(context: RoutingContext): void {
	const { tables } = context;
	rerouteRelayedJobs(context);
	for (const job of tables.jobsAwaitingRouting) {
		if (job.phase === 'settling') {
			routeJob(context, job);
		} else if (job.phase === 'waitingForHome' && tables.nowMs >= job.nextRoutingMs) {
			routeJob(context, job);
			endHomeWait(context, job);
		}
		if (job.phase !== 'settling' && job.phase !== 'waitingForHome') {
			tables.jobsAwaitingRouting.delete(job);
		}
	}
}

/** Checks relayed jobs after homes or connections have changed, and relays them again where needed. */
function rerouteRelayedJobs(context: RoutingContext): void {
	const { tables } = context;
	const { mayHomesHaveMoved, mayAnswersBeLost } = tables;
	if (!mayHomesHaveMoved && !mayAnswersBeLost) {
		return;
	}
	tables.mayHomesHaveMoved = false;
	tables.mayAnswersBeLost = false;
	for (const job of tables.jobs.values()) {
		if (job.phase === 'relayed') {
			rerouteRelayedJob(context, job, mayAnswersBeLost && job.taskCount === 1);
		}
	}
}

/** Applies the keepers' answer to a claim. */
export function applyClaimOutcome(context: RoutingContext, claim: ClaimRequest, outcome: ClaimOutcome): void {
	const { tables, outputs } = context;
	const job = tables.jobs.get(claim.submissionId);
	if (job?.phase !== 'claiming' || job.claimOwnerIncarnation !== claim.ownerIncarnation) {
		// The job has been answered `notRun` in the meantime, and the claim must not prevent its resubmission.
		if (outcome !== 'taken') {
			releaseClaim(tables, outputs, claim);
		}
		return;
	}
	if (outcome === 'taken') {
		finishJob(tables, outputs, job, alreadySubmittedAnswer);
		return;
	}
	if (outcome === 'unknown') {
		// The keepers may still record the claim for this entry. Releasing it allows the job to be resubmitted.
		job.mayHoldClaim = true;
		stopJob(tables, job, {
			reason: 'keepersUnreachable',
			message: 'The keepers could not record the claim that ensures that the job runs at most once.',
			retryAfterMs: homeRetryAfterMs,
		});
		return;
	}
	job.mayHoldClaim = true;
	enqueueJob(tables, job);
}

/**
 * Moves jobs that wait here to the pool's new home.
 *
 * @param mayContinueHere whether this entry may continue the jobs that it has started; if not, the remaining tasks of
 * those that another entry may hold too are never started
 */
export function moveJobsToNewHome(context: RoutingContext, pool: PoolState, mayContinueHere: boolean): void {
	const { tables } = context;
	const jobsToHandOver: JobRow[] = [];
	const claimedJobs: JobRow[] = [];
	for (const job of tables.jobs.values()) {
		const isHere = job.phase === 'placing' || job.phase === 'settling' || job.phase === 'handingOver';
		if (job.pool !== pool.name || !isHere) {
			continue;
		}
		if (job.mayHoldClaim) {
			claimedJobs.push(job);
		} else if (job.isUnstartedHere && job.stopRefusal === undefined) {
			rerouteUnstartedJob(context, job);
		} else if (job.isShared && (!mayContinueHere || job.phase === 'handingOver')) {
			stopForNewHome(tables, job);
		} else if (job.mayBeHeldElsewhere) {
			jobsToHandOver.push(job);
		}
	}
	if (mayContinueHere && pool.home.kind === 'other') {
		handOverJobs(tables, pool, jobsToHandOver, claimedJobs);
	}
}

/** Tells the entries that relayed a job that the home has moved, and routes it again if readers of this entry wait. */
function rerouteUnstartedJob(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (job.readers.length === 0) {
		finishJob(tables, outputs, job, homeMovedAnswer);
		return;
	}
	for (const relayer of job.relayingEntries) {
		const sessionId = tables.entrySessions.get(relayer);
		if (sessionId !== undefined) {
			const { submissionId } = job;
			tables.outbox.forSession(sessionId).relayedAnswers.push({ submissionId, answer: homeMovedAnswer });
		}
	}
	job.relayingEntries.clear();
	dequeueJob(tables, job);
	job.isAdmitted = false;
	routeJob(context, job);
}

/** Answer that makes the entry that relayed a job send it to the current home instead. Readers never receive it. */
export const homeMovedAnswer = notRunAnswer({
	reason: 'homeUnreachable',
	message: 'The home of the pool has moved to another entry.',
	retryAfterMs: homeRetryAfterMs,
});

/** Answer to a job whose home was lost together with a worker that may have run it. */
const lostHomeAnswer: JobAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'entryLost',
	message: 'The entry that placed the job was lost, and so was a worker that may have run it.',
};

/**
 * Admits or refuses a job. An admitted job is queued once its claim, this entry's takeover of the pool and the search
 * for its tasks are done, as far as it needs them. It fails if the search can't be conclusive.
 */
function acceptJob(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (!job.isAdmitted) {
		const refusal = placementRefusal(tables, job);
		if (refusal !== undefined) {
			job.stopRefusal = refusal;
			finishJob(tables, outputs, job, answerRefusedJob(job, refusal));
			return;
		}
		admitJob(tables, job);
	}
	if (!job.submission.repeatable) {
		requestClaim(context, job);
		return;
	}
	if (!context.usesHome || !needsSearch(tables, job)) {
		enqueueJob(tables, job);
		return;
	}
	if (tables.getOrCreatePool(job.pool).tenure?.isSettled !== true) {
		waitForTakeover(tables, job);
		return;
	}
	if (isSearchInconclusive(tables, job)) {
		finishJob(tables, outputs, job, lostHomeAnswer);
		return;
	}
	searchJob(tables, job);
}

/** Asks the keepers to record that a job that may run at most once is started by this entry. */
function requestClaim({ tables, outputs }: RoutingContext, job: JobRow): void {
	const { processId, incarnation } = tables.options;
	// A release that is still in transit must not remove the new claim, so the claim uses another owner incarnation.
	const releases = tables.claimReleaseCounts.get(job.submissionId) ?? 0;
	const ownerIncarnation = releases === 0 ? incarnation : `${incarnation}/${releases}`;
	job.claimOwnerIncarnation = ownerIncarnation;
	job.enterPhase('claiming', tables.nowMs);
	outputs.claims.push({ submissionId: job.submissionId, ownerId: processId, ownerIncarnation });
}

/** Lets a shared job wait until this entry's takeover of the pool is complete, so that it can be searched for. */
function waitForTakeover(tables: EntryTables, job: JobRow): void {
	if (job.phase !== 'settling') {
		job.enterPhase('settling', tables.nowMs);
	}
	tables.jobsAwaitingRouting.add(job);
}

/** Relays a job to its home, with the time that remains until its deadline. */
function relayJob(tables: EntryTables, job: JobRow, home: EntryIncarnation, sessionId: number): void {
	const { processId, incarnation } = home;
	const isRepeated = job.relayedTo?.processId === processId && job.relayedTo.incarnation === incarnation;
	job.relayedTo = { processId, incarnation, sessionId };
	job.enterPhase('relayed', tables.nowMs);
	const remainingMs = Math.max(0, Math.round(job.deadlineMs - tables.nowMs));
	const { mayHaveStarted } = job;
	job.relayedSinceMs ??= tables.nowMs;
	const ageMs = mayHaveStarted ? tables.nowMs - job.relayedSinceMs : undefined;
	tables.outbox
		.forSession(sessionId)
		.relayedJobs.push({ ...job.submission, remainingMs, mayHaveStarted, ageMs, isRepeated });
}

/**
 * Routes a relayed job to the current home if the entry that holds it is no longer in the directory. Otherwise repeats
 * the relay where the connection has changed or an answer may be lost.
 */
function rerouteRelayedJob(context: RoutingContext, job: JobRow, mayAnswerBeLost: boolean): void {
	const { tables, outputs } = context;
	const holder = job.relayedTo;
	if (holder === undefined) {
		return;
	}
	if (tables.isInDirectory(holder)) {
		repeatRelay(tables, job, holder, mayAnswerBeLost);
		return;
	}
	if (job.readers.length === 0) {
		finishJob(tables, outputs, job, answerAtDeadline(job));
		return;
	}
	job.mayHaveStarted = true;
	routeJob(context, job);
}

/**
 * Relays a job again to the entry that holds it, after a connection broke. That entry attaches the relay to the job or
 * returns the remembered answer.
 */
function repeatRelay(tables: EntryTables, job: JobRow, holder: RelayTarget, mayAnswerBeLost: boolean): void {
	const sessionId = tables.findSession(holder);
	if (sessionId !== undefined && (sessionId !== holder.sessionId || mayAnswerBeLost)) {
		relayJob(tables, job, holder, sessionId);
	}
}

/** Ends a job's wait for a home after the time limit: places the job here if that is safe, and otherwise refuses it. */
function endHomeWait(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (job.phase !== 'waitingForHome') {
		return;
	}
	const waitedMs = tables.nowMs - (job.withoutHomeSinceMs ?? tables.nowMs);
	const isSafeToStartHere = !job.isShared || !job.submission.repeatable;
	if (isSafeToStartHere && waitedMs >= homeWaitMs) {
		acceptJob(context, job);
		return;
	}
	if (!isSafeToStartHere && !job.mayHaveStarted && waitedMs >= sharedJobHomeWaitMs) {
		finishJob(tables, outputs, job, {
			status: 'notRun',
			reason: 'homeUnreachable',
			message: 'The entry that places the jobs of this pool cannot be reached from this entry.',
			retryAfterMs: homeRetryAfterMs,
		});
	}
}
