/**
 * Tells entries how tasks ended: one frame an entry a tick, and after a reconnect every end that was not acknowledged.
 *
 * A `notStarted` is told once, on the connection on which the entry asked last. Were it sent on another unasked, it could
 * cross a later attempt of the same task that the entry has sent in the meantime, and be taken for its refusal.
 */

import type { EntryRun, RouteUsage, TaskOutcome } from '../../../protocol/common/agentMessages.js';
import type { AgentTick, EntryRow } from '../agentTables.js';
import { recipientKey, type TaskRecord } from '../taskRecord.js';
import { identityOf } from './taskEnds.js';

/** Characters of results in one frame; far below the limit of a connection's frames. */
const maxFrameResultChars = 4_000_000;

/** Sends the outcomes of this tick. */
export function runOutcomes(tick: AgentTick): void {
	for (const entry of tick.connected) {
		for (const record of tick.tables.tasks.unacknowledgedOf(entry)) {
			if (record.end?.state !== 'notStarted') {
				reply(tick, entry, record);
			}
		}
	}
	if (tick.ended.size > 0) {
		replyToRecipients(tick);
	}
	for (const [connectionId, outcomes] of tick.replies) {
		if (tick.tables.entries.has(connectionId)) {
			send(tick, connectionId, outcomes);
		}
	}
}

function replyToRecipients(tick: AgentTick): void {
	const entries = new Map<string, EntryRow>();
	for (const entry of tick.tables.entries.values()) {
		if (!tick.connected.has(entry)) {
			entries.set(recipientKey(entry), entry);
		}
	}
	for (const record of tick.ended) {
		const answeredEntry = answerDirectly(tick, entries, record);
		for (const recipient of record.recipients) {
			const entry = entries.get(recipientKey(recipient));
			const isAsked = entry?.connectionId === recipient.connectionId;
			if (entry !== undefined && (isAsked || record.end?.state !== 'notStarted')) {
				reply(tick, entry, record, answeredEntry);
			}
		}
	}
}

/** Tells the entry that the reader waits at, unless it is a recipient itself. Returns the entry that is told. */
function answerDirectly(
	tick: AgentTick,
	entries: ReadonlyMap<string, EntryRow>,
	record: TaskRecord,
): EntryRun | undefined {
	const answerTo = tick.answerTo.get(record);
	if (answerTo === undefined || record.end === undefined) {
		return undefined;
	}
	const key = recipientKey(answerTo);
	const entry = entries.get(key);
	if (entry === undefined || record.recipients.some((recipient) => recipientKey(recipient) === key)) {
		return undefined;
	}
	tick.reply(entry.connectionId, { ...identityOf(record), end: record.end, isDirectAnswer: true });
	return answerTo;
}

function reply(tick: AgentTick, entry: EntryRow, record: TaskRecord, answeredEntry?: EntryRun): void {
	const { end } = record;
	if (end === undefined) {
		return;
	}
	const outcome = { ...identityOf(record), end };
	tick.reply(entry.connectionId, answeredEntry === undefined ? outcome : { ...outcome, answeredEntry });
	if (end.state === 'notStarted') {
		tick.tables.tasks.acknowledge(record, entry);
	}
}

function send(tick: AgentTick, connectionId: number, outcomes: readonly TaskOutcome[]): void {
	const { revision } = tick.tables.declarations;
	let frame: TaskOutcome[] = [];
	let frameChars = 0;
	const flush = (): void => {
		if (frame.length > 0) {
			const usage = newUsage(tick, connectionId);
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

/** Measured use that the entry on a connection has not heard of; it rides on outcomes and costs no frame. */
function newUsage(tick: AgentTick, connectionId: number): readonly RouteUsage[] {
	const { routeUsage, entries } = tick.tables;
	const entry = entries.get(connectionId);
	if (entry === undefined || entry.toldUsageVersion === routeUsage.version) {
		return [];
	}
	const usage = routeUsage.changesSince(entry.toldUsageVersion);
	entry.toldUsageVersion = routeUsage.version;
	return usage;
}
