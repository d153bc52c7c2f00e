/**
 * Lets an agent answer the entry that a relayed job's reader waits at, without the way back through the home.
 *
 * The home is told as well, since it keeps account of the slots, and then does not pass the answer on: the number of
 * messages stays the same, and the answer saves a hop. It holds for jobs of one task, whose result is the whole
 * answer, and for results only: whatever else becomes of a task is the home's to decide.
 *
 * An answer can be lost with the connection that it was sent on. An entry that loses one to an agent therefore asks
 * the home again about the jobs that it might concern, and the home remembers the answers to relayed jobs.
 */

import type { EntryRun, TaskOutcome } from '../../../protocol/common/agentMessages.js';
import type { EntryTables } from '../entryTables.js';
import { finishJob } from '../jobLife.js';
import type { JobRow } from '../jobRow.js';
import type { EntryOutputs } from '../tickTypes.js';

/** The entry that an agent may answer for this home: the only one that waits for a job of one task. */
export function entryToAnswer(tables: EntryTables, job: JobRow): EntryRun | undefined {
	const [relayer] = job.relayers;
	if (relayer === undefined || job.taskCount > 1 || job.relayers.size > 1 || job.readers.length > 0) {
		return undefined;
	}
	const sessionId = tables.entrySessions.get(relayer);
	const peer = sessionId === undefined ? undefined : tables.sessions.get(sessionId);
	return peer === undefined ? undefined : { entryId: relayer, incarnation: peer.incarnation };
}

/** Data centre of the entry that an agent may answer. */
export function dataCentreToAnswer(tables: EntryTables, job: JobRow): string | undefined {
	const entryId = entryToAnswer(tables, job)?.entryId;
	return entryId === undefined
		? undefined
		: tables.control.directory.entries.find((entry) => entry.processId === entryId)?.dataCentre;
}

/** Whether the agent has answered a relaying entry, so that this home need not. */
export function isAnswered(tables: EntryTables, job: JobRow, relayer: string): boolean {
	const { answeredEntry } = job;
	if (answeredEntry?.entryId !== relayer) {
		return false;
	}
	return tables.sessionWith({ processId: relayer, incarnation: answeredEntry.incarnation }) !== undefined;
}

/** Takes an agent's answer to a job that this entry has relayed. One that was answered meanwhile is left alone. */
export function takeDirectAnswer(tables: EntryTables, outcome: TaskOutcome, outputs: EntryOutputs): void {
	tables.stats.directAnswers += 1;
	const { submissionId, end } = outcome;
	const job = tables.jobs.get(submissionId);
	if (job?.phase !== 'relayed' || job.taskCount > 1 || end.state !== 'done') {
		return;
	}
	finishJob(tables, outputs, job, { status: 'complete', resultsJson: [end.resultJson] });
}
