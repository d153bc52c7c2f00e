/**
 * Sends the ends of tasks to entries: one frame per entry and tick, split only when its results are large, and after a
 * reconnect every unacknowledged end.
 *
 * A `notStarted` end is sent once, on the connection on which the entry last asked. Sent unasked on another connection,
 * it could cross a later attempt of the same task and be mistaken for the refusal of that attempt.
 */

import type { EntryRun, RouteUsage, TaskOutcome } from '../../../protocol/common/agentMessages.js';
import type { AgentTick, EntryRow } from '../agentTables.js';
import { recipientKey, type TaskRecord } from '../taskRecord.js';
import { toIdentity } from './taskEnds.js';

/** Size of the results, in UTF-16 code units, at which a frame is sent; far below the frame limit of a connection. */
const maxFrameResultChars = 4_000_000;

/** Sends the outcomes of this tick. */
export function sendOutcomes(tick: AgentTick): void {
	for (const entry of tick.newConnections) {
		for (const record of tick.tables.tasks.getUnacknowledged(entry)) {
			if (record.end?.state !== 'notStarted') {
				addRecordOutcome(tick, entry, record);
			}
		}
	}
	if (tick.endedTasks.size > 0) {
		addOutcomesForRecipients(tick);
	}
	for (const [connectionId, outcomes] of tick.outcomesByConnection) {
		if (tick.tables.entries.has(connectionId)) {
			sendInFrames(tick, connectionId, outcomes);
		}
	}
}

function addOutcomesForRecipients(tick: AgentTick): void {
	const entries = new Map<string, EntryRow>();
	for (const entry of tick.tables.entries.values()) {
		if (!tick.newConnections.has(entry)) {
			entries.set(recipientKey(entry), entry);
		}
	}
	for (const record of tick.endedTasks) {
		const answeredEntry = addDirectAnswer(tick, entries, record);
		for (const recipient of record.recipients) {
			const entry = entries.get(recipientKey(recipient));
			const isLatestConnection = entry?.connectionId === recipient.connectionId;
			if (entry !== undefined && (isLatestConnection || record.end?.state !== 'notStarted')) {
				addRecordOutcome(tick, entry, record, answeredEntry);
			}
		}
	}
}

/**
 * Adds the outcome for the entry at which the reader waits, unless that entry is a recipient itself. Returns the entry
 * that is answered; undefined when none is.
 */
function addDirectAnswer(
	tick: AgentTick,
	entries: ReadonlyMap<string, EntryRow>,
	record: TaskRecord,
): EntryRun | undefined {
	const answeredEntry = tick.directAnswerEntries.get(record);
	if (answeredEntry === undefined || record.end === undefined) {
		return undefined;
	}
	const key = recipientKey(answeredEntry);
	const entry = entries.get(key);
	if (entry === undefined || record.recipients.some((recipient) => recipientKey(recipient) === key)) {
		return undefined;
	}
	tick.addOutcome(entry.connectionId, { ...toIdentity(record), end: record.end, isDirectAnswer: true });
	return answeredEntry;
}

/** Adds the end of a record for an entry. A `notStarted` end counts as acknowledged, since it is sent only once. */
function addRecordOutcome(
	tick: AgentTick,
	entry: EntryRow,
	record: TaskRecord,
	answeredEntry?: EntryRun,
): void {
	const { end } = record;
	if (end === undefined) {
		return;
	}
	const outcome = { ...toIdentity(record), end };
	tick.addOutcome(entry.connectionId, answeredEntry === undefined ? outcome : { ...outcome, answeredEntry });
	if (end.state === 'notStarted') {
		tick.tables.tasks.acknowledge(record, entry);
	}
}

/** Sends outcomes on a connection, in as many frames as their results need. */
function sendInFrames(tick: AgentTick, connectionId: number, outcomes: readonly TaskOutcome[]): void {
	const { revision } = tick.tables.declarations;
	let frame: TaskOutcome[] = [];
	let frameChars = 0;
	const flush = (): void => {
		if (frame.length > 0) {
			const usage = takeUnsentUsage(tick, connectionId);
			const message = {
				kind: 'taskOutcomes',
				revision,
				outcomes: frame,
				...(usage.length === 0 ? {} : { usage }),
			} as const;
			tick.outputs.push({ kind: 'send', connectionId, message });
		}
		frame = [];
		frameChars = 0;
	};
	for (const outcome of outcomes) {
		frame.push(outcome);
		frameChars += outcome.end.state === 'done' ? outcome.end.resultJson.length : 0;
		if (frameChars >= maxFrameResultChars) {
			flush();
		}
	}
	flush();
}

/**
 * Returns the route estimates that were not sent on a connection yet, and marks them as sent. They are attached to
 * outcomes, so they need no frame of their own.
 */
function takeUnsentUsage(tick: AgentTick, connectionId: number): readonly RouteUsage[] {
	const { routeUsage, entries } = tick.tables;
	const entry = entries.get(connectionId);
	if (entry === undefined || entry.sentUsageVersion === routeUsage.version) {
		return [];
	}
	const usage = routeUsage.changesSince(entry.sentUsageVersion);
	entry.sentUsageVersion = routeUsage.version;
	return usage;
}
