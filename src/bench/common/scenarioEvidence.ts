/** What a run left behind beside response times: whether the system did what its scenario asks for. */

import type { JournalEvent } from '../../standins/common/journal.js';
import { taskKey } from '../../protocol/common/jobs.js';
import type { EndedJob } from './benchSummary.js';

/** Time after its cancellation within which a task may still start: a message is on its way. */
export const cancelGraceMs = 250;

/** What became of the tasks of jobs whose readers gave up. */
export interface CancelledTasks {
	readonly tasks: number;
	/** Tasks that vanished without having started. */
	readonly neverStarted: number;
	/** Tasks that were stopped while they ran. */
	readonly stopped: number;
	/** Tasks that started later than {@link cancelGraceMs} after their reader had given up. */
	readonly startedLate: number;
}

/** What is looked at beside response times. */
export interface ScenarioEvidence {
	/** Times that a worker was taken out for its failures, and taken back after a probe. */
	readonly ejections: number;
	readonly takenBack: number;
	/** Share of all starts at the worker that fails or straggles; absent in other scenarios. */
	readonly oddWorkerStartShare?: number | undefined;
	readonly cancelled: CancelledTasks;
	/** Frames that carried cancellations between processes, and the tasks and jobs named in them. */
	readonly cancelFrames: number;
	readonly cancelItems: number;
	/**
	 * Jobs answered as failed of which no task failed, and none ran at a worker when it was killed. A start that was
	 * queued at a killed worker leaves no trace and counts here too.
	 */
	readonly failuresWithoutCause: number;
	/** Mean run time that the pool's home has learned, and the true one of the tasks that ended well. */
	readonly learnedRunMs: number;
	readonly trueRunMs: number;
}

/** One event of a journal, with the name of the upstream that wrote it. */
export interface UpstreamEvent extends JournalEvent {
	readonly upstream: string;
}

/** What a run recorded of one job. */
export interface ObservedJob {
	readonly tokens: readonly string[];
	readonly outcome: EndedJob['outcome'];
	/** Wall-clock time at which the reader gave up; absent when it waited. */
	readonly cancelledAtMs?: number | undefined;
}

/** What the evidence is found in. */
export interface EvidenceInput {
	readonly events: readonly UpstreamEvent[];
	readonly jobs: readonly ObservedJob[];
	/** Upstreams that were killed with their agents. */
	readonly killedUpstreams: ReadonlySet<string>;
	/** Upstream that fails or straggles. */
	readonly oddUpstream?: string | undefined;
	/** Events that entries logged. */
	readonly ejections: number;
	readonly takenBack: number;
	readonly cancelFrames: number;
	readonly cancelItems: number;
	readonly learnedRunMs: number;
}

/** What the journals say of one task. */
interface ObservedTask {
	readonly upstream: string;
	readonly startedAtMs: number;
	endedAtMs?: number;
	end?: 'end' | 'fail' | 'stop' | 'abort';
}

/**
 * Finds the evidence of a run.
 *
 * @example
 * const { failuresWithoutCause } = findEvidence(input);
 */
export function findEvidence(input: EvidenceInput): ScenarioEvidence {
	const tasks = observeTasks(input.events);
	const failed = input.jobs.filter((job) => job.outcome === 'ranAndFailed' || job.outcome === 'mayHaveRun');
	const starts = input.events.filter(({ event }) => event === 'start');
	const atOddWorker = starts.filter(({ upstream }) => upstream === input.oddUpstream).length;
	const { ejections, takenBack, cancelFrames, cancelItems, learnedRunMs } = input;
	return {
		ejections,
		takenBack,
		oddWorkerStartShare:
			input.oddUpstream === undefined ? undefined : round(atOddWorker / Math.max(1, starts.length)),
		cancelled: countCancelled(input.jobs, tasks),
		cancelFrames,
		cancelItems,
		failuresWithoutCause: failed.filter((job) => !hasCause(job, tasks, input.killedUpstreams)).length,
		learnedRunMs,
		trueRunMs: meanRunMs(tasks),
	};
}

/** Tasks by their tokens. */
function observeTasks(events: readonly UpstreamEvent[]): Map<string, ObservedTask> {
	const byIdentity = new Map<string, ObservedTask>();
	const byToken = new Map<string, ObservedTask>();
	for (const event of events) {
		const identity = taskKey(event);
		const task = byIdentity.get(identity);
		switch (event.event) {
			case 'start':
				byIdentity.set(identity, { upstream: event.upstream, startedAtMs: event.timeMs });
				break;
			case 'payload':
				if (task !== undefined && event.token !== undefined) {
					byToken.set(event.token, task);
				}
				break;
			case 'end':
			case 'fail':
			case 'stop':
			case 'abort':
				if (task !== undefined) {
					task.end = event.event;
					task.endedAtMs = event.timeMs;
				}
				break;
			default:
		}
	}
	return byToken;
}

function countCancelled(
	jobs: readonly ObservedJob[],
	tasks: ReadonlyMap<string, ObservedTask>,
): CancelledTasks {
	const counts = { tasks: 0, neverStarted: 0, stopped: 0, startedLate: 0 };
	for (const { tokens, cancelledAtMs } of jobs) {
		if (cancelledAtMs === undefined) {
			continue;
		}
		for (const token of tokens) {
			const task = tasks.get(token);
			counts.tasks += 1;
			counts.neverStarted += task === undefined ? 1 : 0;
			counts.stopped += task?.end === 'stop' ? 1 : 0;
			counts.startedLate += (task?.startedAtMs ?? 0) > cancelledAtMs + cancelGraceMs ? 1 : 0;
		}
	}
	return counts;
}

/** Whether a task of a failed job failed, or was lost with a killed worker. */
function hasCause(
	job: ObservedJob,
	tasks: ReadonlyMap<string, ObservedTask>,
	killedUpstreams: ReadonlySet<string>,
): boolean {
	return job.tokens.some((token) => {
		const task = tasks.get(token);
		return task?.end === 'fail' || (killedUpstreams.has(task?.upstream ?? '') && task?.end !== 'end');
	});
}

function meanRunMs(tasks: ReadonlyMap<string, ObservedTask>): number {
	const runsMs = [...tasks.values()].flatMap(({ end, endedAtMs, startedAtMs }) =>
		end === 'end' && endedAtMs !== undefined ? [endedAtMs - startedAtMs] : [],
	);
	return Math.round(runsMs.reduce((sum, runMs) => sum + runMs, 0) / Math.max(1, runsMs.length));
}

function round(share: number): number {
	return Number(share.toFixed(4));
}
