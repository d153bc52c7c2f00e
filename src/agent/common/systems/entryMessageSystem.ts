/** Handles the messages of entries: starts, changes of the home, cancellations, fences and acknowledgements. */

import { match } from 'ts-pattern';
import type {
	AcknowledgeOutcomesMessage,
	AssumeHomeMessage,
	CancelTasksMessage,
	FenceTasksMessage,
	KnownSubmissionsMessage,
	NotStartedReason,
	StartBatch,
	StartTasksMessage,
	TaskStart,
} from '../../../protocol/common/agentMessages.js';
import type { TaskIdentity } from '../../../protocol/common/jobs.js';
import type { AgentInput } from '../agentInputs.js';
import type { AgentTick, EntryRow } from '../agentTables.js';
import type { TaskRecord } from '../taskRecord.js';
import { findBatchRefusal, findMessageRefusal, findTaskRefusal } from './startRules.js';
import { allAttempts, endTask, fenceTask, requestStop, toIdentity, toNotStartedEnd } from './taskEnds.js';

type EntryMessageInput = Extract<AgentInput, { kind: 'entryMessage' }>;

const deliveredResultMessage =
	'The task was started at this agent earlier and has ended; its result was delivered and is no longer held.';
const restartedAgentMessage =
	'The agent was started anew since the task was sent to it, so it may or may not have run.';

/** Handles one message of an entry. Ignores messages of a connection that has closed. */
export function handleEntryMessage(tick: AgentTick, input: EntryMessageInput): void {
	const entry = tick.tables.entries.get(input.connectionId);
	if (entry === undefined) {
		return;
	}
	match(input.message)
		.with({ kind: 'startTasks' }, (message) => {
			handleStarts(tick, entry, message, input.tablesAgeMs);
		})
		.with({ kind: 'assumeHome' }, (message) => {
			handleAssumeHome(tick, entry, message);
		})
		.with({ kind: 'cancelTasks' }, (message) => {
			handleCancellations(tick, entry, message);
		})
		.with({ kind: 'fenceTasks' }, (message) => {
			handleFences(tick, entry, message);
		})
		.with({ kind: 'acknowledgeOutcomes' }, (message) => {
			handleAcknowledgements(tick, entry, message);
		})
		.exhaustive();
}

/**
 * Accepts the sender as the pool's home and replies with the known submissions. Since starts of an earlier home are
 * refused from now on, these are all that it can have started here.
 */
function handleAssumeHome(tick: AgentTick, entry: EntryRow, { epoch, pool }: AssumeHomeMessage): void {
	const { tables } = tick;
	if (tables.upstream?.offer.pool !== pool) {
		return;
	}
	raiseEpoch(tick, epoch);
	const submissionIds = tables.tasks.listSubmissionIds();
	const { revision } = tables.declarations;
	const message: KnownSubmissionsMessage = { kind: 'knownSubmissions', revision, epoch, pool, submissionIds };
	tick.outputs.push({ kind: 'send', connectionId: entry.connectionId, message });
}

function handleStarts(
	tick: AgentTick,
	entry: EntryRow,
	message: StartTasksMessage,
	tablesAgeMs: number,
): void {
	const commonReason = findMessageRefusal(tick, message, tablesAgeMs);
	if (commonReason === undefined) {
		raiseEpoch(tick, message.epoch);
	}
	for (const batch of message.batches) {
		const reason = commonReason ?? findBatchRefusal(tick, message, batch);
		for (const task of batch.tasks) {
			handleStart(tick, entry, batch, task, reason);
		}
	}
}

/** Queues a task, fences it when it is refused, or replies with its state when it is known already. */
function handleStart(
	tick: AgentTick,
	entry: EntryRow,
	batch: StartBatch,
	task: TaskStart,
	batchReason: NotStartedReason | undefined,
): void {
	const { tasks } = tick.tables;
	const identity: TaskIdentity = { submissionId: batch.submissionId, taskIndex: task.taskIndex };
	const attempt = task.attempt ?? 0;
	const known = tasks.get(identity);
	if (known !== undefined && !(known.state === 'fenced' && attempt > known.attempt)) {
		if (known.live !== undefined) {
			// The later attempt joins the queued or running one, so that one end answers both.
			known.attempt = Math.max(known.attempt, attempt);
		}
		replyForKnownTask(tick, entry, known);
		return;
	}
	const reason = batchReason ?? findTaskRefusal(tick, known);
	if (reason !== undefined) {
		fenceTask(tick, entry, identity, attempt, reason);
		return;
	}
	const { nowMs } = tick;
	const live = {
		route: batch.route,
		team: batch.team,
		needs: batch.needs,
		payloadJson: task.payloadJson,
		connectionId: entry.connectionId,
		receivedAtMs: nowMs,
		startByMs: nowMs + batch.startWithinMs,
		leaseEndsAtMs: nowMs + batch.leaseMs,
		answerTo: batch.answerTo,
		runId: undefined,
		startedAtMs: undefined,
		stopRequestedAtMs: undefined,
		stopMessage: '',
		isCheckpointRequested: false,
		throttleShare: 1,
		usage: undefined,
	};
	tasks.enqueue(identity, attempt, live, entry);
}

/** Replies to an entry about a task that is known already, and so is never started again. */
function replyForKnownTask(tick: AgentTick, entry: EntryRow, record: TaskRecord): void {
	const { tasks } = tick.tables;
	if (record.live !== undefined) {
		tasks.addRecipient(record, entry);
		return;
	}
	if (record.end !== undefined) {
		if (record.end.state !== 'notStarted') {
			tasks.addRecipient(record, entry);
		}
		tick.addOutcome(entry.connectionId, { ...toIdentity(record), end: record.end });
		return;
	}
	const end =
		record.state === 'fenced'
			? toNotStartedEnd(record, 'fenced')
			: ({ state: 'unknown', message: deliveredResultMessage } as const);
	tick.addOutcome(entry.connectionId, { ...toIdentity(record), end });
}

function handleCancellations(tick: AgentTick, entry: EntryRow, message: CancelTasksMessage): void {
	for (const identity of message.tasks) {
		const record = tick.tables.tasks.get(identity);
		if (record === undefined) {
			fenceTask(tick, entry, identity, message.attempt ?? allAttempts, 'cancelled');
			continue;
		}
		if (record.state === 'queued') {
			endTask(tick, record, toNotStartedEnd(record, 'cancelled'));
			continue;
		}
		requestStop(tick, record, 'The task was cancelled.');
	}
	removeEndedFromQueue(tick);
}

function handleFences(tick: AgentTick, entry: EntryRow, message: FenceTasksMessage): void {
	raiseEpoch(tick, message.epoch);
	const attempt = message.attempt ?? allAttempts;
	const ownIncarnation = tick.tables.options.incarnation;
	const isForOtherIncarnation = (message.agentIncarnation ?? ownIncarnation) !== ownIncarnation;
	for (const identity of message.tasks) {
		const record = tick.tables.tasks.get(identity);
		if (record === undefined && isForOtherIncarnation) {
			const end = { state: 'unknown', message: restartedAgentMessage } as const;
			tick.addOutcome(entry.connectionId, { ...identity, end });
			continue;
		}
		if (record === undefined) {
			fenceTask(tick, entry, identity, attempt, 'fenced');
			continue;
		}
		fenceKnownTask(tick, entry, record, attempt);
	}
	removeEndedFromQueue(tick);
}

function fenceKnownTask(tick: AgentTick, entry: EntryRow, record: TaskRecord, attempt: number): void {
	if (record.state === 'queued' && record.attempt <= attempt) {
		record.attempt = attempt;
		tick.tables.tasks.addRecipient(record, entry);
		endTask(tick, record, toNotStartedEnd(record, 'fenced'));
		return;
	}
	if (record.state === 'fenced' && attempt > record.attempt) {
		record.attempt = attempt;
		// An end that is not acknowledged yet must cover the greater attempt as well.
		if (record.end?.state === 'notStarted') {
			record.end = toNotStartedEnd(record, record.end.reason);
		}
	}
	replyForKnownTask(tick, entry, record);
}

function handleAcknowledgements(tick: AgentTick, entry: EntryRow, message: AcknowledgeOutcomesMessage): void {
	const { tasks } = tick.tables;
	if (tick.newConnections.has(entry)) {
		return;
	}
	for (const identity of message.tasks) {
		const record = tasks.get(identity);
		// An end of this tick has not been sent yet, so the acknowledgement refers to an earlier end.
		if (record !== undefined && !tick.endedTasks.has(record)) {
			tasks.acknowledge(record, entry);
		}
	}
}

function raiseEpoch(tick: AgentTick, epoch: number): void {
	const { tables } = tick;
	const { upstream } = tables;
	if (upstream === undefined) {
		return;
	}
	const { pool } = upstream.offer;
	if (epoch > tables.minAcceptedEpoch(pool)) {
		tables.highestEpochByPool.set(pool, epoch);
	}
}

function removeEndedFromQueue(tick: AgentTick): void {
	const { tasks } = tick.tables;
	tasks.queue = tasks.queue.filter((record) => record.state === 'queued');
}
