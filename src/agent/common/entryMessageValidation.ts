/** Validation of the shape of messages from entries, hand-written to be cheap enough for every start. */

import type { EntryToAgentMessage } from '../../protocol/common/agentMessages.js';
import type { Message } from '../../services/transport/common/transport.js';

/** Returns whether a message has the shape of one that an entry may send to an agent. */
export function isEntryToAgentMessage(message: Message): message is EntryToAgentMessage {
	const fields = message as unknown as Record<string, unknown>;
	if (!isFiniteNumber(fields.revision)) {
		return false;
	}
	switch (message.kind) {
		case 'startTasks':
			return isStartMessage(fields);
		case 'assumeHome':
			return isFiniteNumber(fields.epoch) && typeof fields.pool === 'string';
		case 'fenceTasks':
			return isFiniteNumber(fields.epoch) && isIdentityList(fields.tasks);
		case 'cancelTasks':
		case 'acknowledgeOutcomes':
			return isIdentityList(fields.tasks);
		default:
			return false;
	}
}

function isStartMessage({ epoch, ageMs, batches }: Record<string, unknown>): boolean {
	const isAgeValid = ageMs === undefined || isFiniteNumber(ageMs);
	return isFiniteNumber(epoch) && isAgeValid && Array.isArray(batches) && batches.every(isStartBatch);
}

function isStartBatch(value: unknown): boolean {
	const batch = toFields(value);
	const needs = toFields(batch.needs);
	return (
		typeof batch.submissionId === 'string' &&
		typeof batch.route === 'string' &&
		typeof batch.team === 'string' &&
		isFiniteNumber(needs.cores) &&
		isFiniteNumber(needs.memoryBytes) &&
		isFiniteNumber(needs.accelerators) &&
		isFiniteNumber(batch.startWithinMs) &&
		isFiniteNumber(batch.leaseMs) &&
		isOptionalEntryRun(batch.answerTo) &&
		Array.isArray(batch.tasks) &&
		batch.tasks.every(isTaskStart)
	);
}

function isOptionalEntryRun(value: unknown): boolean {
	if (value === undefined) {
		return true;
	}
	const { entryId, incarnation } = toFields(value);
	return typeof entryId === 'string' && typeof incarnation === 'string';
}

function isTaskStart(value: unknown): boolean {
	const { taskIndex, payloadJson, attempt } = toFields(value);
	return (
		isFiniteNumber(taskIndex) &&
		typeof payloadJson === 'string' &&
		(attempt === undefined || isFiniteNumber(attempt))
	);
}

function isIdentityList(value: unknown): boolean {
	return (
		Array.isArray(value) &&
		value.every((item) => {
			const { submissionId, taskIndex } = toFields(item);
			return typeof submissionId === 'string' && isFiniteNumber(taskIndex);
		})
	);
}

function isFiniteNumber(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value);
}

function toFields(value: unknown): Record<string, unknown> {
	return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
}
