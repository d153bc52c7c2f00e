/** Shape check of messages from entries, cheap enough for each start. */

import type { EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { Message } from '../../services/transport/common/transport.js';

/** Whether a message is one that an entry may send to an agent. */
export function isEntryToAgentMessage(message: Message): message is EntryToAgentMessage {
	const fields = message as unknown as Record<string, unknown>;
	if (!isNumber(fields.revision)) {
		return false;
	}
	switch (message.kind) {
		case 'startTasks':
			return isStartMessage(fields);
		case 'assumeHome':
			return isNumber(fields.epoch) && typeof fields.pool === 'string';
		case 'fenceTasks':
			return isNumber(fields.epoch) && isIdentityList(fields.tasks);
		case 'cancelTasks':
		case 'acknowledgeOutcomes':
			return isIdentityList(fields.tasks);
		default:
			return false;
	}
}

function isStartMessage({ epoch, ageMs, batches }: Record<string, unknown>): boolean {
	const isAged = ageMs === undefined || isNumber(ageMs);
	return isNumber(epoch) && isAged && Array.isArray(batches) && batches.every(isBatch);
}

function isBatch(value: unknown): boolean {
	const batch = toFields(value);
	const needs = toFields(batch.needs);
	return (
		typeof batch.submissionId === 'string' &&
		typeof batch.route === 'string' &&
		typeof batch.team === 'string' &&
		isNumber(needs.cores) &&
		isNumber(needs.memoryBytes) &&
		isNumber(needs.accelerators) &&
		isNumber(batch.startWithinMs) &&
		isNumber(batch.leaseMs) &&
		isOptionalEntryRun(batch.answerTo) &&
		Array.isArray(batch.tasks) &&
		batch.tasks.every(isStart)
	);
}

function isOptionalEntryRun(value: unknown): boolean {
	if (value === undefined) {
		return true;
	}
	const { entryId, incarnation } = toFields(value);
	return typeof entryId === 'string' && typeof incarnation === 'string';
}

function isStart(value: unknown): boolean {
	const { taskIndex, payloadJson, attempt } = toFields(value);
	return (
		isNumber(taskIndex) && typeof payloadJson === 'string' && (attempt === undefined || isNumber(attempt))
	);
}

function isIdentityList(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		value.every((item) => {
			const { submissionId, taskIndex } = toFields(item);
			return typeof submissionId === 'string' && isNumber(taskIndex);
		})
	);
}

function isNumber(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value);
}

function toFields(value: unknown): Record<string, unknown> {
	return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}
