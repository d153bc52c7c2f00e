/** Handles messages from other entries. */

import { match } from 'ts-pattern';
import type {
	EntryToEntryMessage,
	RelayJobsMessage,
	RelayAnswer,
} from '../../../protocol/common/entryMessages.js';
import type { JobAnswer, JobSubmission } from '../../../protocol/common/jobs.js';
import { addJob, finishJob, withExpectedNeeds } from '../jobLife.js';
import { JobRow } from '../jobRow.js';
import { refusedVerdict } from '../verdict.js';
import { isOtherJob, keyReusedAnswer, recall, staleTables } from './admissionSystem.js';
import { cancel, cancelByJobId } from './cancelSystem.js';
import { goOnAfterHandOver, takeHandOver } from './handOverSystem.js';
import { takeQuotaDemand, takeQuotaHandOver } from './quotaGranterSystem.js';
import { takeQuotaGrant } from './quotaSystem.js';
import { homeMoved, routeJob, waitForHome, type RoutingContext } from './routingSystem.js';

/** Pause after an entry said that it isn't the home: one of the two has an older directory. */
const routeAgainWaitMs = 50;

/** Takes a message from another entry. */
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
			takeRelayedJobs(context, peer.processId, sessionId, relayed);
		})
		.with({ kind: 'relayAnswers' }, ({ answers }) => {
			for (const answer of answers) {
				takeRelayedAnswer(context, peer, answer);
			}
		})
		.with({ kind: 'relayCancel' }, ({ submissionIds }) => {
			for (const submissionId of submissionIds) {
				dropRelayer(context, peer.processId, submissionId);
			}
		})
		.with({ kind: 'cancelJobs' }, ({ jobIds }) => {
			for (const jobId of jobIds) {
				cancelByJobId(context.tables, jobId, false);
			}
		})
		.with({ kind: 'handOver' }, (handOver) => {
			takeHandOver(context.tables, peer.processId, handOver);
		})
		.with({ kind: 'handOverTaken' }, (taken) => {
			goOnAfterHandOver(context.tables, taken);
		})
		.with({ kind: 'quotaDemand' }, (demand) => {
			takeQuotaDemand(context.tables, sessionId, peer, demand);
		})
		.with({ kind: 'quotaGrant' }, (granted) => {
			takeQuotaGrant(context.tables, granted);
		})
		.with({ kind: 'quotaHandOver' }, (handedOver) => {
			takeQuotaHandOver(context.tables, handedOver);
		})
		.exhaustive();
}

function takeRelayedJobs(
	context: RoutingContext,
	relayer: string,
	sessionId: number,
	{ jobs }: RelayJobsMessage,
): void {
	for (const submission of jobs) {
		const answer = takeRelayedJob(context, relayer, submission);
		if (answer !== undefined) {
			const { submissionId } = submission;
			context.tables.outbox.to(sessionId).relayedAnswers.push({ submissionId, answer });
		}
	}
}

/** Takes one relayed job. Returns an answer when it is known at once. */
function takeRelayedJob(
	context: RoutingContext,
	relayer: string,
	submission: JobSubmission,
): JobAnswer | undefined {
	const { tables } = context;
	const existing = tables.jobs.get(submission.submissionId);
	if (existing !== undefined) {
		return joinRelayed(existing, relayer, submission);
	}
	const remembered = recall(tables, submission);
	if (remembered !== undefined) {
		return remembered;
	}
	if (submission.isRepeated === true) {
		return forgotten;
	}
	const row = tables.routeRows.get(submission.route);
	if (row === undefined || tables.poolOf(row.pool).home.kind !== 'self') {
		return homeMoved;
	}
	const job = new JobRow(withExpectedNeeds(tables, submission, row.pool), row.pool, tables.nowMs);
	if (tables.isStale) {
		return refusedVerdict(job, staleTables);
	}
	job.relayers.add(relayer);
	addJob(tables, job);
	routeJob(context, job);
	return undefined;
}

/** Answer to a repeated relay of a job that this entry doesn't know: it may have finished and been forgotten. */
const forgotten: JobAnswer = {
	status: 'failed',
	outcome: 'mayHaveRun',
	reason: 'entryLost',
	message: 'The connection between two entries broke, and what became of the job can not be told.',
};

/** A job that is itself relayed elsewhere can't be waited for here: two entries could wait for each other. */
function joinRelayed(existing: JobRow, relayer: string, submission: JobSubmission): JobAnswer | undefined {
	if (isOtherJob(existing, submission)) {
		return keyReusedAnswer;
	}
	if (existing.phase === 'relayed' || existing.phase === 'waitingForHome') {
		return homeMoved;
	}
	existing.relayers.add(relayer);
	return undefined;
}

function takeRelayedAnswer(
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
		job.routeAgainMs = tables.nowMs + routeAgainWaitMs;
		job.relayedTo = undefined;
		tables.poolOf(job.pool).ownedElsewhere.delete(submissionId);
		waitForHome(tables, job);
		return;
	}
	finishJob(tables, outputs, job, answer);
}

/** Takes account of a relayer of which the reader has gone. */
function dropRelayer(context: RoutingContext, relayer: string, submissionId: string): void {
	const job = context.tables.jobs.get(submissionId);
	if (job?.relayers.has(relayer) !== true) {
		return;
	}
	if (job.readers.length + job.relayers.size === 1) {
		// The relayer stays, since it waits for the answer to close its own account.
		cancel(context.tables, job);
		return;
	}
	job.relayers.delete(relayer);
}
