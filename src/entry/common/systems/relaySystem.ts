/** Handles messages from other entries. */

import { match } from 'ts-pattern';
import type {
	EntryToEntryMessage,
	RelayJobsMessage,
	RelayAnswer,
} from '../../../protocol/common/entryMessages.js';
import type { JobAnswer, JobSubmission } from '../../../protocol/common/jobs.js';
import { addJob, finishJob, withMeasuredNeeds } from '../jobLifecycle.js';
import { JobRow } from '../jobRow.js';
import { answerRefusedJob } from '../jobAnswer.js';
import { isKeyReused, keyReusedAnswer, recallAnswer, staleTablesRefusal } from './admissionSystem.js';
import { cancelJob, cancelByJobId } from './cancelSystem.js';
import { resumeAfterHandOver, acceptHandOver } from './handOverSystem.js';
import { queueQuotaDemand, applyQuotaHandOver } from './quotaGranterSystem.js';
import { applyQuotaGrant } from './quotaLeaseSystem.js';
import { homeMovedAnswer, routeJob, waitForHome, type RoutingContext } from './routingSystem.js';

/**
 * Delay before a job is routed again after another entry said that it isn't the home. One of the two entries then has
 * an older directory.
 */
const rerouteDelayMs = 50;

/** Applies a message from another entry. */
export function applyEntryMessage(
	context: RoutingContext,
	sessionId: number,
	message: EntryToEntryMessage,
): void {
	const peer = context.tables.sessions.get(sessionId);
	if (peer === undefined) {
		return;
	}
	match(message)
		.with({ kind: 'relayJobs' }, (relayed) => {
			acceptRelayedJobs(context, peer.processId, sessionId, relayed);
		})
		.with({ kind: 'relayAnswers' }, ({ answers }) => {
			for (const answer of answers) {
				applyRelayedAnswer(context, peer, answer);
			}
		})
		.with({ kind: 'relayCancel' }, ({ submissionIds }) => {
			for (const submissionId of submissionIds) {
				applyRelayCancel(context, peer.processId, submissionId);
			}
		})
		.with({ kind: 'cancelJobs' }, ({ jobIds }) => {
			for (const jobId of jobIds) {
				cancelByJobId(context.tables, jobId, false);
			}
		})
		.with({ kind: 'handOver' }, (handOver) => {
			acceptHandOver(context.tables, peer.processId, handOver);
		})
		.with({ kind: 'handOverTaken' }, (taken) => {
			resumeAfterHandOver(context.tables, taken);
		})
		.with({ kind: 'quotaDemand' }, (demand) => {
			queueQuotaDemand(context.tables, sessionId, peer, demand);
		})
		.with({ kind: 'quotaGrant' }, (granted) => {
			applyQuotaGrant(context.tables, granted);
		})
		.with({ kind: 'quotaHandOver' }, (handedOver) => {
			applyQuotaHandOver(context.tables, handedOver);
		})
		.exhaustive();
}

function acceptRelayedJobs(
	context: RoutingContext,
	relayer: string,
	sessionId: number,
	{ jobs }: RelayJobsMessage,
): void {
	for (const submission of jobs) {
		const answer = acceptRelayedJob(context, relayer, submission);
		if (answer !== undefined) {
			const { submissionId } = submission;
			context.tables.outbox.forSession(sessionId).relayedAnswers.push({ submissionId, answer });
		}
	}
}

/** Accepts one relayed job. Returns its answer if that is known at once. */
function acceptRelayedJob(
	context: RoutingContext,
	relayer: string,
	submission: JobSubmission,
): JobAnswer | undefined {
	const { tables } = context;
	const existing = tables.jobs.get(submission.submissionId);
	if (existing !== undefined) {
		return joinRelayedJob(existing, relayer, submission);
	}
	const remembered = recallAnswer(tables, submission);
	if (remembered !== undefined) {
		return remembered;
	}
	if (submission.isRepeated === true) {
		return forgottenJobAnswer;
	}
	const row = tables.routeRows.get(submission.route);
	if (row === undefined || tables.getOrCreatePool(row.pool).home.kind !== 'self') {
		return homeMovedAnswer;
	}
	const job = new JobRow(withMeasuredNeeds(tables, submission, row.pool), row.pool, tables.nowMs);
	if (tables.isStale) {
		return answerRefusedJob(job, staleTablesRefusal);
	}
	job.relayingEntries.add(relayer);
	addJob(tables, job);
	routeJob(context, job);
	return undefined;
}

/** Answer to a repeated relay of a job that this entry doesn't know. The job may have finished and been forgotten. */
const forgottenJobAnswer: JobAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'entryLost',
	message: 'The connection between two entries broke, and the outcome of the job is not known.',
};

/**
 * Adds a relaying entry to a known job. A job that this entry itself relays is refused, because two entries could
 * otherwise wait for each other.
 */
function joinRelayedJob(existing: JobRow, relayer: string, submission: JobSubmission): JobAnswer | undefined {
	if (isKeyReused(existing, submission)) {
		return keyReusedAnswer;
	}
	if (existing.phase === 'relayed' || existing.phase === 'waitingForHome') {
		return homeMovedAnswer;
	}
	existing.relayingEntries.add(relayer);
	return undefined;
}

/** Answers a relayed job, or routes it again if the asked entry isn't the home. */
function applyRelayedAnswer(
	context: RoutingContext,
	peer: { readonly processId: string; readonly incarnation: string },
	{ submissionId, answer }: RelayAnswer,
): void {
	const { tables, outputs } = context;
	const job = tables.jobs.get(submissionId);
	if (job?.phase !== 'relayed' || job.relayedTo?.processId !== peer.processId) {
		return;
	}
	if (answer.status === 'notRun' && answer.reason === 'homeUnreachable') {
		job.nextRoutingMs = tables.nowMs + rerouteDelayMs;
		job.relayedTo = undefined;
		tables.getOrCreatePool(job.pool).earlierOwnerBySubmission.delete(submissionId);
		waitForHome(tables, job);
		return;
	}
	finishJob(tables, outputs, job, answer);
}

/** Removes a relaying entry whose reader no longer waits, and cancels the job if nobody else waits for it. */
function applyRelayCancel(context: RoutingContext, relayer: string, submissionId: string): void {
	const job = context.tables.jobs.get(submissionId);
	if (job?.relayingEntries.has(relayer) !== true) {
		return;
	}
	if (job.readers.length + job.relayingEntries.size === 1) {
		// The relayer is kept, because it needs the answer to end the job at its side.
		cancelJob(context.tables, job);
		return;
	}
	job.relayingEntries.delete(relayer);
}
