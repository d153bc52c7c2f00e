/**
 * Lets an agent send the result of a relayed job directly to the entry where the reader waits, bypassing the home.
 *
 * The agent also reports the outcome to the home, which tracks the slots; the home then doesn't forward the answer. The
 * number of messages stays the same, and the answer takes one hop less. This applies only to jobs of one task, whose
 * result is the whole answer, and only to results: every other end of a task is handled by the home.
 *
 * An answer can be lost with the connection that it was sent on. An entry that loses its connection to an agent
 * therefore asks the home again about the jobs that may be affected, and the home remembers the answers to relayed jobs.
 */

import type { EntryRun, TaskOutcome } from '../../../protocol/common/agentMessages.js';
import type { EntryTables } from '../entryTables.js';
import { finishJob } from '../jobLifecycle.js';
import type { JobRow } from '../jobRow.js';
import type { EntryOutputs } from '../tickTypes.js';

/** Returns the entry that an agent may answer directly: the only one that waits for a job of one task. */
export function directAnswerEntry(tables: EntryTables, job: JobRow): EntryRun | undefined {
	const [relayer] = job.relayingEntries;
	if (relayer === undefined || job.taskCount > 1 || job.relayingEntries.size > 1 || job.readers.length > 0) {
		return undefined;
	}
	const sessionId = tables.entrySessions.get(relayer);
	const peer = sessionId === undefined ? undefined : tables.sessions.get(sessionId);
	return peer === undefined ? undefined : { entryId: relayer, incarnation: peer.incarnation };
}

/** Returns the data centre of the entry that an agent may answer directly. */
export function directAnswerDataCentre(tables: EntryTables, job: JobRow): string | undefined {
	const entryId = directAnswerEntry(tables, job)?.entryId;
	return entryId === undefined
		? undefined
		: tables.control.directory.entries.find((entry) => entry.processId === entryId)?.dataCentre;
}

/** Whether the agent has answered the relaying entry directly, so that this home doesn't have to. */
export function isAnsweredByAgent(tables: EntryTables, job: JobRow, relayer: string): boolean {
	const { answeredEntry } = job;
	if (answeredEntry?.entryId !== relayer) {
		return false;
	}
	return tables.findSession({ processId: relayer, incarnation: answeredEntry.incarnation }) !== undefined;
}

/** Applies an agent's direct answer to a job that this entry has relayed, unless the job has been answered already. */
export function applyDirectAnswer(tables: EntryTables, outcome: TaskOutcome, outputs: EntryOutputs): void {
	tables.stats.directAnswers += 1;
	const { submissionId, end } = outcome;
	const job = tables.jobs.get(submissionId);
	if (job?.phase !== 'relayed' || job.taskCount > 1 || end.state !== 'done') {
		return;
	}
	finishJob(tables, outputs, job, { status: 'complete', resultsJson: [end.resultJson] });
}
