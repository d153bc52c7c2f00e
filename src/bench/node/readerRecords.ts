/** Reads what readers were told into the forms that the summary and the auditor take. */

import { z } from 'zod';
import type { ReaderOutcome, ReaderRecord } from '../../proof/common/auditRecords.js';
import type { EndedJob } from '../common/benchSummary.js';
import type { ArrivingJob } from '../common/workload.js';
import { tokenOf, type JobRecord } from './senderProtocol.js';

const resultSchema = z.object({ echo: z.object({ token: z.string() }) });

const answerSchema = z.discriminatedUnion('status', [
	z.object({ status: z.literal('complete'), results: z.array(z.unknown()) }),
	z.object({
		status: z.literal('failed'),
		outcome: z.enum(['ranAndFailed', 'mayHaveRun']),
		reason: z.string(),
	}),
	z.object({ status: z.literal('notRun'), reason: z.string() }),
]);

type Answer = z.output<typeof answerSchema>;

/** How a job ended, for the summary. */
export function toEndedJob(record: JobRecord): EndedJob {
	const { jobIndex, responseMs, sentLateMs } = record;
	return { jobIndex, responseMs, sentLateMs, outcome: outcomeOf(record) };
}

function outcomeOf(record: JobRecord): EndedJob['outcome'] {
	const answer = parseAnswer(record);
	if (answer === undefined) {
		return record.wasCancelled ? 'cancelled' : 'unanswered';
	}
	return answer.status === 'failed' ? answer.outcome : answer.status;
}

/** What a reader was told, for the auditor. */
export function toReaderRecord(
	record: JobRecord,
	jobs: readonly ArrivingJob[],
	startedAtMs: number,
): ReaderRecord {
	const answer = parseAnswer(record);
	const job = jobs[record.jobIndex];
	if (job === undefined) {
		throw new RangeError(`Job ${record.jobIndex} was never planned.`);
	}
	const sentAtMs = startedAtMs + job.arriveMs;
	return {
		entry: 'any',
		tokens: job.runMs.map((_, taskIndex) => tokenOf(record.jobIndex, taskIndex)),
		sentAtMs,
		endedAtMs: sentAtMs + record.responseMs,
		outcome: toOutcome(answer, record),
	};
}

function toOutcome(answer: Answer | undefined, record: JobRecord): ReaderOutcome {
	if (answer === undefined) {
		return record.wasCancelled
			? { kind: 'left' }
			: { kind: 'noAnswer', message: `HTTP ${record.httpStatus ?? '-'}` };
	}
	if (answer.status !== 'complete') {
		return { kind: answer.status, reason: answer.reason };
	}
	return { kind: 'complete', echoedTokens: answer.results.map((result) => echoedToken(result)) };
}

function echoedToken(result: unknown): string | undefined {
	const parsed = resultSchema.safeParse(result);
	return parsed.success ? parsed.data.echo.token : undefined;
}

function parseAnswer(record: JobRecord): Answer | undefined {
	if (record.body === undefined) {
		return undefined;
	}
	const parsed = answerSchema.safeParse(JSON.parse(record.body));
	return parsed.success ? parsed.data : undefined;
}
