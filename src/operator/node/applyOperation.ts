/** Plans a declaration against the tables in force, and applies the plan. */

import { randomUUID } from 'node:crypto';
import { match } from 'ts-pattern';
import { delay } from '../../base/common/async.js';
import { diffTables, type DeclaredTables } from '../../declarations/common/tableEdits.js';
import type { TableEdit, Tables } from '../../declarations/common/tables.js';
import type { ChangeResult } from '../../protocol/common/operatorApi.js';
import type { CommandResult } from '../common/commandResult.js';
import { describeInForce, computeInForceReport, type InForceReport } from '../common/inForceReport.js';
import { operatorExitCodes } from '../common/operatorExitCodes.js';
import { describePlan } from '../common/planText.js';
import { OperatorError, type OperatorClient } from './operatorClient.js';

/** Options of {@link applyDeclaration} and {@link changeTables}. */
export interface ApplyOptions {
	/** Author of the change, for the history. */
	readonly author: string;
	/** Whether to show the plan without changing anything. */
	readonly isDryRun: boolean;
	/** Longest time to wait until the change is in force everywhere; absent means no wait. */
	readonly waitMs?: number | undefined;
	/** Id of an earlier request to repeat, because its response was lost; absent means a new id. */
	readonly requestId?: string | undefined;
	/** Revision that the change must be based on; any other ends as a conflict. Absent means the one just read. */
	readonly expectedRevision?: number | undefined;
}

/** Interval at which the keepers are polled until a revision is in force. */
const pollIntervalMs = 50;

/**
 * Changes the tables so that they hold exactly the rows of a declaration. Drains are not touched.
 *
 * @example
 * const result = await applyDeclaration(client, declared, { author: 'ana', isDryRun: false });
 */
export async function applyDeclaration(
	client: OperatorClient,
	declared: DeclaredTables,
	options: ApplyOptions,
): Promise<CommandResult> {
	const read = await client.readTables();
	if (read.isErr()) {
		return toErrorResult(read.error);
	}
	const { tables } = read.value;
	const edits = diffTables(tables, declared);
	const plan = { revision: tables.revision, edits };
	if (edits.length === 0) {
		return reportUnchanged(client, tables, options);
	}
	const text = describePlan(tables, edits);
	if (options.isDryRun) {
		return {
			exitCode: operatorExitCodes.changed,
			text: `${text}\n${edits.length} rows would change; nothing was changed.`,
			json: { outcome: 'wouldChange', ...plan },
		};
	}
	const changed = await changeTables(client, edits, options.expectedRevision ?? tables.revision, options);
	return { ...changed, text: `${text}\n${changed.text}`, json: { ...changed.json, edits } };
}

/**
 * Requests edits of the given revision and, if `waitMs` is set, waits until they are in force.
 *
 * @example
 * await changeTables(client, edits, tables.revision, { author: 'ana', isDryRun: false });
 */
export async function changeTables(
	client: OperatorClient,
	edits: readonly TableEdit[],
	expectedRevision: number,
	options: ApplyOptions,
): Promise<CommandResult> {
	const requestId = options.requestId ?? randomUUID();
	const result = await client.requestChange({ requestId, expectedRevision, author: options.author, edits });
	if (result.isErr()) {
		return toErrorResult(result.error, requestId);
	}
	const commandResult = toCommandResult(result.value, requestId);
	if (result.value.outcome !== 'accepted' || options.waitMs === undefined) {
		return commandResult;
	}
	return addInForceReport(
		commandResult,
		await waitUntilInForce(client, result.value.revision, options.waitMs),
	);
}

async function reportUnchanged(
	client: OperatorClient,
	tables: Tables,
	options: ApplyOptions,
): Promise<CommandResult> {
	const unchanged: CommandResult = {
		exitCode: operatorExitCodes.noChange,
		text: `Revision ${tables.revision} already matches the declaration; nothing was changed.`,
		json: { outcome: 'unchanged', revision: tables.revision, edits: [] },
	};
	if (options.waitMs === undefined || options.isDryRun) {
		return unchanged;
	}
	return addInForceReport(unchanged, await waitUntilInForce(client, tables.revision, options.waitMs));
}

function addInForceReport(result: CommandResult, report: InForceReport): CommandResult {
	return {
		exitCode: report.isEverywhere ? result.exitCode : operatorExitCodes.notInForce,
		text: `${result.text}\n${describeInForce(report)}`,
		json: { ...result.json, inForce: report },
	};
}

async function waitUntilInForce(
	client: OperatorClient,
	revision: number,
	waitMs: number,
): Promise<InForceReport> {
	const deadlineMs = performance.now() + waitMs;
	for (;;) {
		const report = computeInForceReport(await client.readStatusOfEachKeeper(), revision);
		if (report.isEverywhere || performance.now() > deadlineMs) {
			return report;
		}
		await delay(pollIntervalMs);
	}
}

function toCommandResult(result: ChangeResult, requestId: string): CommandResult {
	const json = { ...result, requestId };
	return match(result)
		.with({ outcome: 'accepted' }, ({ revision }) => ({
			exitCode: operatorExitCodes.changed,
			text: `The change was accepted as revision ${revision} (request ${requestId}).`,
			json,
		}))
		.with({ outcome: 'unchanged' }, ({ revision }) => ({
			exitCode: operatorExitCodes.noChange,
			text: `Revision ${revision} already contains the change; nothing was changed.`,
			json,
		}))
		.with({ outcome: 'conflict' }, (conflict) => ({
			exitCode: operatorExitCodes.conflict,
			text: describeConflict(conflict),
			json,
		}))
		.with({ outcome: 'refused' }, ({ faults }) => ({
			exitCode: operatorExitCodes.refused,
			text: faults.join('\n'),
			json,
		}))
		.with({ outcome: 'requestIdReused' }, () => ({
			exitCode: operatorExitCodes.failed,
			text: `The request id ${requestId} was already used for another change. Leave it out to get a new one.`,
			json,
		}))
		.exhaustive();
}

function describeConflict(conflict: Extract<ChangeResult, { outcome: 'conflict' }>): string {
	const changes = conflict.changesSince.map(
		(change) =>
			`  revision ${change.revision} by ${change.author} at ${change.acceptedAt}: ${change.rows.join(' ')}`,
	);
	return [
		`Another change was accepted first: the present revision is ${conflict.presentRevision}. Nothing was changed.`,
		...changes,
		'Review the differences and apply again.',
	].join('\n');
}

/**
 * Converts the error of a request into a command result.
 *
 * @param requestId id of the change request; absent for other requests
 */
export function toErrorResult(error: OperatorError, requestId?: string): CommandResult {
	if (error.errorKind !== 'unknown' || requestId === undefined) {
		return {
			exitCode: operatorExitCodes.failed,
			text: error.message,
			json: { outcome: 'failed', message: error.message },
		};
	}
	return {
		exitCode: operatorExitCodes.unknown,
		text:
			`${error.message}\nThe change may or may not have been accepted. Apply the same files again: ` +
			'changes that are already in force are not made twice.',
		json: { outcome: 'unknown', message: error.message, requestId },
	};
}
