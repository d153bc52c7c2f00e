/** Plans a declaration against the tables in force, and applies the plan. */

import { randomUUID } from 'node:crypto';
import { match } from 'ts-pattern';
import { delay } from '../../base/common/async.js';
import { diffTables, type DeclaredTables } from '../../declarations/common/tableEdits.js';
import type { TableEdit, Tables } from '../../declarations/common/tables.js';
import type { ChangeResult } from '../../protocol/common/operatorApi.js';
import type { CommandResult } from '../common/commandResult.js';
import { describeInForce, judgeInForce, type InForceReport } from '../common/inForce.js';
import { operatorExitCodes } from '../common/operatorExitCodes.js';
import { describePlan } from '../common/planText.js';
import { OperatorError, type OperatorClient } from './operatorClient.js';

/** How a declaration is applied. */
export interface ApplyOptions {
	readonly author: string;
	/** Shows the plan and changes nothing. */
	readonly isDryRun: boolean;
	/** Time to wait until the change is in force everywhere; absent means not to wait. */
	readonly waitMs?: number | undefined;
	/** Repeats an earlier run whose answer was lost. */
	readonly requestId?: string | undefined;
	/** Refuses to plan on any other revision. */
	readonly expectedRevision?: number | undefined;
}

/** Time between looks at whether a revision is in force. */
const pollIntervalMs = 50;

/**
 * Applies a declaration: afterwards the tables hold exactly its rows. Drains are left as they are.
 *
 * @example
 * const result = await applyDeclaration(client, declared, { author: 'ana', isDryRun: false });
 */
export async function applyDeclaration(
	client: OperatorClient,
	declared: DeclaredTables,
	options: ApplyOptions,
): Promise<CommandResult> {
	const read = await client.tables();
	if (read.isErr()) {
		return describeError(read.error);
	}
	const { tables } = read.value;
	const edits = diffTables(tables, declared);
	const plan = { revision: tables.revision, edits };
	if (edits.length === 0) {
		return confirmUnchanged(client, tables, options);
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
 * Asks for edits on a revision and, if wanted, waits until they are in force.
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
	const result = await client.change({ requestId, expectedRevision, author: options.author, edits });
	if (result.isErr()) {
		return describeError(result.error, requestId);
	}
	const described = describeChange(result.value, requestId);
	if (result.value.outcome !== 'accepted' || options.waitMs === undefined) {
		return described;
	}
	return addWait(described, await waitUntilInForce(client, result.value.revision, options.waitMs));
}

async function confirmUnchanged(
	client: OperatorClient,
	tables: Tables,
	options: ApplyOptions,
): Promise<CommandResult> {
	const unchanged: CommandResult = {
		exitCode: operatorExitCodes.noChange,
		text: `Revision ${tables.revision} holds the declaration already; nothing was changed.`,
		json: { outcome: 'unchanged', revision: tables.revision, edits: [] },
	};
	if (options.waitMs === undefined || options.isDryRun) {
		return unchanged;
	}
	return addWait(unchanged, await waitUntilInForce(client, tables.revision, options.waitMs));
}

function addWait(result: CommandResult, report: InForceReport): CommandResult {
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
	const untilMs = performance.now() + waitMs;
	for (;;) {
		const report = judgeInForce(await client.statuses(), revision);
		if (report.isEverywhere || performance.now() > untilMs) {
			return report;
		}
		await delay(pollIntervalMs);
	}
}

function describeChange(result: ChangeResult, requestId: string): CommandResult {
	const json = { ...result, requestId };
	return match(result)
		.with({ outcome: 'accepted' }, ({ revision }) => ({
			exitCode: operatorExitCodes.changed,
			text: `The change was accepted as revision ${revision} (request ${requestId}).`,
			json,
		}))
		.with({ outcome: 'unchanged' }, ({ revision }) => ({
			exitCode: operatorExitCodes.noChange,
			text: `Revision ${revision} holds the change already; nothing was changed.`,
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
			text: `The request id ${requestId} was used before for another change; leave it out to get a new one.`,
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
		`Another change came first: the present revision is ${conflict.presentRevision}. Nothing was changed.`,
		...changes,
		'Look at the difference and apply again.',
	].join('\n');
}

/** Describes a request without a result. */
export function describeError(error: OperatorError, requestId?: string): CommandResult {
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
			'what is in force already is not changed twice.',
		json: { outcome: 'unknown', message: error.message, requestId },
	};
}
