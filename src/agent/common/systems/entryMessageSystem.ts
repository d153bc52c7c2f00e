/** Takes the messages of entries: starts, cancellations, fences and acknowledgements. */

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
import { batchRefusal, messageRefusal, taskRefusal } from './startRules.js';
import { endTask, everyAttempt, fenceTask, identityOf, notStartedEnd, stopRunning } from './taskEnds.js';

type EntryMessageInput = Extract<AgentInput, { kind: 'entryMessage' }>;

const forgottenEndMessage =
	'The task was started at this agent earlier and has ended; its result was delivered and is no longer held.';
const restartedAgentMessage =
	'The agent was started anew since the task was sent to it, so it may or may not have run.';

/** Takes one message of an entry. Messages of a connection that is closed are void. */
export function takeEntryMessage(tick: AgentTick, input: EntryMessageInput): void {
	const entry = tick.tables.entries.get(input.connectionId);
	if (entry === undefined) {
		return;
	}
	match(input.message)
		.with({ kind: 'startTasks' }, (message) => {
			takeStarts(tick, entry, message, input.tablesAgeMs);
		})
		.with({ kind: 'assumeHome' }, (message) => {
			answerHome(tick, entry, message);
		})
		.with({ kind: 'cancelTasks' }, (message) => {
			takeCancellations(tick, entry, message);
		})
		.with({ kind: 'fenceTasks' }, (message) => {
			takeFences(tick, entry, message);
		})
		.with({ kind: 'acknowledgeOutcomes' }, (message) => {
			takeAcknowledgements(tick, entry, message);
		})
		.exhaustive();
}

/** From here on an earlier home starts nothing more at this agent, so what is known now is all that it started. */
function answerHome(tick: AgentTick, entry: EntryRow, { epoch, pool }: AssumeHomeMessage): void {
	const { tables } = tick;
	if (tables.upstream?.offer.pool !== pool) {
		return;
	}
	raiseEpoch(tick, epoch);
	const submissionIds = tables.tasks.submissionIds();
	const { revision } = tables.declarations;
	const message: KnownSubmissionsMessage = { kind: 'knownSubmissions', revision, epoch, pool, submissionIds };
	tick.outputs.push({ kind: 'send', connectionId: entry.connectionId, message });
}

function takeStarts(tick: AgentTick, entry: EntryRow, message: StartTasksMessage, tablesAgeMs: number): void {
	const commonReason = messageRefusal(tick, message, tablesAgeMs);
	if (commonReason === undefined) {
		raiseEpoch(tick, message.epoch);
	}
	for (const batch of message.batches) {
		const reason = commonReason ?? batchRefusal(tick, message, batch);
		for (const task of batch.tasks) {
			takeStart(tick, entry, batch, task, reason);
		}
	}
}

function takeStart(
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
			// A later attempt joins the one that is live, so that its end answers both.
			known.attempt = Math.max(known.attempt, attempt);
		}
		answerKnown(tick, entry, known);
		return;
	}
	const reason = batchReason ?? taskRefusal(tick, known);
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
		leaseEndsMs: nowMs + batch.leaseMs,
		answerTo: batch.answerTo,
		runId: undefined,
		startedAtMs: undefined,
		stopAskedAtMs: undefined,
		stopMessage: '',
		isCheckpointed: false,
		throttleShare: 1,
		usage: undefined,
	};
	tasks.enqueue(identity, attempt, live, entry);
}

/** Tells an entry about a task that is known already; it is never started a second time. */
function answerKnown(tick: AgentTick, entry: EntryRow, record: TaskRecord): void {
	const { tasks } = tick.tables;
	if (record.live !== undefined) {
		tasks.addRecipient(record, entry);
		return;
	}
	if (record.end !== undefined) {
		if (record.end.state !== 'notStarted') {
			tasks.addRecipient(record, entry);
		}
		tick.reply(entry.connectionId, { ...identityOf(record), end: record.end });
		return;
	}
	const end =
		record.state === 'fenced'
			? notStartedEnd(record, 'fenced')
			: ({ state: 'unknown', message: forgottenEndMessage } as const);
	tick.reply(entry.connectionId, { ...identityOf(record), end });
}

function takeCancellations(tick: AgentTick, entry: EntryRow, message: CancelTasksMessage): void {
	for (const identity of message.tasks) {
		const record = tick.tables.tasks.get(identity);
		if (record === undefined) {
			fenceTask(tick, entry, identity, message.attempt ?? everyAttempt, 'cancelled');
			continue;
		}
		if (record.state === 'queued') {
			endTask(tick, record, notStartedEnd(record, 'cancelled'));
			continue;
		}
		stopRunning(tick, record, 'The task was cancelled.');
	}
	dropEndedFromQueue(tick);
}

function takeFences(tick: AgentTick, entry: EntryRow, message: FenceTasksMessage): void {
	raiseEpoch(tick, message.epoch);
	const attempt = message.attempt ?? everyAttempt;
	const ownIncarnation = tick.tables.options.incarnation;
	const isForEarlierRun = (message.agentIncarnation ?? ownIncarnation) !== ownIncarnation;
	for (const identity of message.tasks) {
		const record = tick.tables.tasks.get(identity);
		if (record === undefined && isForEarlierRun) {
			const end = { state: 'unknown', message: restartedAgentMessage } as const;
			tick.reply(entry.connectionId, { ...identity, end });
			continue;
		}
		if (record === undefined) {
			fenceTask(tick, entry, identity, attempt, 'fenced');
			continue;
		}
		fenceKnown(tick, entry, record, attempt);
	}
	dropEndedFromQueue(tick);
}

function fenceKnown(tick: AgentTick, entry: EntryRow, record: TaskRecord, attempt: number): void {
	if (record.state === 'queued' && record.attempt <= attempt) {
		record.attempt = attempt;
		tick.tables.tasks.addRecipient(record, entry);
		endTask(tick, record, notStartedEnd(record, 'fenced'));
		return;
	}
	if (record.state === 'fenced' && attempt > record.attempt) {
		record.attempt = attempt;
		// An end that is still to be acknowledged must speak for the greater attempt as well.
		if (record.end?.state === 'notStarted') {
			record.end = notStartedEnd(record, record.end.reason);
		}
	}
	answerKnown(tick, entry, record);
}

function takeAcknowledgements(tick: AgentTick, entry: EntryRow, message: AcknowledgeOutcomesMessage): void {
	const { tasks } = tick.tables;
	if (tick.connected.has(entry)) {
		return;
	}
	for (const identity of message.tasks) {
		const record = tasks.get(identity);
		// What this tick has yet to tell can't have been acknowledged: the message means an earlier end.
		if (record !== undefined && !tick.ended.has(record)) {
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
	if (epoch > tables.epochOf(pool)) {
		tables.epochs.set(pool, epoch);
	}
}

function dropEndedFromQueue(tick: AgentTick): void {
	const { tasks } = tick.tables;
	tasks.queue = tasks.queue.filter((record) => record.state === 'queued');
}
