/**
 * Decides where a job's tasks are placed: by this entry, or by the pool's home, to which the whole job is relayed.
 *
 * A job that another entry may hold too (a keyed one, or one that was relayed) is started only by the pool's home,
 * after its takeover, or under a claim at the keepers. That keeps two homes from starting the same task.
 */

import type { JobAnswer } from '../../../protocol/common/jobs.js';
import type { ClaimOutcome, ClaimRequest } from '../../../protocol/common/keeperMessages.js';
import type { EntryRunKey, EntryTables } from '../entryTables.js';
import { admit, dequeue, enqueue, finishJob, releaseClaim, stopJob } from '../jobLife.js';
import type { JobRow, RelayTarget } from '../jobRow.js';
import type { PoolHome, PoolState } from '../poolState.js';
import type { EntryOutputs } from '../tickTypes.js';
import { alreadySubmitted, deadlineVerdict, notRun, refusedVerdict } from '../verdict.js';
import { refusalOfPool } from './admissionSystem.js';
import { handOver, ownerElsewhere, stopForNewHome } from './handOverSystem.js';
import { isSearchInVain, needsSearch, searchJob } from './searchSystem.js';

/** Time that a job waits for its home before this entry places it, or refuses it if that could start it twice. */
const homeWaitMs = 500;
const sharedHomeWaitMs = 2000;
const retryAfterHomeMs = 500;

/** What the routing needs besides the tables. */
export interface RoutingContext {
	readonly tables: EntryTables;
	readonly outputs: EntryOutputs;
	/** Whether the placement policy relays jobs to a home. */
	readonly usesHome: boolean;
}

/** Sends a job on its way: here, to its home, or into waiting for one. */
export function routeJob(context: RoutingContext, job: JobRow): void {
	const { tables, usesHome } = context;
	const pool = tables.poolOf(job.pool);
	const owner = ownerElsewhere(tables, job);
	if (owner === undefined && (!usesHome || pool.home.kind === 'self')) {
		takeJob(context, job);
		return;
	}
	const home: PoolHome = owner === undefined ? pool.home : { kind: 'other', ...owner };
	const sessionId = home.kind === 'other' ? tables.sessionWith(home) : undefined;
	if (home.kind === 'other' && sessionId !== undefined) {
		relay(tables, job, home, sessionId);
		return;
	}
	waitForHome(tables, job);
}

/** Lets a job wait until its home can be reached. */
export function waitForHome(tables: EntryTables, job: JobRow): void {
	job.homelessSinceMs ??= tables.nowMs;
	if (job.phase !== 'waitingForHome') {
		job.enter('waitingForHome', tables.nowMs);
	}
	tables.waitingJobs.add(job);
}

/** Looks again at jobs that wait for a home, for the takeover, or whose relay has lost its home. */
export function routeWaitingJobs(context: RoutingContext): void {
	const { tables } = context;
	followHomes(context);
	for (const job of tables.waitingJobs) {
		if (job.phase === 'settling') {
			routeJob(context, job);
		} else if (job.phase === 'waitingForHome' && tables.nowMs >= job.routeAgainMs) {
			routeJob(context, job);
			fallBack(context, job);
		}
		if (job.phase !== 'settling' && job.phase !== 'waitingForHome') {
			tables.waitingJobs.delete(job);
		}
	}
}

/** Looks again at relayed jobs after homes or connections have changed. */
function followHomes(context: RoutingContext): void {
	const { tables } = context;
	const { mayHomesHaveMoved, mayAnswersBeLost } = tables;
	if (!mayHomesHaveMoved && !mayAnswersBeLost) {
		return;
	}
	tables.mayHomesHaveMoved = false;
	tables.mayAnswersBeLost = false;
	for (const job of tables.jobs.values()) {
		if (job.phase === 'relayed') {
			followHome(context, job, mayAnswersBeLost && job.taskCount === 1);
		}
	}
}

/** Takes account of the keepers' answer to a claim. */
export function applyClaim(context: RoutingContext, claim: ClaimRequest, outcome: ClaimOutcome): void {
	const { tables, outputs } = context;
	const job = tables.jobs.get(claim.submissionId);
	if (job?.phase !== 'claiming' || job.claimOwner !== claim.ownerIncarnation) {
		// The job was answered `notRun` meanwhile, and a claim must not keep it from coming again.
		if (outcome !== 'taken') {
			releaseClaim(tables, outputs, claim);
		}
		return;
	}
	if (outcome === 'taken') {
		finishJob(tables, outputs, job, alreadySubmitted);
		return;
	}
	if (outcome === 'unknown') {
		// The claim may yet be recorded, for this entry: taking it back lets the job come again.
		job.isClaimed = true;
		stopJob(tables, job, {
			reason: 'keepersUnreachable',
			message: 'The keepers could not record that the job may run at most once.',
			retryAfterMs: retryAfterHomeMs,
		});
		return;
	}
	job.isClaimed = true;
	enqueue(tables, job);
}

/**
 * Moves jobs that wait here to the pool's new home.
 *
 * @param mayGoOnHere whether this entry may go on with those that it has begun; else their other tasks never start
 */
export function leavePool(context: RoutingContext, pool: PoolState, mayGoOnHere: boolean): void {
	const { tables } = context;
	const contested: JobRow[] = [];
	const claimed: JobRow[] = [];
	for (const job of tables.jobs.values()) {
		const isHere = job.phase === 'placing' || job.phase === 'settling' || job.phase === 'handingOver';
		if (job.pool !== pool.name || !isHere) {
			continue;
		}
		if (job.isClaimed) {
			claimed.push(job);
		} else if (job.isUntouched && job.stop === undefined) {
			passOn(context, job);
		} else if (job.isShared && (!mayGoOnHere || job.phase === 'handingOver')) {
			stopForNewHome(tables, job);
		} else if (job.mayBeHeldElsewhere) {
			contested.push(job);
		}
	}
	if (mayGoOnHere && pool.home.kind === 'other') {
		handOver(tables, pool, contested, claimed);
	}
}

/** Gives a job back to the entries that relayed it, and routes it anew for readers of this entry. */
function passOn(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (job.readers.length === 0) {
		finishJob(tables, outputs, job, homeMoved);
		return;
	}
	for (const relayer of job.relayers) {
		const sessionId = tables.entrySessions.get(relayer);
		if (sessionId !== undefined) {
			const { submissionId } = job;
			tables.outbox.to(sessionId).relayedAnswers.push({ submissionId, answer: homeMoved });
		}
	}
	job.relayers.clear();
	dequeue(tables, job);
	job.isAdmitted = false;
	routeJob(context, job);
}

/** Tells the entry that relayed a job to ask the present home instead; no reader sees it. */
export const homeMoved = notRun({
	reason: 'homeUnreachable',
	message: 'The home of the pool has moved to another entry.',
	retryAfterMs: retryAfterHomeMs,
});

const lostWithHome: JobAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'entryLost',
	message: 'The entry that placed the job was lost, and a worker that may have run it as well.',
};

/** Queues a job at this entry, once everything that must come before has been done. */
function takeJob(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (!job.isAdmitted) {
		const refusal = refusalOfPool(tables, job);
		if (refusal !== undefined) {
			job.stop = refusal;
			finishJob(tables, outputs, job, refusedVerdict(job, refusal));
			return;
		}
		admit(tables, job);
	}
	if (!job.submission.repeatable) {
		claim(context, job);
		return;
	}
	if (!context.usesHome || !needsSearch(tables, job)) {
		enqueue(tables, job);
		return;
	}
	if (tables.poolOf(job.pool).tenure?.isSettled !== true) {
		waitToSettle(tables, job);
		return;
	}
	if (isSearchInVain(tables, job)) {
		finishJob(tables, outputs, job, lostWithHome);
		return;
	}
	searchJob(tables, job);
}

function claim({ tables, outputs }: RoutingContext, job: JobRow): void {
	const { processId, incarnation } = tables.options;
	// A release that is still on its way must not hit the new claim, so each claim after one has another owner.
	const releases = tables.releasedClaims.get(job.submissionId) ?? 0;
	const ownerIncarnation = releases === 0 ? incarnation : `${incarnation}/${releases}`;
	job.claimOwner = ownerIncarnation;
	job.enter('claiming', tables.nowMs);
	outputs.claims.push({ submissionId: job.submissionId, ownerId: processId, ownerIncarnation });
}

/** Lets a shared job wait until this entry knows what it needs to search for it. */
function waitToSettle(tables: EntryTables, job: JobRow): void {
	if (job.phase !== 'settling') {
		job.enter('settling', tables.nowMs);
	}
	tables.waitingJobs.add(job);
}

function relay(tables: EntryTables, job: JobRow, home: EntryRunKey, sessionId: number): void {
	const { processId, incarnation } = home;
	const isRepeated = job.relayedTo?.processId === processId && job.relayedTo.incarnation === incarnation;
	job.relayedTo = { processId, incarnation, sessionId };
	job.enter('relayed', tables.nowMs);
	const remainingMs = Math.max(0, Math.round(job.deadlineMs - tables.nowMs));
	const { mayHaveStarted } = job;
	job.relayedSinceMs ??= tables.nowMs;
	const ageMs = mayHaveStarted ? tables.nowMs - job.relayedSinceMs : undefined;
	tables.outbox
		.to(sessionId)
		.relayedJobs.push({ ...job.submission, remainingMs, mayHaveStarted, ageMs, isRepeated });
}

/** Sends a relayed job to the present home once the one that has it is no longer in the directory. */
function followHome(context: RoutingContext, job: JobRow, mayAnswerBeLost: boolean): void {
	const { tables, outputs } = context;
	const holder = job.relayedTo;
	if (holder === undefined) {
		return;
	}
	if (tables.isListed(holder)) {
		repeatRelay(tables, job, holder, mayAnswerBeLost);
		return;
	}
	if (job.readers.length === 0) {
		finishJob(tables, outputs, job, deadlineVerdict(job));
		return;
	}
	job.mayHaveStarted = true;
	routeJob(context, job);
}

/** After a broken connection the home is asked again; it joins the job that it has, or knows the answer. */
function repeatRelay(tables: EntryTables, job: JobRow, holder: RelayTarget, mayAnswerBeLost: boolean): void {
	const sessionId = tables.sessionWith(holder);
	if (sessionId !== undefined && (sessionId !== holder.sessionId || mayAnswerBeLost)) {
		relay(tables, job, holder, sessionId);
	}
}

/** Ends the wait for a home that can't be reached. */
function fallBack(context: RoutingContext, job: JobRow): void {
	const { tables, outputs } = context;
	if (job.phase !== 'waitingForHome') {
		return;
	}
	const waitedMs = tables.nowMs - (job.homelessSinceMs ?? tables.nowMs);
	const isSafeHere = !job.isShared || !job.submission.repeatable;
	if (isSafeHere && waitedMs >= homeWaitMs) {
		takeJob(context, job);
		return;
	}
	if (!isSafeHere && !job.mayHaveStarted && waitedMs >= sharedHomeWaitMs) {
		finishJob(tables, outputs, job, {
			status: 'notRun',
			reason: 'homeUnreachable',
			message: 'The entry that places the jobs of this pool can not be reached from this one.',
			retryAfterMs: retryAfterHomeMs,
		});
	}
}
